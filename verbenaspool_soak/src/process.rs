//! Starts the programs as processes and sends them signals.

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

/// The program of one instance, across restarts of its process.
#[derive(Debug)]
pub struct Process {
    /// Number of processes started so far, including the current one.
    pub incarnation: u32,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    /// Writes the settings to `folder` and starts the program with them. The files of
    /// settings and log are named after the instance.
    ///
    /// # Errors
    /// A file can't be written, or the program can't be started.
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

    /// Starts a new process of the program.
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

    /// Returns the resident memory of the current process in kilobytes, if it runs.
    #[must_use]
    pub fn resident_kb(&self) -> Option<u64> {
        let path = format!("/proc/{}/status", self.child.as_ref()?.id());
        let status = fs::read_to_string(path).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Sends a signal to the current process, if it still runs.
    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child
            && let Ok(id) = i32::try_from(child.id())
        {
            // `poll_exit` detects a process that has already ended.
            let _ = signal::kill(Pid::from_raw(id), signal);
        }
    }

    /// Returns the exit code of a process that has ended, with `Some(None)` for one that
    /// was terminated by a signal.
    pub fn poll_exit(&mut self) -> Option<Option<i32>> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status.code())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // SIGKILL also ends a paused process, and waiting for it avoids a zombie.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
