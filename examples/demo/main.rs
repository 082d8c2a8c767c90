//! Demo of the complete system on loopback, in one process and about ten seconds: two
//! firms, two availability zones, real HTTP traffic, changes and failures during the
//! traffic, and a summary of the responses to callers.

mod deployment;
mod events;
mod groups;
mod report;
mod traffic;

use clap::Parser;
use verbenaspool_transport::runtime;

use crate::{deployment::Deployment, report::Report};

/// Shows verbenaspool at work between stand-ins, on loopback.
#[derive(Debug, Parser)]
struct Options {
    /// Print one JSON object as the last line.
    #[arg(long)]
    json: bool,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let options = Options::parse();
    let report = runtime::run(run())??;
    println!("{report}");
    if options.json {
        println!("{}", serde_json::to_string(&report)?);
    }
    Ok(())
}

/// Starts the deployment, runs callers and events, and summarises the results.
async fn run() -> Result<Report, Box<dyn std::error::Error>> {
    let deployment = Deployment::start().await?;
    let callers = traffic::start(&deployment);
    let events = events::run(&deployment).await;
    let calls = callers.stop().await;
    Ok(Report::new(&deployment, &calls, &events))
}
