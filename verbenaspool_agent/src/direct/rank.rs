//! One rank of the group, over HTTP: its report, what its requests chose, and
//! orders to it.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use verbenaspool_platform::{
    order,
    report::{self, Choice, Report},
};
use verbenaspool_transport::http::{body::Body, client::Client};

/// How long a reading call may take.
const READ_TIMEOUT: Duration = Duration::from_millis(150);

/// How long an order may take that is given on the rank's own instance, where
/// it takes less than a millisecond; one that gets no answer never gets one, and
/// a pass may be held until it is given again.
pub const LOCAL_ORDER_TIMEOUT: Duration = Duration::from_millis(15);

/// How long an order may take that is given from another instance.
pub const REMOTE_ORDER_TIMEOUT: Duration = Duration::from_millis(40);

/// The largest answer: the choices of some hundred sets.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// A rank and the way to it.
#[derive(Debug, Clone)]
pub struct Rank {
    client: Client,
    address: SocketAddr,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It has begun, or holds already.
    Taken,
    /// It doesn't fit the rank's state.
    Refused(u16),
    /// Nobody knows; it may be carried out later.
    Unknown,
}

impl Rank {
    /// A rank at an address.
    pub fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }

    /// Makes a call; none where no answer came in time.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: String,
        timeout: Duration,
    ) -> Option<(StatusCode, Bytes)> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Body::full(body))
            .ok()?;
        let exchange = async {
            let response = self.client.send(self.address, request).await.ok()?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect();
            Some((status, body.await.ok()?.to_bytes()))
        };
        monoio::time::timeout(timeout, exchange).await.ok()?
    }

    /// Reads a page of the rank.
    async fn get(&self, path: &str) -> Option<Bytes> {
        let (status, body) = self
            .call(Method::GET, path, String::new(), READ_TIMEOUT)
            .await?;
        (status == StatusCode::OK).then_some(body)
    }

    /// The rank's report.
    pub async fn report(&self) -> Option<Report> {
        report::decode(&self.get(report::REPORT).await?)
    }

    /// What the rank's requests chose since it started.
    pub async fn choices(&self) -> Option<Choice> {
        report::choices(&self.get(report::CHOICES).await?)
    }

    /// The experts that the rank holds, by set, under the map in use.
    pub async fn experts(&self) -> Option<report::Held> {
        report::held(&self.get(report::MAPS).await?)
    }

    /// Gives the rank an order.
    pub async fn order(&self, order: &order::Order, epoch: u64, timeout: Duration) -> Outcome {
        let body = order::encode(order, epoch);
        match self.call(Method::POST, order::PATH, body, timeout).await {
            Some((status, _)) if status.is_success() => Outcome::Taken,
            Some((status, _)) => Outcome::Refused(status.as_u16()),
            None => Outcome::Unknown,
        }
    }
}
