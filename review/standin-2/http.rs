//! Reading and writing of HTTP/1.1 messages.

use std::io::{self, BufRead, Read};

/// The head of a request or a response.
#[derive(Debug, Default, Clone)]
pub struct Head {
    /// The first line.
    pub start: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(n, _)| n == name).map(|(_, value)| &**value)
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a head; `None` if the connection ends before its first byte.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return match head.start.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = String::from_utf8_lossy(&line);
        let line = line.trim_end();
        if head.start.is_empty() {
            line.clone_into(&mut head.start);
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.to_ascii_lowercase();
            head.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// How a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// By its length or its last chunk.
    Delimited,
    /// By an orderly end of the connection, where the head announces neither.
    Closed,
    /// Before its announced end, or by a reset.
    Broken,
}

/// Reads the body of a message and tells how it ended. `until_close` is for responses without length
/// or chunks.
pub fn read_body(reader: &mut impl BufRead, head: &Head, until_close: bool) -> (Vec<u8>, End) {
    let mut body = Vec::new();
    let chunked = head
        .get("transfer-encoding")
        .is_some_and(|t| t.contains("chunked"));
    if chunked {
        loop {
            let mut line = Vec::new();
            match reader.read_until(b'\n', &mut line) {
                Ok(read) if read > 0 => {}
                _ => return (body, End::Broken),
            }
            let text = String::from_utf8_lossy(&line);
            let size = text.trim().split(';').next().unwrap_or_default().to_owned();
            let Ok(size) = usize::from_str_radix(&size, 16) else {
                return (body, End::Broken);
            };
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return (body, End::Broken);
            }
            if size == 0 {
                return (body, End::Delimited);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Some(length) = head
        .get("content-length")
        .and_then(|l| l.parse::<u64>().ok())
    {
        let read = reader.take(length).read_to_end(&mut body);
        let complete = read.is_ok() && body.len() as u64 == length;
        return (
            body,
            if complete {
                End::Delimited
            } else {
                End::Broken
            },
        );
    }
    if !until_close {
        return (body, End::Delimited);
    }
    match reader.read_to_end(&mut body) {
        Ok(_) => (body, End::Closed),
        Err(_) => (body, End::Broken),
    }
}
