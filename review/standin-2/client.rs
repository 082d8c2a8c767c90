//! A client, as the pages describe it.

use std::{
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::http::{self, End, Head};

/// The answer to a request.
#[derive(Debug)]
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
    pub end: End,
}

impl Answer {
    /// Whether it looks complete to a client.
    pub fn looks_complete(&self) -> bool {
        self.end != End::Broken
    }
}

/// A channel to an entry.
#[derive(Debug)]
pub struct Channel {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Channel {
    /// Opens a channel. A client waits a second for it.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let writer = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        writer.set_nodelay(true)?;
        let reader = BufReader::new(writer.try_clone()?);
        Ok(Self { reader, writer })
    }

    /// Sends a request.
    pub fn send(&mut self, start: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut text = format!("{start} HTTP/1.1\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() || !start.starts_with("GET") {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.writer.write_all(&bytes)
    }

    /// Reads an answer; an error if the channel ends or `patience` passes before its head is whole.
    pub fn receive(&mut self, patience: Duration) -> io::Result<Answer> {
        self.writer.set_read_timeout(Some(patience))?;
        let head = http::read_head(&mut self.reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let (body, end) = http::read_body(&mut self.reader, &head, true);
        Ok(Answer { head, body, end })
    }
}
