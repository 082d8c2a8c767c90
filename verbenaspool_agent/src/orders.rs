//! Sends orders to the engine, one at a time and in the order of their fences.
//!
//! The steps of a group and all other orders have separate senders. Their fences are
//! unrelated numbers: if they were compared, the faster growing one would block the other.
//! Separate senders also keep a slow order from delaying steps.
//!
//! A sender has at most one order in flight and sends none after its deadline. A successor
//! of this process that waits for as long therefore knows that no order of its predecessor
//! is still to come. One gap remains: this process may be paused between its last check of
//! the clock and the write. Engines that check fences reject such an order; with others it
//! is detected by reading the engine's state.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use futures_util::future::{Either, select};
use http::{Request, header::HOST};
use http_body_util::{BodyExt, Limited};
use tokio::sync::Mutex;

use verbenaspool_protocol::engine::{ORDER_PATH, Order};
use verbenaspool_transport::{
    clock::Clock,
    http::{
        body::Body,
        client::{self, Client},
    },
};

/// Maximum size of the engine's answer to an order in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Sends orders to one engine.
#[derive(Debug)]
pub struct Sender {
    engine: SocketAddr,
    client: Client,
    clock: Rc<dyn Clock>,
    /// The highest fence sent so far; locked while an order is in flight.
    fence: Mutex<u64>,
}

/// Why an order was not, or may not have been, carried out.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An order with a higher fence was sent earlier; this one was not sent.
    #[error("an order with the higher fence {0} was sent earlier")]
    Fenced(u64),
    /// The deadline passed before the order could be sent; it was not sent.
    #[error("the deadline passed before the order was sent")]
    Expired,
    /// The engine could not be reached; the order was not sent.
    #[error("the engine can't be reached: {0}")]
    NotSent(String),
    /// The engine rejected the order.
    #[error("the engine rejected the order: {0}")]
    Rejected(String),
    /// The answer was lost; the order may have been carried out.
    #[error("the answer to the order was lost: {0}")]
    Lost(String),
}

impl Sender {
    /// Creates the sender for an engine.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use verbenaspool_agent::orders::Sender;
    /// use verbenaspool_transport::{clock::Monotonic, http::client::Client};
    ///
    /// let client = Client::new(Duration::from_secs(2));
    /// let sender = Sender::new("127.0.0.1:7100".parse().unwrap(), client, Monotonic::start());
    /// # drop(sender);
    /// ```
    #[must_use]
    pub fn new(engine: SocketAddr, client: Client, clock: Rc<dyn Clock>) -> Self {
        Self {
            engine,
            client,
            clock,
            fence: Mutex::new(0),
        }
    }

    /// Sends an order and waits for the engine's answer until the deadline.
    ///
    /// # Errors
    /// After [`Error::Lost`] the order may have been carried out; after any other error it
    /// was not.
    pub async fn send(&self, order: &Order, deadline: Duration) -> Result<Bytes, Error> {
        let mut fence = self.fence.lock().await;
        if order.fence < *fence {
            return Err(Error::Fenced(*fence));
        }
        let left = deadline.saturating_sub(self.clock.now());
        if left.is_zero() {
            return Err(Error::Expired);
        }
        *fence = order.fence;
        let exchange = Box::pin(self.exchange(order));
        match select(exchange, self.clock.sleep(left)).await {
            Either::Left((answer, _)) => answer,
            // Dropping the exchange closes its connection.
            Either::Right(_) => Err(Error::Lost("the deadline passed".to_owned())),
        }
    }

    async fn exchange(&self, order: &Order) -> Result<Bytes, Error> {
        let text = serde_json::to_vec(order).map_err(|error| Error::NotSent(error.to_string()))?;
        let request = Request::post(ORDER_PATH)
            .header(HOST, self.engine.to_string())
            .body(Body::full(text))
            .map_err(|error| Error::NotSent(error.to_string()))?;
        let response = match self.client.send(self.engine, request).await {
            Ok(response) => response,
            Err(client::Error::NotSent(reason)) => return Err(Error::NotSent(reason)),
            Err(client::Error::Broken(reason)) => return Err(Error::Lost(reason)),
            Err(error @ client::Error::LimitExceeded(_)) => {
                return Err(Error::Lost(error.to_string()));
            }
        };
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|error| Error::Lost(error.to_string()))?
            .to_bytes();
        if status.is_success() {
            Ok(body)
        } else if status.is_client_error() {
            Err(Error::Rejected(String::from_utf8_lossy(&body).into_owned()))
        } else {
            Err(Error::Lost(status.to_string()))
        }
    }
}
