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
    operate::{self, DirectFile, apply, entries, explain, status},
    run::{self, Drained},
};

/// The command failed.
const EXIT_FAILED: u8 = 1;
/// The settings are invalid. clap exits with the same code for an invalid command line.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// The drain deadline passed and open requests were aborted.
const EXIT_REQUESTS_ABORTED: u8 = 3;

/// The file is invalid.
const EXIT_INVALID_FILE: u8 = 4;
/// Another apply was accepted first.
const EXIT_CONFLICT: u8 = 5;
/// The outcome of the apply is unknown.
const EXIT_OUTCOME_UNKNOWN: u8 = 6;

/// Text of `--help` below the options.
const AFTER_HELP: &str = "\
Examples:
  verbenaspool run --settings /etc/verbenaspool/entry.yaml
  verbenaspool check quetzal.yaml
  verbenaspool apply --settings operator.yaml --expect 7 quetzal.yaml
  verbenaspool status --settings operator.yaml --json
  verbenaspool entries 10.1.0.40:8229 10.2.0.29:8229
  verbenaspool explain 9c41d07be2a35f68 entry-1.log entry-2.log

Exit codes:
  0  success
  1  the command failed
  2  the command line or the settings are invalid
  3  the drain deadline passed and open requests were aborted
  4  the file is invalid; all problems are listed
  5  another apply was accepted first; this file was not applied
  6  the outcome of the apply is unknown; repeat it with --id";

/// Balances requests across expert-parallel model groups.
#[derive(Debug, Parser)]
#[command(name = "verbenaspool", version, after_help = AFTER_HELP)]
pub struct Cli {
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands of the program.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run the entry process.
    Run {
        /// The settings file.
        #[arg(long, short, value_name = "FILE", env = "VERBENASPOOL_SETTINGS")]
        settings: PathBuf,
    },
    /// Check a firm's file, or an entry's settings or a configuration of the direct
    /// path, and list all problems.
    Check {
        /// The file to check.
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// Print the result as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Apply a firm's file atomically.
    Apply {
        /// The operator's settings file.
        #[arg(long, short, value_name = "FILE")]
        settings: PathBuf,
        /// The firm's file.
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// Apply only if this is the currently accepted version; 0 if there is none.
        #[arg(long, value_name = "VERSION")]
        expect: Option<u64>,
        /// The id of the apply, to repeat an apply whose outcome is unknown.
        #[arg(long, value_name = "ID")]
        id: Option<String>,
        /// How long to retry, in milliseconds.
        #[arg(long, value_name = "MS", default_value_t = 20_000)]
        timeout_ms: u64,
        /// Print the result as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Show the outcome of a request from the logs of entries.
    Explain {
        /// The request id set by the caller, or the fingerprint of the request's content.
        #[arg(value_name = "ID")]
        id: String,
        /// Log files with one JSON object per line; `-` is standard input.
        #[arg(value_name = "LOG", required = true)]
        logs: Vec<PathBuf>,
    },
    /// Show the active configuration and the state of entries on the direct path.
    Entries {
        /// Control addresses of the entries.
        #[arg(value_name = "ADDRESS", required = true)]
        addresses: Vec<SocketAddr>,
        /// Print the report as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Show the accepted version and where it is active.
    Status {
        /// The operator's settings file.
        #[arg(long, short, value_name = "FILE")]
        settings: PathBuf,
        /// Print the report as JSON.
        #[arg(long)]
        json: bool,
    },
}

/// The command line, from which completions and manual pages are generated.
///
/// ```
/// assert_eq!(verbenaspool::cli::command().get_name(), "verbenaspool");
/// ```
#[must_use]
pub fn command() -> clap::Command {
    Cli::command()
}

/// Parses the command line and runs the command.
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
                expected_version: expect.map(Version),
                id,
                timeout: Duration::from_millis(timeout_ms),
            };
            match apply::main(&settings, &file, options) {
                Ok(result) => report_apply(&result, json),
                Err(error) => report_error(&error),
            }
        }
        Command::Entries { addresses, json } => match entries::main(&addresses) {
            Ok(answers) => {
                let table = || entries::table(&answers);
                print!(
                    "{}",
                    if json {
                        to_json(&answers) + "\n"
                    } else {
                        table()
                    }
                );
                let all_answered = answers.iter().all(|answer| answer.standing.is_some());
                ExitCode::from(if all_answered { 0 } else { EXIT_FAILED })
            }
            Err(error) => report_error(&error),
        },
        Command::Explain { id, logs } => explain(&id, &logs),
        Command::Status { settings, json } => match status::main(&settings) {
            Ok(report) => {
                let table = || status::table(&report);
                println!("{}", if json { to_json(&report) } else { table() });
                ExitCode::SUCCESS
            }
            Err(error) => report_error(&error),
        },
    }
}

/// Checks a firm's file or a file of the direct path.
fn check(file: &Path, json: bool) -> ExitCode {
    match operate::check_direct(file) {
        Ok(None) => report_check(&operate::check(file), json),
        Ok(Some(DirectFile::Settings(name))) => {
            println!("{name}: the settings are valid");
            ExitCode::SUCCESS
        }
        Ok(Some(DirectFile::Configuration(version, routes))) => {
            println!("version {version}: the configuration is valid, {routes} routes");
            ExitCode::SUCCESS
        }
        Err(why) => {
            eprintln!("{why}");
            ExitCode::from(EXIT_INVALID_FILE)
        }
    }
}

/// Prints the outcome of a request.
fn explain(id: &str, logs: &[PathBuf]) -> ExitCode {
    let report = match explain::main(id, logs) {
        Ok(report) => report,
        Err(why) => {
            eprintln!("verbenaspool: can't read a log: {why}");
            return ExitCode::from(EXIT_FAILED);
        }
    };
    if report.unreadable_lines > 0 {
        eprintln!("skipped {} unreadable lines", report.unreadable_lines);
    }
    for line in &report.lines {
        println!("{line}");
    }
    let Some(cause) = report.cause else {
        eprintln!("verbenaspool: request {id} not found in the logs");
        return ExitCode::from(EXIT_FAILED);
    };
    println!("{cause}");
    ExitCode::SUCCESS
}

/// Formats a report as JSON.
fn to_json<T: Serialize>(report: &T) -> String {
    serde_json::to_string(report).unwrap_or_default()
}

/// The result of a check as JSON.
#[derive(Debug, Serialize)]
struct CheckResult<'a> {
    /// Whether the file is valid and can be applied.
    sound: bool,
    /// The firm, if the file is valid.
    firm: Option<&'a Name>,
    /// All problems of the file.
    problems: &'a [Problem],
}

/// Prints the result of a check.
fn report_check(result: &Result<File, operate::Error>, json: bool) -> ExitCode {
    let (firm, problems): (_, &[Problem]) = match result {
        Ok(file) => (Some(&file.firm), &[]),
        Err(operate::Error::Problems { problems, .. }) if json => (None, problems),
        Err(error) => return report_error(error),
    };
    let checked = CheckResult {
        sound: firm.is_some(),
        firm,
        problems,
    };
    match firm {
        _ if json => println!("{}", to_json(&checked)),
        Some(firm) => println!("{firm}: the file is valid"),
        None => {}
    }
    if checked.sound {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_INVALID_FILE)
    }
}

/// Prints the result of an apply.
fn report_apply(result: &apply::Result, json: bool) -> ExitCode {
    println!("{}", if json { to_json(result) } else { result.text() });
    match result {
        apply::Result::Accepted { .. } | apply::Result::Unchanged { .. } => ExitCode::SUCCESS,
        apply::Result::Conflict { .. } => ExitCode::from(EXIT_CONFLICT),
        apply::Result::Failed { .. } => ExitCode::from(EXIT_FAILED),
        apply::Result::Unknown { .. } => ExitCode::from(EXIT_OUTCOME_UNKNOWN),
    }
}

/// Prints the error of an operator's command.
fn report_error(error: &operate::Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(match error {
        operate::Error::Settings(_) => EXIT_INVALID_SETTINGS,
        operate::Error::Problems { .. } | operate::Error::FirmMismatch { .. } => EXIT_INVALID_FILE,
        _ => EXIT_FAILED,
    })
}

/// Runs the entry process.
fn run(settings: &Path) -> ExitCode {
    match run::main(settings) {
        Ok(Drained { cut: 0 }) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_REQUESTS_ABORTED),
        Err(error) => {
            eprintln!("verbenaspool: {error}");
            ExitCode::from(match error {
                run::Error::Settings(_) => EXIT_INVALID_SETTINGS,
                _ => EXIT_FAILED,
            })
        }
    }
}
