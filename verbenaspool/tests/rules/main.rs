//! Checks of the whole repository: the commands, their committed completions and manual
//! pages, and the event loop's driver.

mod commands;
mod driver;
mod extra;
mod operate;
