//! The agent process beside each upstream instance.
