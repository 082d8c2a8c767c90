//! Histories of concurrent runs, and the checkers that judge them.

pub mod steps;
