//! State machines of verbenaspool without I/O: adoption, membership, leases, group steps.

<<<<<<< HEAD
pub mod group;
=======
pub mod adoption;
pub mod apply;
pub mod claim;
pub mod collection;
pub mod head;
pub mod keys;
pub mod piece;
pub mod store;
>>>>>>> main
