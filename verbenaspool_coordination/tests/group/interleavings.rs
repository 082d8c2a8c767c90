//! Interleavings of faults, drawn at random.
