//! The decisions under load of verbenaspool, free of I/O.
//!
//! Every input comes with `now`, the monotonic time since the process started,
//! and every decision is a value; nothing here touches a socket or a clock.
//! [`balancer::Balancer`] joins the decisions for one service at one entry
//! instance; each decision is a module of its own.

pub mod affinity;
pub mod attempt;
pub mod balancer;
pub mod budget;
pub mod customers;
pub mod decision;
pub mod estimate;
pub mod fair;
pub mod flight;
pub mod hash;
pub mod health;
pub mod limit;
pub mod load;
pub mod mechanism;
pub mod member;
pub mod pace;
pub mod pool;
pub mod queue;
pub mod rebalancer;
pub mod refusal;
pub mod request;
pub mod room;
pub mod route;
pub mod snapshot;
pub mod subset;
