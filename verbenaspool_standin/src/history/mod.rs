//! Histories of concurrent runs, and the checkers that judge them.

pub mod answers;
pub mod outcomes;
pub mod steps;
pub mod writes;
