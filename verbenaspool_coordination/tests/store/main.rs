//! Tests of the state machines that call the store, with lost and delayed calls.

mod apply;
mod claim;
mod model;
