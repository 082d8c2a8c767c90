//! The addresses of upstreams and the agent process of each.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, time::Duration};

use http::HeaderValue;
use verbenaspool_policy::{load::Report, member::Member};
use verbenaspool_protocol::load;
use verbenaspool_state::{
    name::Name,
    service::Service,
    upstream::{State, Upstream},
};

/// The addresses of an upstream's agent.
#[derive(Debug, Clone)]
pub struct Address {
    /// The agent's address for requests.
    pub agent: SocketAddr,
    /// The agent's address as a `Host` header value.
    pub host: HeaderValue,
    /// The agent's address for control calls.
    pub control: SocketAddr,
    /// The instance as a header value: `firm/instance`.
    pub instance: HeaderValue,
    /// The id of the agent process, known once the agent has answered.
    pub process: Option<u64>,
}

/// The upstreams known to the entry, by name.
#[derive(Debug, Default)]
pub struct Directory(RefCell<HashMap<Name, KnownUpstream>>);

#[derive(Debug)]
struct KnownUpstream {
    upstream: Upstream,
    address: Address,
    /// When the agent was last asked for a report.
    last_asked: Option<Duration>,
    /// The sequence number of the last cache event received.
    last_cache_event: u64,
}

impl Directory {
    /// Replaces the list of the firm's upstreams. What is known of an upstream is kept while
    /// its incarnation stays the same.
    ///
    /// ```
    /// let firm = "quetzal".parse().unwrap();
    /// verbenaspool::entry::upstreams::Directory::default().replace(&firm, &[]);
    /// ```
    pub fn replace(&self, firm: &Name, upstreams: &[Upstream]) {
        let mut directory = self.0.borrow_mut();
        let mut previous = std::mem::take(&mut *directory);
        for upstream in upstreams {
            // Addresses and names are ASCII, so both conversions always succeed.
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
                last_asked: existing.as_ref().and_then(|known| known.last_asked),
                last_cache_event: existing.map_or(0, |known| known.last_cache_event),
            };
            directory.insert(upstream.name.clone(), known);
        }
    }

    /// The addresses of an upstream, or none if it isn't listed.
    #[must_use]
    pub fn address(&self, name: &Name) -> Option<Address> {
        Some(self.0.borrow().get(name)?.address.clone())
    }

    /// Returns the upstream among `names` that was asked longest ago, if that was at least
    /// `min_age` ago or never.
    #[must_use]
    pub fn stalest(&self, names: &[Name], now: Duration, min_age: Duration) -> Option<Name> {
        let directory = self.0.borrow();
        let known = names.iter().filter_map(|name| directory.get(name));
        let stalest = known.min_by_key(|known| known.last_asked)?;
        let due = stalest
            .last_asked
            .is_none_or(|at| now.saturating_sub(at) >= min_age);
        due.then(|| stalest.upstream.name.clone())
    }

    /// Records that an upstream's agent is asked for its report. Returns its addresses and the
    /// sequence number of the last cache event received.
    #[must_use]
    pub fn record_report_request(&self, name: &Name, now: Duration) -> Option<(Address, u64)> {
        let mut directory = self.0.borrow_mut();
        let known = directory.get_mut(name)?;
        known.last_asked = Some(now);
        Some((known.address.clone(), known.last_cache_event))
    }

    /// The service of an upstream.
    #[must_use]
    pub fn service(&self, name: &Name) -> Option<Name> {
        Some(self.0.borrow().get(name)?.upstream.service.clone())
    }

    /// Records the agent process that reported a load. Returns the upstream's service and the
    /// load in the balancer's terms.
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

    /// Records the sequence number of the last cache event received. Returns the upstream's
    /// service.
    #[must_use]
    pub fn record_cache_event(&self, name: &Name, last: u64) -> Option<Name> {
        let mut directory = self.0.borrow_mut();
        let known = directory.get_mut(name)?;
        known.last_cache_event = last;
        Some(known.upstream.service.clone())
    }

    /// The upstreams of a service in the balancer's terms, limited to the service's zones.
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

/// Converts an upstream to the balancer's terms.
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
