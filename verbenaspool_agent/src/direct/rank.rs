//! HTTP client for one rank of the group: its report, the expert choices of its requests,
//! and orders to it.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use verbenaspool_platform::{
    order,
    report::{self, Choices, Report},
};
use verbenaspool_transport::http::{body::Body, client::Client};

/// Timeout for reading from the rank.
const READ_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout for an order from the same instance, where it takes less than a millisecond. An
/// order that isn't answered by then never is, and a pass may be held until the order is
/// resent.
pub const LOCAL_ORDER_TIMEOUT: Duration = Duration::from_millis(15);

/// Timeout for an order from another instance.
pub const REMOTE_ORDER_TIMEOUT: Duration = Duration::from_millis(40);

/// Maximum size of a response. The largest ones are the choices of some hundred sets of
/// layers.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Client for the rank at one address.
#[derive(Debug, Clone)]
pub struct Rank {
    client: Client,
    address: SocketAddr,
}

/// Result of sending an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The rank executes the order, or is in the requested state already.
    Taken,
    /// The rank rejected the order with this status, because the order doesn't match its
    /// state.
    Refused(u16),
    /// The order wasn't sent, because the rank wants nothing from this agent for now.
    NotSent,
    /// No answer arrived. The order may still be executed later.
    Unknown,
}

impl Rank {
    /// Creates a client for the rank at an address.
    pub fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }

    /// How much longer the rank wants nothing from this agent.
    pub fn backoff_left(&self) -> Duration {
        self.client.backoff_left(self.address)
    }

    /// Sends a request. Returns `None` if no complete response arrived within the timeout.
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

    /// Reads the resource at a path.
    async fn get(&self, path: &str) -> Option<Bytes> {
        let (status, body) = self
            .call(Method::GET, path, String::new(), READ_TIMEOUT)
            .await?;
        (status == StatusCode::OK).then_some(body)
    }

    /// Reads the rank's report.
    pub async fn report(&self) -> Option<Report> {
        report::decode(&self.get(report::REPORT_PATH).await?)
    }

    /// Reads how often requests have chosen each expert since the rank started.
    pub async fn choices(&self) -> Option<Choices> {
        report::decode_choices(&self.get(report::CHOICES_PATH).await?)
    }

    /// Reads the experts that the rank holds under the map in use, by set of layers.
    pub async fn experts(&self) -> Option<report::RankExperts> {
        report::decode_rank_experts(&self.get(report::MAPS_PATH).await?)
    }

    /// Sends an order to the rank.
    pub async fn order(&self, order: &order::Order, epoch: u64, timeout: Duration) -> Outcome {
        if !self.backoff_left().is_zero() {
            return Outcome::NotSent;
        }
        let body = order::encode(order, epoch);
        match self
            .call(Method::POST, order::ORDER_PATH, body, timeout)
            .await
        {
            Some((status, _)) if status.is_success() => Outcome::Taken,
            Some((status, _)) => Outcome::Refused(status.as_u16()),
            None => Outcome::Unknown,
        }
    }
}
