//! The command line.

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::{CommandFactory, Parser, Subcommand};

use crate::run::{self, Drained};

/// The process could not do what it was told.
const FAILED: u8 = 1;
/// The settings are wrong; clap uses the same code for the command line.
const SETTINGS: u8 = 2;
/// The drain's deadline cut requests off.
const CUT: u8 = 3;

/// What `--help` says below the options.
const EXAMPLES: &str = "\
Examples:
  verbenaspool run --settings /etc/verbenaspool/entry.yaml

Exit codes:
  0  done
  1  it could not be done
  2  the command line or the settings are wrong
  3  the drain's deadline cut requests off";

/// Balances requests across expert-parallel model groups.
#[derive(Debug, Parser)]
#[command(name = "verbenaspool", version, after_help = EXAMPLES)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What the program can do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run the entry process.
    Run {
        /// The settings file.
        #[arg(long, short, value_name = "FILE")]
        settings: PathBuf,
    },
}

/// The command line for clap's companions, which write completions and manual
/// pages.
///
/// ```
/// assert_eq!(verbenaspool::cli::command().get_name(), "verbenaspool");
/// ```
#[must_use]
pub fn command() -> clap::Command {
    Cli::command()
}

/// Does what the command line says.
#[must_use]
pub fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Run { settings } => run(&settings),
    }
}

/// Runs the entry.
fn run(settings: &Path) -> ExitCode {
    match run::main(settings) {
        Ok(Drained { cut: 0 }) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(CUT),
        Err(error) => {
            eprintln!("verbenaspool: {error}");
            ExitCode::from(match error {
                run::Error::Settings(_) => SETTINGS,
                _ => FAILED,
            })
        }
    }
}
