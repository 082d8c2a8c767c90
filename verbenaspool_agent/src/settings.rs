//! The settings of an agent process, a YAML file.

use std::{net::SocketAddr, path::Path, time::Duration};

use serde::{Deserialize, Serialize};

use verbenaspool_protocol::engine::STATE_PATH;
use verbenaspool_state::{name::Name, upstream::Identity};
use verbenaspool_transport::{log, settings, trace};

use crate::group;

pub use verbenaspool_transport::settings::Error;

/// The settings of an agent process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The firm that the instance belongs to.
    pub firm: Name,
    /// The name of the instance on which the agent runs.
    pub instance: Name,
    /// The address at which the agent accepts requests of entries.
    pub listen: SocketAddr,
    /// The address at which the agent accepts control calls of entries and operators.
    pub control: SocketAddr,
    /// The address at which health, readiness and metrics are served; not served if absent.
    #[serde(default)]
    pub admin: Option<SocketAddr>,
    /// The upstream on the same instance.
    pub upstream: Upstream,
    /// The group of ranks that the engine belongs to, if any.
    #[serde(default)]
    pub group: Option<group::Settings>,
    /// Limits on the resources that entries can make the agent use.
    #[serde(default)]
    pub limits: Limits,
    /// How the agent shuts down.
    #[serde(default)]
    pub drain: Drain,
    /// Level and form of the log.
    #[serde(default)]
    pub log: log::Settings,
    /// Where spans are exported; not exported if absent.
    #[serde(default)]
    pub traces: Option<trace::Settings>,
}

impl Settings {
    /// Identifies the instance among those of all firms.
    #[must_use]
    pub fn identity(&self) -> Identity {
        Identity {
            firm: self.firm.clone(),
            instance: self.instance.clone(),
        }
    }
}

/// The upstream on the same instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The address at which the upstream accepts requests.
    pub address: SocketAddr,
    /// The kind of the upstream.
    pub kind: Kind,
    /// The path at which the upstream reports its state. If absent, it is
    /// [`STATE_PATH`] for an engine, and a plain service is not polled.
    #[serde(default)]
    pub state: Option<String>,
    /// The interval at which the state is polled, in milliseconds.
    #[serde(default = "Upstream::poll_ms")]
    pub poll_ms: u64,
    /// How long an idle connection to the upstream is kept, in milliseconds. It must be
    /// less than the upstream's own idle timeout. Otherwise the upstream may close a
    /// connection while a request is sent on it, whose outcome is then unknown.
    #[serde(default = "Upstream::idle_ms")]
    pub idle_ms: u64,
    /// Prefixes of the paths that are forwarded; empty for all. For an engine the default
    /// is `/v1/`, which includes no path of orders.
    #[serde(default)]
    pub paths: Vec<String>,
}

impl Upstream {
    /// The figures of engines are older than this when they are read, so polling more often
    /// gains nothing.
    fn poll_ms() -> u64 {
        250
    }

    /// Common servers close idle connections after 2 seconds or more, and a new connection
    /// on the same instance takes about 50 microseconds.
    fn idle_ms() -> u64 {
        1_000
    }

    /// Sets the defaults that depend on the kind.
    fn apply_kind_defaults(&mut self) {
        if self.kind == Kind::Plain {
            return;
        }
        self.state.get_or_insert_with(|| STATE_PATH.to_owned());
        if self.paths.is_empty() {
            self.paths.push("/v1/".to_owned());
        }
    }
}

/// The kind of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine: a request whose caller disconnected is cancelled.
    Engine,
    /// A plain service: a request that has started runs to its end even if nobody waits for
    /// it any more, so that its outcome is known.
    Plain,
}

/// Limits on the resources that entries can make the agent use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of running requests.
    pub requests: usize,
    /// Maximum number of open connections of entries.
    pub connections: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum number of closed attempts with a record.
    pub remembered: usize,
    /// Maximum time that the upstream may take for one request, in seconds.
    pub longest_seconds: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            requests: 4_096,
            connections: 8_192,
            body_bytes: 16 * 1024 * 1024,
            remembered: 16_384,
            longest_seconds: 600,
        }
    }
}

/// How the agent shuts down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Drain {
    /// How long requests in flight may take to end, in seconds.
    pub deadline_seconds: u64,
    /// How long the agent keeps rejecting new requests before it closes its listener, in
    /// milliseconds. In this time entries learn that the instance is leaving. After the
    /// last request it waits for as long again, to tell entries whose connections broke
    /// that their requests did not run.
    pub linger_ms: u64,
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            deadline_seconds: 60,
            linger_ms: 3_000,
        }
    }
}

impl Drain {
    /// How long requests in flight may take to end.
    ///
    /// ```
    /// use verbenaspool_agent::settings::Drain;
    ///
    /// assert_eq!(Drain::default().deadline().as_secs(), 60);
    /// ```
    #[must_use]
    pub fn deadline(&self) -> Duration {
        Duration::from_secs(self.deadline_seconds)
    }

    /// How long the agent keeps rejecting new requests before it closes its listener.
    ///
    /// ```
    /// use verbenaspool_agent::settings::Drain;
    ///
    /// assert_eq!(Drain::default().linger().as_secs(), 3);
    /// ```
    #[must_use]
    pub fn linger(&self) -> Duration {
        Duration::from_millis(self.linger_ms)
    }
}

/// Reads settings from a file.
///
/// # Errors
/// As for [`read`].
pub fn load(path: &Path) -> Result<Settings, Error> {
    complete(path, settings::load(path)?)
}

/// Reads settings from text.
///
/// # Errors
/// The text is not valid YAML, or a key is unknown, missing or has an invalid value. The
/// error gives the line, the key and the reason, as far as they are known.
///
/// ```
/// use verbenaspool_agent::settings;
///
/// let settings = settings::read(
///     "firm: tidewater
/// instance: loft-1
/// listen: 127.0.0.1:7101
/// control: 127.0.0.1:7102
/// upstream: {address: '127.0.0.1:7100', kind: engine}
/// ",
/// )?;
/// assert_eq!(settings.drain.deadline_seconds, 60);
/// # Ok::<(), settings::Error>(())
/// ```
pub fn read(text: &str) -> Result<Settings, Error> {
    let path = Path::new("settings");
    complete(path, settings::parse(path, text)?)
}

/// Sets defaults that depend on other keys, and checks the settings as a whole.
fn complete(path: &Path, mut settings: Settings) -> Result<Settings, Error> {
    settings.upstream.apply_kind_defaults();
    let mut problems = problems(&settings);
    let group = settings.group.as_ref();
    problems.extend(group.map(group::Settings::problems).unwrap_or_default());
    if problems.is_empty() {
        return Ok(settings);
    }
    Err(Error {
        path: path.to_owned(),
        line: None,
        reason: problems.join("; "),
    })
}

/// All problems of the settings, so that they can be corrected at once.
fn problems(settings: &Settings) -> Vec<&'static str> {
    let limits = &settings.limits;
    let is_same = |a: SocketAddr, b: SocketAddr| a == b && a.port() != 0;
    let checks = [
        (
            is_same(settings.listen, settings.control),
            "control: must differ from listen",
        ),
        (
            is_same(settings.listen, settings.upstream.address),
            "upstream.address: must differ from listen",
        ),
        (
            settings.upstream.poll_ms == 0,
            "upstream.poll_ms: must be at least 1",
        ),
        (
            settings
                .upstream
                .paths
                .iter()
                .any(|path| !path.starts_with('/')),
            "upstream.paths: each path must start with '/'",
        ),
        (limits.requests == 0, "limits.requests: must be at least 1"),
        (
            limits.connections == 0,
            "limits.connections: must be at least 1",
        ),
        (
            limits.remembered < limits.requests,
            "limits.remembered: must be at least limits.requests",
        ),
        (
            limits.longest_seconds == 0,
            "limits.longest_seconds: must be at least 1",
        ),
        (
            settings.drain.linger() > settings.drain.deadline(),
            "drain.linger_ms: is longer than the deadline",
        ),
    ];
    checks
        .into_iter()
        .filter_map(|(fails, problem)| fails.then_some(problem))
        .collect()
}
