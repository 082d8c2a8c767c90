//! What holds of the repository as a whole: the commands, their committed
//! companions, and the loop's driver.

mod commands;
mod driver;
mod extra;
mod operate;
