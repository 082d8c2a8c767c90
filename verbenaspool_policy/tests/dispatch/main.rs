//! Decisions of an entry on the direct path: what is placed, waits and is refused.

mod back;
mod circuit;
mod crash;
mod customer;
mod fleet;
mod group;
mod load;
mod outage;
mod relief;
mod retry;
mod shift;
mod slow;
mod told;
mod world;
