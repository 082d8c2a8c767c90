//! Estimates the work of a request to a model from the first chunk of its body, since large
//! bodies are not read completely before they are forwarded.

use std::borrow::Cow;

use serde::Deserialize;
use verbenaspool_protocol::prefix;

/// The approximate number of bytes per token of a prompt.
const BYTES_PER_TOKEN: u64 = 4;

/// The estimate of a request's work.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The estimated length of the prompt in tokens.
    pub tokens: u32,
    /// The maximum number of tokens to generate; 0 if unknown.
    pub max_tokens: u32,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: Vec<u64>,
    /// Hashes of the prompt's blocks.
    pub blocks: Vec<u64>,
}

/// The fields of a completion request that the estimate uses.
#[derive(Debug, Default, Deserialize)]
struct Fields<'a> {
    #[serde(borrow, default)]
    prompt: Option<Cow<'a, str>>,
    #[serde(default)]
    max_tokens: Option<u32>,
}

/// Estimates the work from the first chunk of a body of the given length. If the first chunk
/// isn't a whole completion request, only the length is used.
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
        blocks: fields
            .prompt
            .as_deref()
            .map_or_else(Vec::new, prefix::block_hashes),
    }
}
