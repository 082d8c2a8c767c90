//! The programs as child processes, and signals to them.

use std::{
    fs::{self, OpenOptions},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    rc::Rc,
    thread,
};

/// The log file of a program. Dropping it removes the file, and prints it if the test fails.
pub struct Log(PathBuf);

impl Drop for Log {
    fn drop(&mut self) {
        if thread::panicking()
            && let Ok(text) = fs::read_to_string(&self.0)
        {
            eprintln!("{}:\n{text}", self.0.display());
        }
        let _ = fs::remove_file(&self.0);
    }
}

/// A running program with its settings file. Dropping it kills the process.
pub struct Process {
    program: PathBuf,
    settings: PathBuf,
    log: Rc<Log>,
    child: Child,
}

/// Path of the entry program.
pub fn entry_program() -> PathBuf {
    env!("CARGO_BIN_EXE_verbenaspool").into()
}

/// Path of the agent program, in the same directory as the entry program.
pub fn agent_program() -> PathBuf {
    let path = entry_program().with_file_name("verbenaspool-agent");
    assert!(path.exists(), "build the whole workspace first");
    path
}

impl Process {
    /// Starts a program with these settings, in a file of this name.
    pub fn start(program: PathBuf, name: &str, settings: &str) -> Self {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.yaml"));
        fs::write(&path, settings).expect("a settings file");
        let log = Rc::new(Log(path.with_extension("log")));
        let child = spawn(&program, &path, &log);
        Self {
            program,
            settings: path,
            log,
            child,
        }
    }

    /// The log of the program, which may outlive the process.
    pub fn log(&self) -> Rc<Log> {
        self.log.clone()
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().expect("a child process can be killed");
        self.child.wait().expect("the process ends");
    }

    /// Starts the program again with the same settings.
    pub fn restart(&mut self) {
        self.child = spawn(&self.program, &self.settings, &self.log);
    }

    /// Sends a signal such as `TERM`, `STOP` or `CONT`.
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
        let _ = fs::remove_file(&self.settings);
    }
}

fn spawn(program: &Path, settings: &Path, log: &Log) -> Child {
    let log = OpenOptions::new().create(true).append(true).open(&log.0);
    let mut command = Command::new(program);
    command.arg("run").arg("--settings").arg(settings);
    command.stdout(Stdio::null()).stderr(log.expect("a log"));
    command.spawn().expect("the program starts")
}

/// The loopback address of an instance of a test. It also differs between concurrent runs
/// of the tests: if callers of one run reached entries of another one, both would record
/// writes that none of their own callers had requested.
pub fn instance_address(test: u8, instance: u8, port_index: u8) -> SocketAddr {
    let run = std::process::id();
    let second_octet = u8::try_from(run % 250).expect("below 250") + 1;
    let port_block = u16::try_from(run / 250 % 2_000).expect("below 2,000");
    let port = 20_000 + port_block * 8 + u16::from(port_index);
    ([127, second_octet, test, instance], port).into()
}
