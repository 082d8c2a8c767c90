//! I/O-free state machines of verbenaspool: adoption, membership, leases, rank groups.

pub mod adoption;
pub mod apply;
pub mod attempt;
pub mod claim;
pub mod gather;
pub mod gc;
pub mod group;
pub mod head;
pub mod keys;
pub mod lease;
pub mod membership;
pub mod piece;
pub mod store;
pub mod switch;
pub mod tree;
