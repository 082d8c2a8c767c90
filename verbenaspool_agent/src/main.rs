//! The `verbenaspool-agent` program.

use std::{path::Path, process::ExitCode};

use clap::Parser;
use serde::Deserialize;
use slog::crit;

use verbenaspool_agent::{
    agent::{Agent, Drained},
    command::{Action, Command},
    direct,
    settings::{self, Settings},
};
use verbenaspool_transport::{clock::Monotonic, log, runtime, shutdown};

/// Exit code: the process failed to start.
const EXIT_FAILED: u8 = 1;
/// Exit code: the settings are invalid; clap uses the same code for the command line.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Exit code: the drain deadline passed and requests were cut off.
const EXIT_REQUESTS_CUT: u8 = 3;

fn main() -> ExitCode {
    let command = Command::parse();
    let (Action::Run(source) | Action::Check(source)) = &command.action;
    let settings = match load(&source.settings) {
        Ok(settings) => settings,
        Err(reason) => {
            eprintln!("{reason}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    match command.action {
        Action::Check(_) => {
            println!("{}: valid", source.settings.display());
            ExitCode::SUCCESS
        }
        Action::Run(_) => match settings {
            ModeSettings::Proxy(settings) => run(*settings),
            ModeSettings::Direct(settings) => run_direct(settings),
        },
    }
}

/// The settings of the path that requests take.
enum ModeSettings {
    /// Requests pass through the agent.
    Proxy(Box<Settings>),
    /// Requests go directly to the upstream.
    Direct(direct::settings::Settings),
}

/// The part of the settings that selects the path of requests.
#[derive(Debug, Deserialize)]
struct PathProbe {
    #[serde(default)]
    path: Option<direct::settings::Path>,
}

/// Reads the settings for the path that they select.
fn load(path: &Path) -> Result<ModeSettings, settings::Error> {
    let probe: PathProbe = verbenaspool_transport::settings::load(path)?;
    if probe.path.is_some() {
        return verbenaspool_transport::settings::load(path).map(ModeSettings::Direct);
    }
    settings::load(path).map(|settings| ModeSettings::Proxy(Box::new(settings)))
}

fn run_direct(settings: direct::settings::Settings) -> ExitCode {
    match direct::run::main(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("verbenaspool-agent: {reason}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run(settings: Settings) -> ExitCode {
    let log = log::open(settings.log);
    let served = runtime::run(async {
        let (trigger, signal) = shutdown::channel();
        shutdown::on_signal(trigger).map_err(|error| error.to_string())?;
        let agent = Agent::bind(settings, log.clone(), Monotonic::start())
            .map_err(|error| format!("can't listen on an address: {error}"))?;
        Ok::<Drained, String>(agent.run(signal).await)
    });
    match served.map_err(|error| error.to_string()).flatten() {
        Ok(Drained { cut: 0 }) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_REQUESTS_CUT),
        Err(reason) => {
            crit!(log, "agent failed to start"; "reason" => reason);
            ExitCode::from(EXIT_FAILED)
        }
    }
}
