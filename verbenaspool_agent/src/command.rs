//! The command line of `verbenaspool-agent`.

use std::path::PathBuf;

use clap::{CommandFactory, Parser, Subcommand};

/// What `--help` says below the options.
const EXAMPLES: &str = "\
Examples:
  verbenaspool-agent run --settings /etc/verbenaspool/agent.yaml
  verbenaspool-agent check --settings agent.yaml

Exit codes:
  0  it stopped with every request ended, or the settings are sound
  1  it could not start
  2  the command line or the settings are wrong
  3  the drain's deadline cut requests off";

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

/// Where the settings are.
#[derive(Debug, clap::Args)]
pub struct Source {
    /// The settings file, YAML.
    #[arg(long, value_name = "FILE", env = "VERBENASPOOL_SETTINGS")]
    pub settings: PathBuf,
}

/// The command line for clap's companions, which write completions and manual
/// pages.
///
/// ```
/// assert_eq!(verbenaspool_agent::command::command().get_name(), "verbenaspool-agent");
/// ```
#[must_use]
pub fn command() -> clap::Command {
    Command::command()
}
