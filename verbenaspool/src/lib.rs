//! The entry process and the operators' commands of verbenaspool.

pub mod cli;
pub mod entry;
pub mod run;
pub mod settings;
