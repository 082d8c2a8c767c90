//! The datagrams between our processes.

use serde::{Deserialize, Serialize};

use crate::{
    digest::{Budget, Digest},
    member::{Choices, Difference, Held, Lack, Map, Order, State, Status},
    reservation::{Answer, Ask, Members, Subscription},
    suspicion::Suspicion,
};

/// The largest datagram: one Ethernet frame, so that no part can be lost alone.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// What one datagram says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// An entry, to the other entries: what it has.
    Digest(Digest),
    /// An entry, to an agent: it wants to hear how the rank stands.
    Subscribe(Subscription),
    /// An agent, to an entry: it asks what the store says of its service.
    Lookup,
    /// An entry, to an agent that asked.
    Members(Members),
    /// An agent, to an entry: how its rank stands.
    Status(Status),
    /// An entry, to an agent: it asks for one of its rank's slots.
    Ask(Ask),
    /// An agent, to the entry that asked: whether a slot is kept.
    Answer(Answer),
    /// An agent, to the others: how its rank stands.
    State(State),
    /// An agent, to the lead: what the requests of its rank chose lately.
    Choices(Choices),
    /// The lead, to an agent: an order for its rank.
    Order(Order),
    /// The lead, to an agent: the map that its rank is to prepare, by what differs.
    Difference(Difference),
    /// An agent, to the lead: it needs the map whole.
    Lack(Lack),
    /// The lead, to an agent: a part of the whole map that its rank is to prepare.
    Map(Map),
    /// An agent, to the lead: what its rank holds.
    Held(Held),
    /// An entry, to the other entries: how long callers of its services wait at first.
    Budgets(Vec<Budget>),
    /// An entry, to the other entries: requests that upstreams crashed under.
    Suspicions(Vec<Suspicion>),
}

impl Message {
    /// The message as a datagram.
    ///
    /// ```
    /// use verbenaspool_protocol::{
    ///     member::{Order, What},
    ///     message::Message,
    /// };
    ///
    /// let message = Message::Order(Order { epoch: 1, what: What::Look });
    /// assert_eq!(Message::decode(&message.encode()), Some(message));
    /// ```
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a datagram; none where it is no message.
    ///
    /// ```
    /// assert_eq!(verbenaspool_protocol::message::Message::decode(&[255]), None);
    /// ```
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
