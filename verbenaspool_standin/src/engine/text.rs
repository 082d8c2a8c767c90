//! Generates and parses the text of answers, which is a function of the prompt.

use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64;

use super::Completion;

/// Returns the token at an index of the answer to a prompt.
///
/// ```
/// use verbenaspool_standin::engine::text;
///
/// assert_ne!(text::token("one", 0), text::token("other", 0));
/// ```
#[must_use]
pub fn token(prompt: &str, index: u32) -> String {
    format!("{:08x}.{index} ", xxh3_64(prompt.as_bytes()) >> 32)
}

/// Returns the complete answer to a prompt, as a checker expects it.
///
/// ```
/// use verbenaspool_standin::engine::text;
///
/// assert_eq!(text::answer("one", 1), text::token("one", 0));
/// ```
#[must_use]
pub fn answer(prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|index| token(prompt, index)).collect()
}

/// Formats a server-sent event with one token.
pub(crate) fn event(prompt: &str, index: u32) -> String {
    let text = token(prompt, index);
    let data = json!({"object": "text_completion", "choices": [{"index": 0, "text": text}]});
    format!("data: {data}\n\n")
}

/// The last event of a stream.
pub(crate) const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Returns the body of an answer that is not streamed.
pub(crate) fn full_response(completion: &Completion, text: &str) -> Value {
    json!({
        "object": "text_completion",
        "choices": [{"index": 0, "text": text, "finish_reason": "length"}],
        "usage": {"completion_tokens": completion.max_tokens},
    })
}

/// Extracts the text from a response body, streamed or not; returns `None` if the body is
/// truncated or not an answer.
///
/// ```
/// use verbenaspool_standin::engine::text;
///
/// assert_eq!(text::parse(b"data: [DONE]\n\n"), Some(String::new()));
/// assert_eq!(text::parse(b"data: {\"choi"), None);
/// ```
#[must_use]
pub fn parse(body: &[u8]) -> Option<String> {
    let body = std::str::from_utf8(body).ok()?;
    if !body.starts_with("data:") {
        return choice_text(body);
    }
    let events = body.strip_suffix(DONE_EVENT)?;
    events
        .split_terminator("\n\n")
        .map(|event| choice_text(event.strip_prefix("data:")?))
        .collect()
}

/// Extracts the text from the first choice of an answer or event.
fn choice_text(json: &str) -> Option<String> {
    let value: Value = serde_json::from_str(json).ok()?;
    value["choices"][0]["text"].as_str().map(str::to_owned)
}
