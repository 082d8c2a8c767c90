//! The `verbenaspool` program.

fn main() {}
