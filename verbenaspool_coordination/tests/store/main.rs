//! The machines that call the platform, through every order of loss and delay.

mod apply;
mod claim;
mod model;
