//! The `verbenaspool-agent` program.

fn main() {}
