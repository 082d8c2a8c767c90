//! The programs as processes, and signals to them.

use std::{
    fs::{self, File},
    io,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use nix::{
    sys::signal::{self, Signal},
    unistd::Pid,
};

/// One instance's program, through all its processes.
#[derive(Debug)]
pub struct Process {
    /// How many processes there were, counting this one.
    pub incarnation: u32,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Writes settings and starts a program with them. Its settings and log bear its
    /// name in the folder.
    ///
    /// # Errors
    /// Its files can't be written, or the program can't be started.
    pub fn start(program: &Path, folder: &Path, name: &str, settings: &str) -> io::Result<Self> {
        let path = folder.join(format!("{name}.yaml"));
        fs::write(&path, settings)?;
        let mut process = Self {
            incarnation: 0,
            program: program.to_owned(),
            settings: path,
            log: folder.join(format!("{name}.log")),
            child: None,
        };
        process.restart()?;
        Ok(process)
    }

    /// Starts the program anew.
    ///
    /// # Errors
    /// The program can't be started.
    pub fn restart(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("run")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        self.incarnation += 1;
        Ok(())
    }

    /// Sends a signal to the process that this soak started, if it still runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child
            && let Ok(id) = i32::try_from(child.id())
        {
            // One that has ended by itself is found by `poll_exit`.
            let _ = signal::kill(Pid::from_raw(id), signal);
        }
    }

    /// Whether the process has ended, and with which code.
    pub fn poll_exit(&mut self) -> Option<Option<i32>> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status.code())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may be paused; what isn't waited for stays in the process table.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
