//! The only way to the engine's orders.
//!
//! Steps of a group and all other orders have a gate each. Their fences count
//! different things, and compared with each other the one that counts faster
//! would shut the other out; and a slow order must not hold steps up.
//!
//! One order of a kind is on its way at a time, and none is sent after its
//! deadline, so that a successor of this process that waits as long knows that no order of
//! its predecessor is still to come. What remains possible: this process may be
//! paused between its last look at the clock and the write. Engines that check
//! fences refuse such an order; with others it has to be found by reading the
//! engine's state.

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

/// The largest answer to an order that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// How long the engine's connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The sender of orders to one engine.
#[derive(Debug)]
pub struct Sender {
    engine: SocketAddr,
    client: Client,
    clock: Rc<dyn Clock>,
    /// The highest fence that was sent; held while an order is on its way.
    fence: Mutex<u64>,
}

/// Why an order was not carried out, as far as can be told.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An order with a higher fence was sent before; nothing was sent.
    #[error("an order with the fence {0} went before")]
    Fenced(u64),
    /// The deadline was over before the order could be sent; nothing was sent.
    #[error("the deadline was over before the order was sent")]
    Expired,
    /// Nothing was sent.
    #[error("the engine can't be reached: {0}")]
    NotSent(String),
    /// The engine refused it.
    #[error("the engine refused the order: {0}")]
    Rejected(String),
    /// It may have been carried out.
    #[error("the order's answer was lost: {0}")]
    Lost(String),
}

impl Sender {
    /// A gate before an engine.
    ///
    /// ```
    /// use verbenaspool_agent::orders::Sender;
    /// use verbenaspool_transport::clock::Monotonic;
    ///
    /// let sender = Sender::new("127.0.0.1:7100".parse().unwrap(), Monotonic::start());
    /// # drop(sender);
    /// ```
    #[must_use]
    pub fn new(engine: SocketAddr, clock: Rc<dyn Clock>) -> Self {
        Self {
            engine,
            client: Client::new(CONNECT_TIMEOUT),
            clock,
            fence: Mutex::new(0),
        }
    }

    /// Sends an order and waits for the engine's answer, until the deadline at
    /// the latest.
    ///
    /// # Errors
    /// Only [`Error::Lost`] leaves open whether the order was carried out.
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
            // The exchange is dropped here, and its connection with it.
            Either::Right(_) => Err(Error::Lost("the deadline is over".to_owned())),
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
