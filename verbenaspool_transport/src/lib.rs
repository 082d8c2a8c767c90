//! Sockets, HTTP, platform client, clock, logs and traces of verbenaspool.
