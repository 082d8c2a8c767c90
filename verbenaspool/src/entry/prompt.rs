//! What a request to a model says about its work: read from the first chunk of
//! its body, since bodies are never gathered.

use std::borrow::Cow;

use serde::Deserialize;
use verbenaspool_protocol::prefix;

/// Bytes of a prompt to a token, roughly, for the estimate of its work.
const BYTES_PER_TOKEN: u64 = 4;

/// The estimate of a request's work.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The estimated length of its prompt in tokens.
    pub tokens: u32,
    /// The most tokens it may generate; 0 where unknown.
    pub max_tokens: u32,
    /// Hashes of its prefixes, shortest first.
    pub prefixes: Vec<u64>,
}

/// The fields of a completion request that matter here.
#[derive(Debug, Default, Deserialize)]
struct Fields<'a> {
    #[serde(borrow, default)]
    prompt: Option<Cow<'a, str>>,
    #[serde(default)]
    max_tokens: Option<u32>,
}

/// Reads the first chunk of a body that is so long in all. A body that isn't
/// whole in its first chunk, or no completion, is estimated by its length alone.
///
/// ```
/// use verbenaspool::entry::prompt;
///
/// let body = br#"{"prompt":"Mend the net.","max_tokens":64}"#;
/// let prompt = prompt::estimate(body, None);
/// assert_eq!((prompt.tokens, prompt.max_tokens), (3, 64));
/// ```
#[must_use]
pub fn estimate(first: &[u8], length: Option<u64>) -> Prompt {
    let fields: Fields<'_> = serde_json::from_slice(first).unwrap_or_default();
    let bytes = match &fields.prompt {
        Some(prompt) => prompt.len() as u64,
        None => length.unwrap_or(first.len() as u64),
    };
    Prompt {
        tokens: u32::try_from(bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX),
        max_tokens: fields.max_tokens.unwrap_or(0),
        prefixes: fields
            .prompt
            .as_deref()
            .map_or_else(Vec::new, prefix::hashes),
    }
}
