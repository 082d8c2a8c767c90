//! Reads and writes HTTP/1.1 messages.

use std::{
    io::{self, BufRead, Write},
    net::TcpStream,
};

/// The head of a message: its first line and its headers with names in lower case.
#[derive(Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The value of a header, or an empty text.
    pub fn get(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// A word of the first line, or an empty text.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or_default()
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return if head.first_line.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if head.first_line.is_empty() {
            head.first_line = line;
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers
                .push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body with a length or in chunks.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head
        .get("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = head.get("content-length").parse().unwrap_or(0);
    body.resize(length, 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Writes a response with a length.
pub fn respond(
    mut stream: &TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut message = format!("HTTP/1.1 {status}\r\n").into_bytes();
    for (name, value) in headers {
        message.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    message.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    message.extend_from_slice(body);
    stream.write_all(&message)
}
