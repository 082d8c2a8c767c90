//! The real programs, with the signals that tests send them.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

/// A program with its settings, killed when the test ends.
pub struct Process {
    program: PathBuf,
    settings: PathBuf,
    child: Child,
}

/// The entry's program.
pub fn entry_program() -> PathBuf {
    env!("CARGO_BIN_EXE_verbenaspool").into()
}

/// The agent's program, which stands beside the entry's.
pub fn agent_program() -> PathBuf {
    let path = entry_program().with_file_name("verbenaspool-agent");
    assert!(path.exists(), "build the whole workspace first");
    path
}

impl Process {
    /// Starts a program with settings of this name.
    pub fn start(program: PathBuf, name: &str, settings: &str) -> Self {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.yaml"));
        std::fs::write(&path, settings).expect("a settings file");
        let child = spawn(&program, &path);
        Self {
            program,
            settings: path,
            child,
        }
    }

    /// Kills the program where it stands.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process is ours");
        self.child.wait().expect("the process ends");
    }

    /// Starts the program again with the same settings.
    pub fn restart(&mut self) {
        self.child = spawn(&self.program, &self.settings);
    }

    /// Sends a signal, as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", signal, &pid]).status();
        assert!(status.expect("kill runs").success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn spawn(program: &Path, settings: &Path) -> Child {
    let mut command = Command::new(program);
    command.arg("run").arg("--settings").arg(settings);
    command.stdout(Stdio::null()).stderr(Stdio::null());
    command.spawn().expect("the program starts")
}

/// A loopback address of one instance of one test. It also differs between
/// runs of the tests at once: with one run's callers at the other's entries,
/// either would find writes that nobody of its own had asked for.
pub fn instance_address(test: u8, instance: u8, port_index: u8) -> SocketAddr {
    let run = std::process::id();
    let second_octet = u8::try_from(run % 250).expect("below 250") + 1;
    let port_block = u16::try_from(run / 250 % 2_000).expect("below 2,000");
    let port = 20_000 + port_block * 8 + u16::from(port_index);
    ([127, second_octet, test, instance], port).into()
}
