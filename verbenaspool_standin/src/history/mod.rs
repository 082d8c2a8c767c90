//! Histories of concurrent runs and their checkers.

pub mod activation;
pub mod answers;
pub mod outcomes;
pub mod reverts;
pub mod steps;
pub mod writes;
