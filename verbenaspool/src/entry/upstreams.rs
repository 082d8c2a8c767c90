//! Where upstreams are, and which agent process answers beside each.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, time::Duration};

use http::HeaderValue;
use verbenaspool_policy::{load::Report, member::Member};
use verbenaspool_protocol::load;
use verbenaspool_state::{
    name::Name,
    service::Service,
    upstream::{State, Upstream},
};

/// How to reach an upstream.
#[derive(Debug, Clone)]
pub struct Address {
    /// Where its agent takes requests.
    pub agent: SocketAddr,
    /// The same as a header's value.
    pub host: HeaderValue,
    /// Where its agent takes control calls.
    pub control: SocketAddr,
    /// The instance, `firm/instance`, as a header's value.
    pub instance: HeaderValue,
    /// The agent process, once it was heard from.
    pub process: Option<u64>,
}

/// The upstreams that the entry knows.
#[derive(Debug, Default)]
pub struct Directory(RefCell<HashMap<Name, KnownUpstream>>);

#[derive(Debug)]
struct KnownUpstream {
    upstream: Upstream,
    address: Address,
    /// When the agent was last asked or heard from.
    last_contact: Option<Duration>,
    /// The number of the last cache event heard.
    last_cache_event: u64,
}

impl Directory {
    /// Takes the firm's whole list of upstreams.
    ///
    /// ```
    /// let firm = "quetzal".parse().unwrap();
    /// verbenaspool::entry::upstreams::Directory::default().replace(&firm, &[]);
    /// ```
    pub fn replace(&self, firm: &Name, upstreams: &[Upstream]) {
        let mut directory = self.0.borrow_mut();
        let mut previous = std::mem::take(&mut *directory);
        for upstream in upstreams {
            // Addresses and names are plain ASCII, so this holds for every upstream.
            let identity = format!("{firm}/{}", upstream.name);
            let (Ok(host), Ok(instance)) = (
                HeaderValue::from_str(&upstream.agent.to_string()),
                HeaderValue::from_str(&identity),
            ) else {
                continue;
            };
            let existing = previous
                .remove(&upstream.name)
                .filter(|known| known.upstream.incarnation == upstream.incarnation);
            let known = KnownUpstream {
                upstream: upstream.clone(),
                address: Address {
                    agent: upstream.agent,
                    host,
                    control: upstream.control,
                    instance,
                    process: existing.as_ref().and_then(|known| known.address.process),
                },
                last_contact: existing.as_ref().and_then(|known| known.last_contact),
                last_cache_event: existing.map_or(0, |known| known.last_cache_event),
            };
            directory.insert(upstream.name.clone(), known);
        }
    }

    /// How to reach an upstream, while it is listed.
    #[must_use]
    pub fn address(&self, name: &Name) -> Option<Address> {
        Some(self.0.borrow().get(name)?.address.clone())
    }

    /// The upstream of these that was not heard from for the longest time, if
    /// that is longer than `age`.
    #[must_use]
    pub fn stalest(&self, names: &[Name], now: Duration, min_age: Duration) -> Option<Name> {
        let directory = self.0.borrow();
        let known = names.iter().filter_map(|name| directory.get(name));
        let stalest = known.min_by_key(|known| known.last_contact)?;
        let due = stalest
            .last_contact
            .is_none_or(|at| now.saturating_sub(at) >= min_age);
        due.then(|| stalest.upstream.name.clone())
    }

    /// Notes that an upstream's agent is asked for its report; gives where, and
    /// the last cache event heard.
    #[must_use]
    pub fn record_report_request(&self, name: &Name, now: Duration) -> Option<(Address, u64)> {
        let mut directory = self.0.borrow_mut();
        let known = directory.get_mut(name)?;
        known.last_contact = Some(now);
        Some((known.address.clone(), known.last_cache_event))
    }

    /// Takes in an agent's word: notes which process answers, and gives the
    /// upstream's service and the load in the balancer's terms.
    #[must_use]
    pub fn record_load(&self, name: &Name, load: &load::Load) -> Option<(Name, Report)> {
        let mut directory = self.0.borrow_mut();
        let known = directory.get_mut(name)?;
        known.address.process = Some(load.agent);
        let report = Report {
            incarnation: known.upstream.incarnation,
            sequence: load.sequence,
            running: load.running,
            waiting: load.queued,
            leaving: load.leaving,
        };
        Some((known.upstream.service.clone(), report))
    }

    /// Notes the last cache event heard; gives the upstream's service.
    #[must_use]
    pub fn record_cache_event(&self, name: &Name, last: u64) -> Option<Name> {
        let mut directory = self.0.borrow_mut();
        let known = directory.get_mut(name)?;
        known.last_cache_event = last;
        Some(known.upstream.service.clone())
    }

    /// The upstreams of a service as the balancer sees them.
    #[must_use]
    pub fn members(&self, service: &Service) -> Vec<Member> {
        let in_zones = |zone: &Name| service.zones.is_empty() || service.zones.contains(zone);
        let directory = self.0.borrow();
        let mut members: Vec<_> = directory
            .values()
            .map(|known| &known.upstream)
            .filter(|upstream| upstream.service == service.name && in_zones(&upstream.zone))
            .map(member)
            .collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members
    }
}

/// An upstream as the balancer sees it.
fn member(upstream: &Upstream) -> Member {
    Member {
        name: upstream.name.clone(),
        zone: upstream.zone.clone(),
        group: upstream.rank.as_ref().map(|rank| rank.group.clone()),
        incarnation: upstream.incarnation,
        speed: 1.0,
        leaving: upstream.state == State::Leaving,
    }
}
