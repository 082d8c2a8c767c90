//! Relay tree for messages from one sender to many receivers.
//!
//! A lead that sends a map to each of 62 other ranks at once fills its link of 8 Mbit/s,
//! which drops all but the first 16 messages. Each retry began with the same ranks again, so
//! no map change ever completed. The lead therefore sends to a few ranks, and each of them
//! forwards the message to its part of the others. With a fanout of eight a message reaches
//! 64 ranks in two hops and 512 in three, and no rank sends it more than eight times.
//!
//! If a message is lost or a relay has crashed, all its descendants miss the message. The
//! sender sees that in the states that all ranks report, and resends the message to just
//! those ranks, by other relays.

/// Maximum number of ranks to which one rank sends a message. Eight messages of 1.4 KB take
/// 11 ms on a link of 8 Mbit/s, and are fewer than such a link was seen to buffer.
pub const MAX_FANOUT: usize = 8;

/// A receiver and the ranks to which it relays the message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Branch {
    /// The receiver, which relays the message.
    pub relay: u16,
    /// The ranks that receive the message through it.
    pub descendants: Vec<u16>,
}

/// Splits receivers into branches of about the same size. Each branch is a contiguous range
/// of the receivers, and the first of it is the relay.
///
/// ```
/// use verbenaspool_coordination::tree::branches;
///
/// let ranks: Vec<u16> = (1..63).collect();
/// let branches = branches(&ranks);
/// assert_eq!(branches.len(), 8);
/// assert!(branches.iter().all(|branch| branch.descendants.len() <= 7));
/// assert_eq!(branches[1].relay, 9);
/// assert_eq!(branches[1].descendants, [10, 11, 12, 13, 14, 15, 16]);
/// ```
#[must_use]
pub fn branches(ranks: &[u16]) -> Vec<Branch> {
    let count = ranks.len().min(MAX_FANOUT);
    let start = |number: usize| (number * ranks.len()).div_ceil(count.max(1));
    let branch = |number: usize| {
        let (relay, descendants) = ranks[start(number)..start(number + 1)].split_first()?;
        Some(Branch {
            relay: *relay,
            descendants: descendants.to_vec(),
        })
    };
    (0..count).filter_map(branch).collect()
}
