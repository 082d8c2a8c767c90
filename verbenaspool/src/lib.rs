//! The entry process and the operators' commands of verbenaspool.

pub mod cli;
pub mod direct;
pub mod entry;
pub mod operate;
pub mod run;
pub mod settings;
