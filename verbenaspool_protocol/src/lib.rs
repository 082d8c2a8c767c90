//! Messages, headers and codecs between the processes of verbenaspool.

pub mod group;
