//! The command line.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

use clap::{CommandFactory, Parser, Subcommand};
use serde::Serialize;

use verbenaspool_state::{check::Problem, file::File, name::Name, version::Version};

use crate::{
    operate::{self, Direct, apply, entries, explain, status},
    run::{self, Drained},
};

/// The process could not do what it was told.
const FAILED: u8 = 1;
/// The settings are wrong; clap uses the same code for the command line.
const SETTINGS: u8 = 2;
/// The drain's deadline cut requests off.
const CUT: u8 = 3;

/// The file has problems.
const PROBLEMS: u8 = 4;
/// Another apply came first.
const CONFLICT: u8 = 5;
/// It isn't known whether the file was accepted.
const UNKNOWN: u8 = 6;

/// What `--help` says below the options.
const EXAMPLES: &str = "\
Examples:
  verbenaspool run --settings /etc/verbenaspool/entry.yaml
  verbenaspool check quetzal.yaml
  verbenaspool apply --settings operator.yaml --expect 7 quetzal.yaml
  verbenaspool status --settings operator.yaml --json
  verbenaspool entries 10.1.0.40:8229 10.2.0.29:8229
  verbenaspool explain 9c41d07be2a35f68 entry-1.log entry-2.log

Exit codes:
  0  done
  1  it could not be done
  2  the command line or the settings are wrong
  3  the drain's deadline cut requests off
  4  the file has problems; all of them are told
  5  another apply came first; nothing of this file is in force
  6  it isn't known whether the file was accepted; apply it again with --id";

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
        #[arg(long, short, value_name = "FILE", env = "VERBENASPOOL_SETTINGS")]
        settings: PathBuf,
    },
    /// Check a firm's file, or an entry's settings or a configuration of the direct
    /// path, and tell everything that is wrong with it.
    Check {
        /// The file.
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// Tell the result as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Apply a firm's file, whole or not at all.
    Apply {
        /// The operator's settings file.
        #[arg(long, short, value_name = "FILE")]
        settings: PathBuf,
        /// The firm's file.
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// Apply only if this version is the accepted one; 0 if none is.
        #[arg(long, value_name = "VERSION")]
        expect: Option<u64>,
        /// The apply's id, to settle an apply whose fate is unknown.
        #[arg(long, value_name = "ID")]
        id: Option<String>,
        /// How long to go on trying, in milliseconds.
        #[arg(long, value_name = "MS", default_value_t = 20_000)]
        timeout_ms: u64,
        /// Tell the result as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Tell what became of a request, from the logs of entries.
    Explain {
        /// The id that the caller gave its request, or the fingerprint of its content.
        #[arg(value_name = "ID")]
        id: String,
        /// Logs of JSON lines; `-` is standard input.
        #[arg(value_name = "LOG", required = true)]
        logs: Vec<PathBuf>,
    },
    /// Tell what entries on the direct path have in force.
    Entries {
        /// Control addresses of entries.
        #[arg(value_name = "ADDRESS", required = true)]
        addresses: Vec<SocketAddr>,
        /// Tell it as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Tell what is accepted, and where it is in force.
    Status {
        /// The operator's settings file.
        #[arg(long, short, value_name = "FILE")]
        settings: PathBuf,
        /// Tell it as JSON.
        #[arg(long)]
        json: bool,
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
        Command::Check { file, json } => check(&file, json),
        Command::Apply {
            settings,
            file,
            expect,
            id,
            timeout_ms,
            json,
        } => {
            let options = apply::Options {
                expect: expect.map(Version),
                id,
                within: Duration::from_millis(timeout_ms),
            };
            match apply::main(&settings, &file, options) {
                Ok(result) => applied(&result, json),
                Err(error) => fail(&error),
            }
        }
        Command::Entries { addresses, json } => match entries::main(&addresses) {
            Ok(answers) => {
                let table = || entries::table(&answers);
                print!("{}", if json { text(&answers) + "\n" } else { table() });
                let all = answers.iter().all(|answer| answer.standing.is_some());
                ExitCode::from(if all { 0 } else { FAILED })
            }
            Err(error) => fail(&error),
        },
        Command::Explain { id, logs } => explain(&id, &logs),
        Command::Status { settings, json } => match status::main(&settings) {
            Ok(report) => {
                let table = || status::table(&report);
                println!("{}", if json { text(&report) } else { table() });
                ExitCode::SUCCESS
            }
            Err(error) => fail(&error),
        },
    }
}

/// Checks a file of either path.
fn check(file: &Path, json: bool) -> ExitCode {
    match operate::check_direct(file) {
        Ok(None) => checked(&operate::check(file), json),
        Ok(Some(Direct::Settings(name))) => {
            println!("{name}: the settings are sound");
            ExitCode::SUCCESS
        }
        Ok(Some(Direct::Configuration(version, routes))) => {
            println!("version {version}: the configuration is sound, {routes} routes");
            ExitCode::SUCCESS
        }
        Err(why) => {
            eprintln!("{why}");
            ExitCode::from(PROBLEMS)
        }
    }
}

/// Tells what became of a request.
fn explain(id: &str, logs: &[PathBuf]) -> ExitCode {
    let story = match explain::main(id, logs) {
        Ok(story) => story,
        Err(why) => {
            eprintln!("verbenaspool: a log can't be read: {why}");
            return ExitCode::from(FAILED);
        }
    };
    if story.bad > 0 {
        eprintln!("{} lines couldn't be read and were skipped", story.bad);
    }
    for line in &story.lines {
        println!("{line}");
    }
    let Some(cause) = story.cause else {
        eprintln!("verbenaspool: no log tells of the request {id}");
        return ExitCode::from(FAILED);
    };
    println!("{cause}");
    ExitCode::SUCCESS
}

/// A report as JSON.
fn text<T: Serialize>(report: &T) -> String {
    serde_json::to_string(report).unwrap_or_default()
}

/// The result of a check as JSON.
#[derive(Debug, Serialize)]
struct Checked<'a> {
    /// Whether the file can be applied.
    sound: bool,
    /// The firm, where the file is sound.
    firm: Option<&'a Name>,
    /// Everything that is wrong.
    problems: &'a [Problem],
}

/// Tells the result of a check.
fn checked(result: &Result<File, operate::Error>, json: bool) -> ExitCode {
    let (firm, problems): (_, &[Problem]) = match result {
        Ok(file) => (Some(&file.firm), &[]),
        Err(operate::Error::Problems { problems, .. }) if json => (None, problems),
        Err(error) => return fail(error),
    };
    let checked = Checked {
        sound: firm.is_some(),
        firm,
        problems,
    };
    match firm {
        _ if json => println!("{}", text(&checked)),
        Some(firm) => println!("{firm}: the file is sound"),
        None => {}
    }
    if checked.sound {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(PROBLEMS)
    }
}

/// Tells the result of an apply.
fn applied(result: &apply::Result, json: bool) -> ExitCode {
    println!("{}", if json { text(result) } else { result.text() });
    match result {
        apply::Result::Accepted { .. } | apply::Result::Unchanged { .. } => ExitCode::SUCCESS,
        apply::Result::Conflict { .. } => ExitCode::from(CONFLICT),
        apply::Result::Failed { .. } => ExitCode::from(FAILED),
        apply::Result::Unknown { .. } => ExitCode::from(UNKNOWN),
    }
}

/// Tells why an operator's command did nothing.
fn fail(error: &operate::Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(match error {
        operate::Error::Settings(_) => SETTINGS,
        operate::Error::Problems { .. } | operate::Error::Firm { .. } => PROBLEMS,
        _ => FAILED,
    })
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
