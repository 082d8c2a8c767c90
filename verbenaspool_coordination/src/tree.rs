//! Who passes a word on to whom, where one sender has many receivers.
//!
//! A lead that sends a map to each of 62 other ranks at once fills its link of 8 Mbit/s,
//! which drops what comes after the first 16; each repeat began at the front again, and
//! no change of map ever came in use. So the lead sends to a few, and each of those
//! passes the word on to its part of the others. With eight at each level a word reaches
//! 64 ranks in two hops and 512 in three, and nobody sends it more than eight times.
//!
//! A word that is lost, or whose relay has died, is missing for all behind it. The sender
//! sees that from the states that all ranks tell it, and repeats the word for just those,
//! by other relays.

/// How many a sender passes a word to. Eight words of 1.4 KB take 11 ms on a link of
/// 8 Mbit/s, and are fewer than such a link was seen to hold.
pub const MAX_FANOUT: usize = 8;

/// A receiver, and those that it passes the word on to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Branch {
    /// The receiver.
    pub relay: u16,
    /// The ranks behind it.
    pub descendants: Vec<u16>,
}

/// Parts receivers into branches of about the same size; the first of each is the relay,
/// and those next to each other stay together as far as may be.
///
/// ```
/// use verbenaspool_coordination::tree::branches;
///
/// let ranks: Vec<u16> = (1..63).collect();
/// let branches = branches(&ranks);
/// assert_eq!(branches.len(), 8);
/// assert!(branches.iter().all(|branch| branch.descendants.len() <= 7));
/// assert_eq!((branches[1].relay, &*branches[1].descendants), (9, &[10, 11, 12, 13, 14, 15, 16][..]));
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
