//! A map that comes in several datagrams.

/// A map of which some parts have come.
#[derive(Debug)]
pub struct Partial {
    /// The map's version.
    pub version: u64,
    /// The experts by set and rank, as far as they have come.
    pub sets: Vec<Option<Vec<Vec<u16>>>>,
}
