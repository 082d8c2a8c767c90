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
    /// The name of the instance that the agent stands beside.
    pub instance: Name,
    /// Where entries send requests.
    pub listen: SocketAddr,
    /// Where entries and operators send control calls.
    pub control: SocketAddr,
    /// Where health, readiness and metrics are told; nowhere if not given.
    #[serde(default)]
    pub admin: Option<SocketAddr>,
    /// The upstream beside the agent.
    pub upstream: Upstream,
    /// The group of ranks that the engine belongs to, where it does.
    #[serde(default)]
    pub group: Option<group::Settings>,
    /// Bounds on what entries may make the agent hold.
    #[serde(default)]
    pub limits: Limits,
    /// How the agent stops.
    #[serde(default)]
    pub drain: Drain,
    /// What is logged, and how.
    #[serde(default)]
    pub log: log::Settings,
    /// Where spans go; nowhere if not given.
    #[serde(default)]
    pub traces: Option<trace::Settings>,
}

impl Settings {
    /// The instance among those of all firms.
    #[must_use]
    pub fn identity(&self) -> Identity {
        Identity {
            firm: self.firm.clone(),
            instance: self.instance.clone(),
        }
    }
}

/// The upstream beside the agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Where the upstream takes requests.
    pub address: SocketAddr,
    /// What the upstream is.
    pub kind: Kind,
    /// The path where the upstream tells its state; none to ask for nothing.
    /// An engine tells it at [`STATE_PATH`] if not told otherwise.
    #[serde(default)]
    pub state: Option<String>,
    /// How often the state is asked for, in milliseconds.
    #[serde(default = "Upstream::poll_ms")]
    pub poll_ms: u64,
    /// How long a connection to the upstream is kept idle, in milliseconds. It
    /// must be less than the upstream's own bound, or a request could be on its
    /// way into a connection that the upstream closes, and end unknown.
    #[serde(default = "Upstream::idle_ms")]
    pub idle_ms: u64,
    /// What the paths of requests start with; empty for any. An engine takes
    /// requests below `/v1/` if not told otherwise, and orders nowhere there.
    #[serde(default)]
    pub paths: Vec<String>,
}

impl Upstream {
    /// Engines' own figures lag by more than this, so that asking more often
    /// brings nothing newer.
    fn poll_ms() -> u64 {
        250
    }

    /// Widespread servers close idle connections after 2 seconds or more, and a
    /// new one on the same instance costs some 50 microseconds.
    fn idle_ms() -> u64 {
        1_000
    }

    /// Fills in what depends on the kind.
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

/// What an upstream is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// A model engine: a request whose caller has gone is cancelled.
    Engine,
    /// A plain service: a request that began runs on to its end, whoever
    /// still waits for it, so that its outcome can be told.
    Plain,
}

/// Bounds on what entries may make the agent hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Requests that run at once.
    pub requests: usize,
    /// Connections of entries at once.
    pub connections: usize,
    /// The largest request body in bytes.
    pub body_bytes: usize,
    /// Closed attempts that are remembered.
    pub remembered: usize,
    /// The longest that the upstream may take for one request, in seconds.
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

/// How the agent stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Drain {
    /// How long requests in flight may take to end, in seconds.
    pub deadline_seconds: u64,
    /// How long the agent stays to refuse new work before it closes its
    /// listener, in milliseconds. Entries hear of the leaving in this time.
    /// Behind the last request it stays for as long again, to tell entries
    /// whose connections broke that their requests did not run.
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

    /// How long the agent stays to refuse new work.
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
/// The text is no YAML, or a key is unknown, missing or holds what it can't;
/// the error names the line, the key and the reason.
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

/// Fills in and checks what one key alone doesn't show.
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

/// Everything that is wrong, so that it can be put right in one go.
fn problems(settings: &Settings) -> Vec<&'static str> {
    let limits = &settings.limits;
    let is_same = |a: SocketAddr, b: SocketAddr| a == b && a.port() != 0;
    let checks = [
        (
            is_same(settings.listen, settings.control),
            "control: is the same address as listen",
        ),
        (
            is_same(settings.listen, settings.upstream.address),
            "upstream.address: is the agent's own listen",
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
            "upstream.paths: a path starts with '/'",
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
