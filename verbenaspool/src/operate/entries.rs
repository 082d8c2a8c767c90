//! `verbenaspool entries`: status of entries on the direct path.

use std::{fmt::Write as _, net::SocketAddr, time::Duration};

use serde::Serialize;
use verbenaspool_transport::{rpc, runtime};

use super::Error;
use crate::direct::standing::{STANDING_METHOD, Standing};

/// Timeout of the call to an entry.
const RPC_TIMEOUT: Duration = Duration::from_secs(2);

/// The status of an entry, or why it can't be read.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Answer {
    /// The entry's control address.
    pub entry: SocketAddr,
    /// The entry's status, if it answered.
    pub standing: Option<Standing>,
    /// Why the call failed.
    pub error: Option<String>,
}

/// Queries the status of entries.
///
/// # Errors
/// The event loop can't start. Failed calls to entries are part of the result.
///
/// ```
/// let answers = verbenaspool::operate::entries::main(&[]).unwrap();
/// assert!(answers.is_empty());
/// ```
pub fn main(entries: &[SocketAddr]) -> Result<Vec<Answer>, Error> {
    let answers = runtime::run(async {
        let client = rpc::Client::default();
        let mut answers = Vec::new();
        for &entry in entries {
            let result: Result<Standing, rpc::Error> =
                client.call(entry, STANDING_METHOD, &(), RPC_TIMEOUT).await;
            answers.push(match result {
                Ok(standing) => Answer {
                    entry,
                    standing: Some(standing),
                    error: None,
                },
                Err(why) => Answer {
                    entry,
                    standing: None,
                    error: Some(why.to_string()),
                },
            });
        }
        answers
    });
    answers.map_err(Error::Runtime)
}

/// Formats the answers as a table. Entries behind the newest version are marked, and those whose
/// registry is of an earlier era of the store than another one's, so that revisions can't be
/// compared.
///
/// ```
/// assert!(verbenaspool::operate::entries::table(&[]).starts_with("ENTRY"));
/// ```
#[must_use]
pub fn table(answers: &[Answer]) -> String {
    let standings = answers.iter().filter_map(|answer| answer.standing.as_ref());
    let newest = standings.clone().map(|standing| standing.version).max();
    let latest_era = standings.map(|standing| standing.era).max();
    let mut text = format!(
        "{:<22} {:<20} {:>8} {:>9} {:>7}  {}\n",
        "ENTRY", "NAME", "VERSION", "REVISION", "ENTRIES", "NOTES"
    );
    for answer in answers {
        let Some(standing) = &answer.standing else {
            let why = answer.error.as_deref().unwrap_or_default();
            let _ = writeln!(text, "{:<22} no answer: {why}", answer.entry);
            continue;
        };
        let mut notes = Vec::new();
        if Some(standing.version) < newest {
            notes.push("behind".to_owned());
        }
        if Some(standing.era) < latest_era {
            notes.push(format!("revision of store era {}", standing.era));
        }
        if standing.leaving {
            notes.push("leaving".to_owned());
        } else if !standing.ready {
            notes.push("not ready".to_owned());
        }
        if standing.quarantined > 0 {
            notes.push(format!("{} quarantined", standing.quarantined));
        }
        let _ = writeln!(
            text,
            "{:<22} {:<20} {:>8} {:>9} {:>7}  {}",
            answer.entry,
            standing.name,
            standing.version,
            standing.revision,
            standing.entries,
            notes.join(", ")
        );
        for evacuated in &standing.evacuated {
            let _ = writeln!(
                text,
                "  zone {} evacuated, {} requests left",
                evacuated.zone, evacuated.requests
            );
        }
        for service in &standing.services {
            let _ = writeln!(
                text,
                "  {}: {} upstreams ({} ejected), {} in flight, {} queued, pace {:.2}",
                service.name,
                service.upstreams,
                service.ejected,
                service.busy,
                service.waiting,
                service.pace
            );
        }
    }
    text
}
