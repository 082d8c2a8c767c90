//! Histories of concurrent runs, and the checkers that judge them.

pub mod answers;
pub mod in_force;
pub mod outcomes;
pub mod reverts;
pub mod steps;
pub mod writes;
