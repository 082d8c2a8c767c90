//! State machines of verbenaspool without I/O: adoption, membership, leases, group steps.

pub mod attempt;
