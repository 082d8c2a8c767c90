//! Protocol of a group of ranks that run in lock-step: in every step, all ranks
//! use the same expert map.
//!
//! The agent of one rank is the lead. It grants steps in advance, each on one
//! map, and a rank's engine runs only granted steps. Every rank loads a new map
//! while steps go on with the current one, and the next grant then names the new
//! map, so a change pauses no rank. A new lead gets a higher fence, makes every
//! rank reject lower fences, collects from every rank which steps it was granted,
//! and grants only steps above those. A rank that can't proceed makes the group
//! wait; it never makes ranks diverge.
//!
//! A rank is addressed by its seat: its index in the group, from 0.

pub mod engine;
pub mod lead;
pub mod member;
pub mod message;
pub mod order;
pub mod rank;
pub mod schedule;

mod lead_io;
mod rank_io;
