//! The entry's program as a process, and signals to it.

use std::{
    fs::{self, File},
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use nix::{
    sys::signal::{self, Signal},
    unistd::Pid,
};

/// One entry of the site, through all its processes.
#[derive(Debug)]
pub struct Process {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where readiness is asked for.
    pub readiness: SocketAddr,
    /// How many processes there were, counting this one.
    pub incarnation: u32,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// What a process is told.
#[derive(Debug)]
pub struct Settings<'a> {
    /// The entry's number, from 0.
    pub number: usize,
    /// Where callers connect; its address is the entry's own.
    pub listen: SocketAddr,
    /// The port on which entries hear each other.
    pub peer_port: u16,
    /// The store, as this entry reaches it.
    pub platform: SocketAddr,
    /// Control addresses of some entries.
    pub seeds: &'a [SocketAddr],
    /// Where settings and logs are kept.
    pub folder: &'a Path,
    /// The program.
    pub program: &'a Path,
}

impl Process {
    /// Writes the settings of an entry and starts it.
    ///
    /// # Errors
    /// Its files can't be written, or the program can't be started.
    pub fn start(settings: &Settings<'_>) -> io::Result<Self> {
        let Settings {
            number,
            listen,
            peer_port,
            ..
        } = *settings;
        let address = listen.ip();
        let readiness = SocketAddr::new(address, listen.port() + 1);
        let control = SocketAddr::new(address, peer_port + 1);
        let seeds: Vec<String> = settings.seeds.iter().map(|s| format!("'{s}'")).collect();
        let text = format!(
            "path: direct\nname: entry-{number}\nzone: a\naddress: {address}\n\
             listen: '{listen}'\nreadiness: '{readiness}'\ncontrol: '{control}'\n\
             peer_port: {peer_port}\nseeds: [{}]\nplatform: '{}'\n\
             bounds: {{grace_s: 5, retry_ratio: 0.5, retry_slack: 200}}\nlog: {{form: json}}\n",
            seeds.join(", "),
            settings.platform
        );
        let path = settings.folder.join(format!("entry-{number}.yaml"));
        fs::write(&path, text)?;
        let mut process = Self {
            listen,
            readiness,
            incarnation: 0,
            program: settings.program.to_owned(),
            settings: path,
            log: settings.folder.join(format!("entry-{number}.log")),
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
            // One that has ended by itself is found by `ended`.
            let _ = signal::kill(Pid::from_raw(id), signal);
        }
    }

    /// Whether the process has ended, and with which code.
    pub fn ended(&mut self) -> Option<Option<i32>> {
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
