//! The switch of maps, explored with lost, late and doubled orders, leads that
//! freeze and wake, and others that stand in.

mod explore;
mod steps;
mod world;
