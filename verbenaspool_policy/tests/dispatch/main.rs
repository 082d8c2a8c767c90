//! Decisions of an entry on the direct path: what is placed, waits and is refused.

mod back;
mod circuit;
mod fleet;
mod load;
mod relief;
mod retry;
mod slow;
mod told;
mod world;
