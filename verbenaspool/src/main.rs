//! The `verbenaspool` program.

use std::process::ExitCode;

use verbenaspool::cli;

fn main() -> ExitCode {
    cli::main()
}
