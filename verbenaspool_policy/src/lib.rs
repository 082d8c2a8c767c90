//! The decisions under load of verbenaspool, free of I/O.
//!
//! Every input comes with `now`, the monotonic time since the process started,
//! and every decision is a value; nothing here touches a socket or a clock.
//! [`balancer::Balancer`] joins the decisions for one service at one entry
//! instance; each decision is a module of its own.

pub mod attempt;
pub mod balancer;
pub mod decision;
pub mod load;
pub mod member;
pub mod request;
pub mod snapshot;
