//! The `verbenaspool-agent` program.

use std::process::ExitCode;

use clap::Parser;
use slog::crit;

use verbenaspool_agent::{
    agent::{Agent, Drained},
    command::{Action, Command},
    settings::{self, Settings},
};
use verbenaspool_transport::{clock::Monotonic, log, runtime, shutdown};

/// The process could not start.
const FAILED: u8 = 1;
/// The settings are wrong; clap uses the same code for the command line.
const SETTINGS: u8 = 2;
/// The drain's deadline cut requests off.
const CUT: u8 = 3;

fn main() -> ExitCode {
    let command = Command::parse();
    let (Action::Run(source) | Action::Check(source)) = &command.action;
    let settings = match settings::load(&source.settings) {
        Ok(settings) => settings,
        Err(why) => {
            eprintln!("{why}");
            return ExitCode::from(SETTINGS);
        }
    };
    match command.action {
        Action::Check(_) => {
            println!("{}: sound", source.settings.display());
            ExitCode::SUCCESS
        }
        Action::Run(_) => run(settings),
    }
}

fn run(settings: Settings) -> ExitCode {
    let log = log::open(settings.log);
    let served = runtime::run(async {
        let (trigger, signal) = shutdown::channel();
        shutdown::on_signal(trigger).map_err(|error| error.to_string())?;
        let agent = Agent::bind(settings, log.clone(), Monotonic::start())
            .map_err(|error| format!("an address can't be listened on: {error}"))?;
        Ok::<Drained, String>(agent.run(signal).await)
    });
    match served.map_err(|error| error.to_string()).flatten() {
        Ok(Drained { cut: 0 }) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(CUT),
        Err(why) => {
            crit!(log, "Agent: Can't start."; "reason" => why);
            ExitCode::from(FAILED)
        }
    }
}
