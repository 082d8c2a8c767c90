//! The client of the platform's object API, HTTP/1.1 over monoio-http.
//!
//! Bodies are sent and read whole and the peer is known, a case that monoio-http handles
//! well. Each connection carries one call at a time and is dropped on any error or timeout,
//! so that no late answer can be mistaken for the answer to a later call.

use std::{cell::RefCell, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use monoio::{
    io::{sink::SinkExt, stream::Stream},
    net::TcpStream,
    time,
};
use monoio_http::{
    common::body::{BodyExt, HttpBody},
    h1::codec::ClientCodec,
};

use verbenaspool_state::credential::Token;

use crate::http::memory::{Budget, System};

use super::{
    CallFuture, ERA_HEADER, Entry, Error, Events, IF_VERSION_HEADER, MAX_VALUE_BYTES, Object,
    Store, VERSION_HEADER, When,
    era::Era,
    limited::{Allowance, LimitedStream},
};

/// Maximum number of idle connections to keep. An instance has one watch and a few reads
/// and writes open at a time.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Time added to the wait of a watch for its timeout, for the round trip.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// Maximum size of a response's head. Heads have some hundred bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum size of a response's body. The largest legitimate one lists all upstreams: 12,000 of
/// them, with some 350 bytes each, have 4.2 MB.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// A connection to the platform, and how much of a response it reads.
struct Connection {
    codec: ClientCodec<LimitedStream>,
    allowance: Allowance,
}

/// Settings of a client.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The platform's address.
    pub address: SocketAddr,
    /// The token, which gives access to the keys of one firm.
    pub token: Token,
    /// Timeout of a call, not counting the wait of a watch.
    pub timeout: Duration,
}

/// A pool of connections to the platform, independent of the format of its calls.
pub struct Channel {
    /// The platform's address.
    address: SocketAddr,
    /// Connections with no outstanding answer.
    idle: RefCell<Vec<Connection>>,
    /// Budget of the bytes of answers.
    budget: Budget,
}

impl Channel {
    /// Creates a channel. It connects on the first call.
    ///
    /// ```
    /// use verbenaspool_transport::platform::client::Channel;
    ///
    /// let channel = Channel::new(([127, 0, 0, 1], 7000).into());
    /// # drop(channel);
    /// ```
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: RefCell::default(),
            budget: Budget::unlimited(),
        }
    }

    /// Takes the bytes of answers from a budget.
    ///
    /// ```
    /// use verbenaspool_transport::{http::memory::Budget, platform::client::Channel};
    ///
    /// let channel = Channel::new(([127, 0, 0, 1], 7000).into()).with_budget(Budget::new(1_000));
    /// # drop(channel);
    /// ```
    #[must_use]
    pub fn with_budget(mut self, budget: Budget) -> Self {
        self.budget = budget;
        self
    }

    /// Returns the platform's address.
    ///
    /// ```
    /// use verbenaspool_transport::platform::client::Channel;
    ///
    /// let address = ([127, 0, 0, 1], 7000).into();
    /// assert_eq!(Channel::new(address).address(), address);
    /// ```
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes one call within `timeout`.
    ///
    /// # Errors
    /// [`Error::NotSent`] if no byte of the call was sent, [`Error::Unknown`] if no valid
    /// answer was received.
    pub async fn call(
        &self,
        request: Request<HttpBody>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let result = match time::timeout(timeout, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(Error::Unknown("timeout".to_owned())),
        };
        if result.is_err() {
            // What broke or silenced a connection may have done so to others as well.
            self.idle.borrow_mut().clear();
        }
        result
    }

    /// Sends a request and reads its answer.
    async fn exchange(&self, request: Request<HttpBody>) -> Result<Response<Bytes>, Error> {
        let mut connection = self.connect().await?;
        let allowance = connection.allowance.clone();
        let result = Self::round_trip(&mut connection, request).await;
        if allowance.is_exceeded() {
            self.budget.record_excess(System::Store);
            let reason = format!("the answer exceeds {MAX_BODY_BYTES} bytes");
            return Err(Error::Unknown(reason));
        }
        let response = result.map_err(Error::Unknown)?;
        if response.headers().get(header::CONNECTION).is_none() {
            self.store_idle(connection);
        }
        Ok(response)
    }

    /// Sends a request on a connection and reads its answer.
    async fn round_trip(
        connection: &mut Connection,
        request: Request<HttpBody>,
    ) -> Result<Response<Bytes>, String> {
        let Connection { codec, allowance } = connection;
        allowance.set(MAX_HEAD_BYTES);
        codec
            .send_and_flush(request)
            .await
            .map_err(|e| e.to_string())?;
        let response = codec
            .next()
            .await
            .ok_or_else(|| "connection closed".to_owned())?
            .map_err(|e| e.to_string())?;
        let (head, body) = response.into_parts();
        let length = head.headers.get(header::CONTENT_LENGTH);
        let length = length.and_then(|length| length.to_str().ok()?.parse().ok());
        if length.is_some_and(|length: usize| length > MAX_BODY_BYTES) {
            allowance.set_exceeded();
            return Err("too large".to_owned());
        }
        allowance.set(MAX_BODY_BYTES);
        let body = body.with_io(codec).bytes().await;
        let body = body.map_err(|e| e.to_string())?;
        let body = allowance.take_held().keep_with(body);
        Ok(Response::from_parts(head, body))
    }

    /// Returns an idle connection or a new one.
    ///
    /// The platform may have closed an idle connection. A call on it then fails with
    /// [`Error::Unknown`], and the caller determines its outcome or retries.
    async fn connect(&self) -> Result<Connection, Error> {
        let idle = self.idle.borrow_mut().pop();
        if let Some(connection) = idle {
            return Ok(connection);
        }
        let stream = TcpStream::connect_addr(self.address)
            .await
            .map_err(|e| Error::NotSent(e.to_string()))?;
        // Calls are small and each one waits for its answer, so batching only adds delay.
        stream
            .set_nodelay(true)
            .map_err(|e| Error::NotSent(e.to_string()))?;
        let allowance = Allowance::new(&self.budget);
        let stream = LimitedStream::new(stream, allowance.clone());
        Ok(Connection {
            codec: ClientCodec::new(stream),
            allowance,
        })
    }

    /// Keeps a connection for a later call, if there are few enough.
    fn store_idle(&self, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }
}

/// A client of the platform's object API.
pub struct Client {
    /// The settings.
    settings: Settings,
    /// The connections.
    channel: Channel,
    /// The store's eras.
    era: Era,
}

impl Client {
    /// Creates a client. It connects on the first call.
    ///
    /// ```
    /// use std::time::Duration;
    /// use verbenaspool_transport::platform::client::{Client, Settings};
    ///
    /// let client = Client::new(Settings {
    ///     address: ([127, 0, 0, 1], 7000).into(),
    ///     token: "demo".to_owned().into(),
    ///     timeout: Duration::from_secs(1),
    /// });
    /// # drop(client);
    /// ```
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            channel: Channel::new(settings.address),
            era: Era::default(),
            settings,
        }
    }

    /// Makes one call within `timeout`.
    async fn call(&self, call: Call<'_>, timeout: Duration) -> Result<Response<Bytes>, Error> {
        let request = call.request(&self.settings)?;
        let response = self.channel.call(request, timeout).await?;
        self.era.observe(number_in(&response, ERA_HEADER))?;
        Ok(response)
    }
}

impl Store for Client {
    fn get<'a>(&'a self, key: &'a str) -> CallFuture<'a, Option<Object>> {
        Box::pin(async move {
            let call = Call::new(Method::GET, object_path(key));
            let response = self.call(call, self.settings.timeout).await?;
            match response.status() {
                StatusCode::OK => Ok(Some(Object {
                    version: version_of(&response)?,
                    value: response.into_body(),
                })),
                StatusCode::NOT_FOUND => Ok(None),
                _ => Err(error_for(&response)),
            }
        })
    }

    fn put<'a>(&'a self, key: &'a str, value: Bytes, when: When) -> CallFuture<'a, u64> {
        Box::pin(async move {
            if value.len() > MAX_VALUE_BYTES {
                return Err(Error::TooLarge);
            }
            let call = Call {
                when,
                body: Some(&value),
                ..Call::new(Method::PUT, object_path(key))
            };
            let response = self.call(call, self.settings.timeout).await?;
            match response.status() {
                StatusCode::OK => version_of(&response),
                _ => Err(error_for(&response)),
            }
        })
    }

    fn delete<'a>(&'a self, key: &'a str, when: When) -> CallFuture<'a, ()> {
        Box::pin(async move {
            let call = Call {
                when,
                ..Call::new(Method::DELETE, object_path(key))
            };
            let response = self.call(call, self.settings.timeout).await?;
            match response.status() {
                StatusCode::OK | StatusCode::NOT_FOUND => Ok(()),
                _ => Err(error_for(&response)),
            }
        })
    }

    fn list<'a>(&'a self, prefix: &'a str) -> CallFuture<'a, Vec<Entry>> {
        Box::pin(async move {
            let call = Call::new(Method::GET, format!("/v1/list?prefix={prefix}"));
            let response = self.call(call, self.settings.timeout).await?;
            match response.status() {
                StatusCode::OK => parse_body(&response),
                _ => Err(error_for(&response)),
            }
        })
    }

    fn watch<'a>(&'a self, prefix: &'a str, since: u64, wait: Duration) -> CallFuture<'a, Events> {
        Box::pin(async move {
            let wait_ms = wait.as_millis();
            let path = format!("/v1/watch?prefix={prefix}&since={since}&wait_ms={wait_ms}");
            let call = Call::new(Method::GET, path);
            let response = self.call(call, wait + WATCH_TIMEOUT_MARGIN).await?;
            match response.status() {
                StatusCode::OK => parse_body(&response),
                _ => Err(error_for(&response)),
            }
        })
    }

    fn era(&self) -> u64 {
        self.era.known()
    }
}

/// A call before it is sent.
struct Call<'a> {
    /// The HTTP method.
    method: Method,
    /// The path and query.
    path: String,
    /// The condition of a write or deletion.
    when: When,
    /// The value of a write.
    body: Option<&'a Bytes>,
}

impl Call<'_> {
    /// Creates a call without condition or body.
    fn new(method: Method, path: String) -> Self {
        Self {
            method,
            path,
            when: When::Always,
            body: None,
        }
    }

    /// Builds the HTTP request.
    fn request(self, settings: &Settings) -> Result<Request<HttpBody>, Error> {
        let mut request = Request::builder()
            .method(self.method)
            .uri(self.path)
            .header(header::HOST, settings.address.to_string())
            .header(
                header::AUTHORIZATION,
                format!("Bearer {}", settings.token.reveal()),
            );
        if let Some(version) = expected_version(self.when) {
            request = request.header(IF_VERSION_HEADER, version);
        }
        request
            .body(HttpBody::Ready(self.body.cloned()))
            .map_err(|e| Error::NotSent(e.to_string()))
    }
}

/// The value of [`IF_VERSION_HEADER`] for a condition.
fn expected_version(when: When) -> Option<u64> {
    match when {
        When::Always => None,
        When::Absent => Some(0),
        When::Version(version) => Some(version),
    }
}

/// The path of an object.
fn object_path(key: &str) -> String {
    format!("/v1/objects/{key}")
}

/// Parses the object version in a response.
fn version_of(response: &Response<Bytes>) -> Result<u64, Error> {
    number_in(response, VERSION_HEADER)
        .ok_or_else(|| Error::Unknown(format!("no {VERSION_HEADER} in the answer")))
}

/// The number in a header of a response.
fn number_in(response: &Response<Bytes>, header: &str) -> Option<u64> {
    let value = response.headers().get(header)?;
    value.to_str().ok()?.parse().ok()
}

/// Parses the JSON body of a response.
fn parse_body<T: serde::de::DeserializeOwned>(response: &Response<Bytes>) -> Result<T, Error> {
    serde_json::from_slice(response.body()).map_err(|e| Error::Unknown(e.to_string()))
}

/// Returns the error that a response represents.
fn error_for(response: &Response<Bytes>) -> Error {
    match response.status() {
        StatusCode::CONFLICT => {
            version_of(response).map_or_else(|error| error, |current| Error::Conflict { current })
        }
        StatusCode::PAYLOAD_TOO_LARGE => Error::TooLarge,
        StatusCode::UNAUTHORIZED | StatusCode::FORBIDDEN => Error::Forbidden,
        StatusCode::TOO_MANY_REQUESTS => Error::Busy,
        status => Error::Unknown(status.to_string()),
    }
}
