//! Child processes of the bench.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::Path,
    process::{Child as Process, Command, Stdio},
};

/// Clock ticks per second in `/proc`, a constant on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// A child process, killed on drop.
pub struct Child {
    process: Process,
    /// Address for requests.
    pub address: SocketAddr,
}

impl Child {
    /// Starts a program with a settings file.
    pub fn start(command: &mut Command, settings: &Path, address: SocketAddr) -> Self {
        let process = command
            .arg("--settings")
            .arg(settings)
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the program starts");
        Self { process, address }
    }

    /// Starts this program as an agent.
    pub fn agent(settings: &Path, address: SocketAddr) -> Self {
        let program = std::env::current_exe().expect("this program's path");
        Self::start(
            Command::new(program).arg(super::agent::ROLE),
            settings,
            address,
        )
    }

    /// Starts this program as the echo server.
    pub fn echo() -> Self {
        let program = std::env::current_exe().expect("this program's path");
        let mut process = Command::new(program)
            .arg(super::echo::ROLE)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("this program starts");
        let mut line = String::new();
        let stdout = process.stdout.take().expect("a piped stdout");
        BufReader::new(stdout)
            .read_line(&mut line)
            .expect("the echo tells its address");
        let address = line.trim().parse().expect("an address");
        Self { process, address }
    }

    /// Returns the processor time used so far, in seconds.
    pub fn processor_seconds(&self) -> f64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.process.id()));
        let stat = stat.expect("the process runs");
        // The process name in parentheses may contain spaces, so fields are counted after it.
        let fields = stat.rsplit(')').next().expect("the end of the line");
        let fields: Vec<_> = fields.split_whitespace().collect();
        let ticks = |index: usize| fields[index].parse::<f64>().expect("a number");
        (ticks(11) + ticks(12)) / TICKS_PER_SECOND
    }

    /// Returns the resident memory in kilobytes.
    pub fn resident_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process.id()));
        let status = status.expect("the process runs");
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number
            .and_then(|number| number.parse().ok())
            .expect("a number")
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
