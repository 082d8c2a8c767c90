//! The command line.

use std::{path::PathBuf, process::ExitCode};

use clap::{Parser, Subcommand};

use crate::run;

/// The exit code of a process that could not do what it was told.
const FAILED: u8 = 1;

/// Balances requests across expert-parallel model groups.
#[derive(Debug, Parser)]
#[command(name = "verbenaspool", version)]
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

/// Does what the command line says.
#[must_use]
pub fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Run { settings } => run::main(&settings),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("verbenaspool: {error}");
            ExitCode::from(FAILED)
        }
    }
}
