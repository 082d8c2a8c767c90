//! The command line of `verbenaspool-agent`.

use std::path::PathBuf;

use clap::{CommandFactory, Parser, Subcommand};

/// Text shown below the options in `--help`.
const EXAMPLES: &str = "\
Examples:
  verbenaspool-agent run --settings /etc/verbenaspool/agent.yaml
  verbenaspool-agent check --settings agent.yaml

Exit codes:
  0  the agent stopped after all requests had ended, or the settings are valid
  1  the agent failed to start
  2  the command line or the settings are invalid
  3  the drain deadline passed and requests were cut off";

/// The agent beside an upstream instance of verbenaspool.
#[derive(Debug, Parser)]
#[command(name = "verbenaspool-agent", version, after_help = EXAMPLES)]
pub struct Command {
    /// What to do.
    #[command(subcommand)]
    pub action: Action,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Action {
    /// Run the agent until SIGTERM, then drain.
    #[command(after_help = EXAMPLES)]
    Run(Source),
    /// Check a settings file.
    Check(Source),
}

/// The location of the settings.
#[derive(Debug, clap::Args)]
pub struct Source {
    /// Path of the settings file (YAML).
    #[arg(long, value_name = "FILE", env = "VERBENASPOOL_SETTINGS")]
    pub settings: PathBuf,
}

/// Returns the command line definition, from which completions and manual pages are
/// generated.
///
/// ```
/// assert_eq!(verbenaspool_agent::command::command().get_name(), "verbenaspool-agent");
/// ```
#[must_use]
pub fn command() -> clap::Command {
    Command::command()
}
