//! Messages, headers and codecs for communication among the processes of verbenaspool
//! and with its callers.

pub mod attempt;
pub mod crash;
pub mod digest;
pub mod engine;
pub mod group;
pub mod header;
pub mod load;
pub mod member;
pub mod message;
pub mod order;
pub mod outcome;
pub mod peer;
pub mod prefix;
pub mod problem;
pub mod rate_limit;
pub mod report;
pub mod reservation;
pub mod settle;
pub mod suspicion;
pub mod usage;
