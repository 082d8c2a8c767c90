//! What holds of the repository as a whole: committed companions of the command
//! lines, and the loop's driver.

mod driver;
mod extra;
