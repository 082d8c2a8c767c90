//! Where upstreams are, and which agent process answers beside each.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr};

use http::HeaderValue;
use verbenaspool_policy::{load::Load, member::Member};
use verbenaspool_protocol::load;
use verbenaspool_state::{
    name::Name,
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
    /// The agent process, once it was heard from.
    pub process: Option<u64>,
}

/// The upstreams that the entry knows.
#[derive(Debug, Default)]
pub struct Book(RefCell<HashMap<Name, Known>>);

#[derive(Debug)]
struct Known {
    upstream: Upstream,
    address: Address,
}

impl Book {
    /// Takes the firm's whole list of upstreams.
    ///
    /// ```
    /// verbenaspool::entry::upstreams::Book::default().replace(&[]);
    /// ```
    pub fn replace(&self, upstreams: &[Upstream]) {
        let mut book = self.0.borrow_mut();
        let mut before = std::mem::take(&mut *book);
        for upstream in upstreams {
            let process = before
                .remove(&upstream.name)
                .filter(|known| known.upstream.incarnation == upstream.incarnation)
                .and_then(|known| known.address.process);
            // An address is plain ASCII, so this holds for every upstream.
            let Ok(host) = HeaderValue::from_str(&upstream.agent.to_string()) else {
                continue;
            };
            let address = Address {
                agent: upstream.agent,
                host,
                control: upstream.control,
                process,
            };
            let known = Known {
                upstream: upstream.clone(),
                address,
            };
            book.insert(upstream.name.clone(), known);
        }
    }

    /// How to reach an upstream, while it is listed.
    #[must_use]
    pub fn address(&self, name: &Name) -> Option<Address> {
        Some(self.0.borrow().get(name)?.address.clone())
    }

    /// Notes which agent process answers beside an upstream.
    pub fn heard(&self, name: &Name, process: u64) {
        if let Some(known) = self.0.borrow_mut().get_mut(name) {
            known.address.process = Some(process);
        }
    }

    /// An agent's word in the balancer's terms.
    #[must_use]
    pub fn load(&self, name: &Name, load: &load::Load) -> Option<Load> {
        let book = self.0.borrow();
        Some(Load {
            incarnation: book.get(name)?.upstream.incarnation,
            sequence: load.sequence,
            running: load.running,
            waiting: load.queued,
            leaving: load.leaving,
        })
    }

    /// The upstreams of a service as the balancer sees them.
    #[must_use]
    pub fn members(&self, service: &Name) -> Vec<Member> {
        let book = self.0.borrow();
        let mut members: Vec<_> = book
            .values()
            .map(|known| &known.upstream)
            .filter(|upstream| upstream.service == *service)
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
