//! Histories of concurrent runs, and the checkers that judge them.

pub mod in_force;
pub mod reverts;
pub mod steps;
