//! Groups of ranks in lock-step: in every step, all ranks use one expert map.
//!
//! One rank's agent is the lead. It grants steps ahead of need, each on one
//! map; a rank's engine runs only granted steps. A change of map is loaded
//! beside the running one on every rank and then named in the next grant, so
//! no rank stops for it. A new lead takes a higher fence, has every rank refuse
//! the lower ones, learns from every rank what it was granted, and goes on
//! above that. A rank that can't follow makes its group wait, never diverge.

pub mod engine;
pub mod lead;
pub mod member;
pub mod message;
pub mod order;
pub mod rank;
pub mod schedule;

mod lead_io;
mod rank_io;
