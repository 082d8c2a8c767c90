//! The decisions under load of verbenaspool, free of I/O.
