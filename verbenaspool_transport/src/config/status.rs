//! The status of a zone, aggregated along the membership tree and written by its first
//! instance.

use std::{rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};
use verbenaspool_coordination::{
    head::Head,
    keys,
    membership::{LaggingInstance, Summary},
    piece::{Base, Root},
};
use verbenaspool_state::{name::Name, place::Place, version::Version};

use super::source::Source;
use crate::platform::{Error, Store, When};

/// Interval between two writes. Eleven zones make 5.5 writes per second, of several hundred
/// that the platform accepts.
pub const WRITE_INTERVAL: Duration = Duration::from_secs(2);
/// Factor by which the interval grows when a write fails. Nothing waits for a status, so
/// its writes are the first to be reduced when the platform is slow, busy or unreachable.
const INTERVAL_GROWTH: u32 = 2;
/// Maximum interval between two writes.
const MAX_WRITE_INTERVAL: Duration = Duration::from_mins(1);

/// The stored status of a zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Status {
    /// The availability zone.
    pub zone: Name,
    /// The instance that wrote it.
    pub writer: Name,
    /// Number of writes by this writer, so that successive statuses differ. If two reads some
    /// time apart return the same status, the zone isn't reporting. Timestamps aren't
    /// compared, since clocks may step.
    pub count: u64,
    /// Number of live instances.
    pub alive: u32,
    /// The active versions.
    pub summary: Summary,
    /// Why the zone can't read anything newer from the platform, if so.
    #[serde(default, rename = "trouble", skip_serializing_if = "Option::is_none")]
    pub last_error: Option<String>,
}

impl Status {
    /// Whether `version` or a later one is active at every live instance.
    ///
    /// ```no_run
    /// # fn example(status: verbenaspool_transport::config::status::Status) {
    /// let is_active = status.is_active(verbenaspool_state::version::Version(7));
    /// # }
    /// ```
    #[must_use]
    pub fn is_active(&self, version: Version) -> bool {
        self.summary.instances >= self.alive && self.summary.lowest >= version
    }

    /// The lagging instances listed in the summary whose version is below `version`.
    ///
    /// ```no_run
    /// # fn example(status: verbenaspool_transport::config::status::Status) {
    /// let behind = status.behind(verbenaspool_state::version::Version(7)).count();
    /// # }
    /// ```
    pub fn behind(&self, version: Version) -> impl Iterator<Item = &LaggingInstance> {
        let behind = self.summary.behind.iter();
        behind.filter(move |instance| instance.version < version)
    }
}

/// Writes the zone's status whenever this instance is the zone's first, until the source
/// stops.
///
/// ```no_run
/// # fn example(source: std::rc::Rc<verbenaspool_transport::config::source::Source>,
/// #     store: std::rc::Rc<dyn verbenaspool_transport::platform::Store>) {
/// use verbenaspool_transport::config::status;
///
/// monoio::spawn(status::publish(source, store, "antigua".parse().unwrap()));
/// # }
/// ```
pub async fn publish(source: Rc<Source>, store: Rc<dyn Store>, zone: Name) {
    let key = keys::status(&source.options.firm, &zone);
    let mut interval = WRITE_INTERVAL;
    let mut count = 0;
    while !source.is_stopped() {
        source.sleep(interval).await;
        if !source.is_first() {
            continue;
        }
        count += 1;
        let status = Status {
            zone: zone.clone(),
            writer: source.options.name.clone(),
            count,
            alive: u32::try_from(source.alive_count()).unwrap_or(u32::MAX),
            summary: source.summary(),
            last_error: source.last_error(),
        };
        let Ok(text) = serde_json::to_vec(&status) else {
            continue;
        };
        interval = match store.put(&key, text.into(), When::Always).await {
            Ok(_) => WRITE_INTERVAL,
            Err(_) => (interval * INTERVAL_GROWTH).min(MAX_WRITE_INTERVAL),
        };
    }
}

/// The status report of a firm for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The firm.
    pub firm: Name,
    /// The accepted version, or 0 if there is none.
    pub accepted: Version,
    /// The id of the apply that had it accepted.
    pub apply: Option<String>,
    /// Whether the accepted version is active at every live instance of every zone. It is
    /// false while any zone isn't reporting.
    #[serde(rename = "in_force")]
    pub is_active: bool,
    /// The zones of the accepted file and any other zone with a stored status.
    pub zones: Vec<Zone>,
}

/// The part of a status report that concerns one zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Zone {
    /// The availability zone.
    pub zone: Name,
    /// Whether the zone wrote a status between the two reads.
    #[serde(rename = "heard")]
    pub is_reporting: bool,
    /// The status from the second read.
    pub status: Option<Status>,
}

/// Reads the report of a firm. The statuses of the zones are read twice, `pause` apart, to
/// detect which zones still report; 1.5 times [`WRITE_INTERVAL`] is sufficient.
///
/// # Errors
/// When a call to the platform fails.
///
/// ```no_run
/// # async fn example(store: &dyn verbenaspool_transport::platform::Store) {
/// use verbenaspool_transport::config::status;
///
/// let firm = "quetzal".parse().unwrap();
/// let report = status::read(store, &firm, status::WRITE_INTERVAL * 3 / 2).await;
/// # }
/// ```
pub async fn read(store: &dyn Store, firm: &Name, pause: Duration) -> Result<Report, Error> {
    let before = read_statuses(store, firm).await?;
    monoio::time::sleep(pause).await;
    let after = read_statuses(store, firm).await?;
    let head = match store.get(&keys::head(firm)).await? {
        Some(object) => Head::from_bytes(&object.value),
        None => None,
    };
    let places = match &head {
        Some(head) => read_places(store, firm, head).await?,
        None => Vec::new(),
    };
    let mut names: Vec<Name> = places.into_iter().map(|place| place.zone).collect();
    names.extend(after.iter().map(|status| status.zone.clone()));
    names.sort();
    names.dedup();
    let zones: Vec<Zone> = names
        .into_iter()
        .map(|zone| zone_report(zone, &before, &after))
        .collect();
    let accepted = head.as_ref().map(|head| head.version).unwrap_or_default();
    // A higher version is active only if the store lost it, by coming back from an older copy.
    let has_accepted =
        |status: &Status| status.is_active(accepted) && status.summary.highest <= accepted;
    let is_current =
        |zone: &Zone| zone.is_reporting && zone.status.as_ref().is_some_and(has_accepted);
    Ok(Report {
        firm: firm.clone(),
        accepted,
        apply: head.map(|head| head.apply),
        is_active: !zones.is_empty() && zones.iter().all(is_current),
        zones,
    })
}

/// The report of a zone from the statuses of two reads.
fn zone_report(zone: Name, before: &[Status], after: &[Status]) -> Zone {
    let of = |statuses: &[Status]| statuses.iter().find(|s| s.zone == zone).cloned();
    let (first, last) = (of(before), of(after));
    Zone {
        is_reporting: last.is_some() && first != last,
        status: last,
        zone,
    }
}

/// Reads the highest version that is active anywhere, as far as zones have written it.
pub(super) async fn highest_active(store: &dyn Store, firm: &Name) -> Result<Version, Error> {
    let statuses = read_statuses(store, firm).await?;
    let highest = statuses.iter().map(|status| status.summary.highest).max();
    Ok(highest.unwrap_or_default())
}

/// Reads the stored statuses of a firm's zones.
async fn read_statuses(store: &dyn Store, firm: &Name) -> Result<Vec<Status>, Error> {
    let mut statuses = Vec::new();
    for entry in store.list(&format!("firms/{firm}/status/")).await? {
        let object = store.get(&entry.key).await?;
        let status = object.and_then(|object| serde_json::from_slice(&object.value).ok());
        statuses.extend(status);
    }
    Ok(statuses)
}

/// Reads the places of the accepted file, without its customers.
async fn read_places(store: &dyn Store, firm: &Name, head: &Head) -> Result<Vec<Place>, Error> {
    let root: Option<Root> = read_piece(store, &keys::piece(firm, head.root)).await?;
    let Some(root) = root else {
        return Ok(Vec::new());
    };
    let base: Option<Base> = read_piece(store, &keys::piece(firm, root.base)).await?;
    Ok(base.map(|base| base.places).unwrap_or_default())
}

/// Reads a stored piece; `None` if it is missing or invalid.
async fn read_piece<T: serde::de::DeserializeOwned>(
    store: &dyn Store,
    key: &str,
) -> Result<Option<T>, Error> {
    let object = store.get(key).await?;
    Ok(object.and_then(|object| serde_json::from_slice(&object.value).ok()))
}
