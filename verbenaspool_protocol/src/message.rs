//! Datagrams between the processes of verbenaspool.

use serde::{Deserialize, Serialize};

use crate::{
    crash,
    digest::{Digest, Hint},
    member::{Choices, Difference, Map, MapRequest, Members, Order, RankExperts, State, Status},
    rate_limit,
    reservation::{self, ServiceInfo, Subscription},
    suspicion::Suspicion,
    usage,
};

/// The largest datagram. It fits in one Ethernet frame, since the loss of one fragment
/// would lose the whole datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Number of fields at the end of a digest that the previous version doesn't send, and that the
/// version before it doesn't. Zero takes one byte in each of them.
const NEW_DIGEST_FIELDS: [usize; 2] = [4, 7];

/// The same for a request for a slot. The version before the previous one omits both.
const NEW_RESERVATION_FIELDS: usize = 2;

/// The same for the answer to it.
const NEW_ANSWER_FIELDS: usize = 1;

/// The content of a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Entry to other entries: its state.
    Digest(Digest),
    /// Entry to agent: subscribes to the rank's status.
    Subscribe(Subscription),
    /// Agent to entry: requests the store's data about its service.
    Lookup,
    /// Entry to agent: the answer to [`Self::Lookup`].
    ServiceInfo(ServiceInfo),
    /// Agent to entry: the status of its rank.
    Status(Status),
    /// Entry to agent: requests one of the rank's slots.
    ReservationRequest(reservation::Request),
    /// Agent to entry: whether the slot is reserved.
    ReservationAnswer(reservation::Answer),
    /// Agent to the other agents of its group: the state of its rank.
    State(State),
    /// Agent to the collector of its aggregation group, or to the lead: the experts chosen by
    /// recent requests.
    Choices(Choices),
    /// Lead, or an agent that stands in for it, to agent: an order for its rank.
    Order(Order),
    /// Lead to agent: differences of the map that its rank has to prepare.
    Difference(Difference),
    /// Agent to lead: requests a complete map.
    MapRequest(MapRequest),
    /// Lead to agent: a part of the complete map that its rank has to prepare.
    Map(Map),
    /// Agent to lead: the experts of its rank.
    RankExperts(RankExperts),
    /// Entry to other entries: common initial waits of the services' callers.
    WaitHints(Vec<Hint>),
    /// Entry to other entries: requests during which upstreams crashed.
    Suspicions(Vec<Suspicion>),
    /// Agent to an agent that has just joined its group: the others.
    Members(Members),
    /// Entry to other entries: limits that upstreams have just named or lifted.
    RateLimits(Vec<rate_limit::Report>),
    /// Entry to other entries: what it saw of a crash of an upstream.
    Crash(crash::Report),
    /// Entry to other entries: what customers use of a service during a shortage.
    CustomerUsage(usage::Report),
}

impl Message {
    /// Encodes the message as a datagram.
    ///
    /// ```
    /// use verbenaspool_protocol::{
    ///     member::{Action, Order},
    ///     message::Message,
    /// };
    ///
    /// let message = Message::Order(Order { epoch: 1, action: Action::ReportState });
    /// assert_eq!(Message::decode(&message.encode()), Some(message));
    /// ```
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a datagram; returns `None` if it is invalid.
    ///
    /// ```
    /// assert_eq!(verbenaspool_protocol::message::Message::decode(&[255]), None);
    /// ```
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes)
            .ok()
            .or_else(|| Self::decode_previous(bytes))
    }

    /// Decodes a message of the previous version, which omits fields at the end. They are
    /// read as zero.
    fn decode_previous(bytes: &[u8]) -> Option<Self> {
        let padded = |fields: usize| {
            let mut padded = bytes.to_vec();
            padded.resize(bytes.len() + fields, 0);
            match postcard::take_from_bytes(&padded) {
                Ok((message, [])) => Some(message),
                _ => None,
            }
        };
        let digest = || {
            NEW_DIGEST_FIELDS
                .into_iter()
                .filter_map(padded)
                .find(|m| matches!(m, Self::Digest(_)))
        };
        let request = || {
            (1..=NEW_RESERVATION_FIELDS)
                .filter_map(padded)
                .find(|m| matches!(m, Self::ReservationRequest(_)))
        };
        let answer =
            || padded(NEW_ANSWER_FIELDS).filter(|m| matches!(m, Self::ReservationAnswer(_)));
        digest().or_else(request).or_else(answer)
    }
}

#[cfg(test)]
mod tests;
