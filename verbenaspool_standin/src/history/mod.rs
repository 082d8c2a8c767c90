//! Histories of concurrent runs, and the checkers that judge them.

pub mod activation;
pub mod answers;
pub mod outcomes;
pub mod reverts;
pub mod steps;
pub mod writes;
