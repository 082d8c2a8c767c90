//! Histories of the whole system: the real programs between stand-ins, callers
//! at work, one fault or two at once, and the checkers' verdict.

mod callers;
mod deployment;
mod faults;
mod process;
