//! Load balancing, admission control and placement decisions of verbenaspool, free of
//! I/O.
//!
//! Every input carries `now`, the monotonic time since the process started, and every
//! decision is returned as a value; nothing here uses a socket or reads a clock.
//! [`balancer::Balancer`] combines the decisions for one service at one entry instance;
//! each decision has a module of its own.

mod affinity;
mod budget;
mod customers;
mod estimate;
mod hash;
mod health;
mod in_flight;
mod limit;
mod pace;
mod pool;
mod queue;
mod queues;
mod rejection;
mod round_robin;
mod route;

pub mod attempt;
pub mod balancer;
pub mod decision;
pub mod dispatch;
pub mod load;
pub mod mechanism;
pub mod member;
pub mod quarantine;
pub mod rate_limit;
pub mod rebalancer;
pub mod request;
pub mod share;
pub mod slots;
pub mod snapshot;
pub mod subset;
pub mod warm_up;
