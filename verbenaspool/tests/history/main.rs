//! System tests under faults: the real programs with simulated upstreams and platform,
//! callers under load, one or two faults at once, and checks of the recorded history.

mod callers;
mod deployment;
mod faults;
mod process;
