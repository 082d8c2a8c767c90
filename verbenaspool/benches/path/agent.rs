//! Runs the agent in a process of this program: building the binary of the other package
//! would take longer than the measurements.

use std::fs;

use verbenaspool_agent::{agent::Agent, settings};
use verbenaspool_transport::{clock::Monotonic, log, runtime, shutdown};

/// Argument that starts this program as an agent.
pub const ROLE: &str = "--role-agent";

/// Runs an agent as its own binary does, until the bench kills the process.
pub fn run(path: &str) {
    let text = fs::read_to_string(path).expect("the settings are written");
    let settings = settings::read(&text).expect("sound settings");
    let log = log::open(settings.log);
    runtime::run(async {
        let (_stop, signal) = shutdown::channel();
        let agent = Agent::bind(settings, log, Monotonic::start()).expect("free ports");
        agent.run(signal).await;
    })
    .expect("the loop starts");
}
