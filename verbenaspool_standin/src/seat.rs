//! Serves the engine of one rank over HTTP: its orders and its state, as the rank's agent uses
//! them.

use std::{cell::RefCell, rc::Rc, time::Duration};

use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use monoio::net::TcpListener;

use verbenaspool_coordination::group::engine::Action;
use verbenaspool_protocol::{
    engine::{ORDER_PATH, Order},
    group::{ENGINE_STATE_PATH, State},
};
use verbenaspool_transport::{
    clock::Clock,
    http::{
        body::Body,
        server::{self, Connections, Handler, Limits},
    },
    shutdown::Signal,
};

use crate::ranks::Group;

/// How often the engines of a group advance to the current time.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(2);

/// The HTTP server of one rank's engine.
#[derive(Debug)]
pub struct Seat {
    /// The group of the rank.
    group: Rc<RefCell<Group>>,
    /// The seat in the group, from 0.
    index: u16,
    clock: Rc<dyn Clock>,
}

impl Seat {
    /// Creates the server for the engine at a seat of a group.
    #[must_use]
    pub fn new(group: Rc<RefCell<Group>>, seat: u16, clock: Rc<dyn Clock>) -> Self {
        Self {
            group,
            index: seat,
            clock,
        }
    }

    /// Serves until the signal comes.
    ///
    /// # Panics
    /// The kernel can't refuse new connections.
    pub async fn serve(self, listener: TcpListener, signal: Signal) {
        let (limits, open) = (Limits::default(), Connections::default());
        let served = server::serve(listener, limits, Rc::new(self), open, signal);
        served.await.expect("new connections are refused");
    }

    /// Executes an order and answers whether the engine accepted it; a read is answered with a
    /// snapshot.
    fn execute_order(&self, order: Order) -> Response<Body> {
        let Ok(action) = serde_json::from_value(order.action) else {
            return json_response(StatusCode::BAD_REQUEST, &"the body is no order");
        };
        let now = self.clock.now();
        let mut group = self.group.borrow_mut();
        let Action::Read { ticket } = action else {
            let accepted = group.order(now, self.index, order.fence, action);
            let status = if accepted {
                StatusCode::OK
            } else {
                StatusCode::CONFLICT
            };
            return json_response(status, &accepted);
        };
        let snapshot = group.read(self.index, order.fence, ticket);
        json_response(StatusCode::OK, &snapshot)
    }

    /// Answers with the state, and with the events and samples since the last request.
    fn state(&self) -> Response<Body> {
        let now = self.clock.now();
        let mut group = self.group.borrow_mut();
        let state = State {
            snapshot: group.state(self.index, 0),
            events: group.events(self.index),
            samples: group.samples(now, self.index),
        };
        json_response(StatusCode::OK, &state)
    }
}

impl Handler for Seat {
    fn handle(
        self: Rc<Self>,
        _: std::net::SocketAddr,
        request: Request<Incoming>,
    ) -> server::ResponseFuture {
        Box::pin(async move {
            match (request.method(), request.uri().path()) {
                (&Method::GET, ENGINE_STATE_PATH) => self.state(),
                (&Method::POST, ORDER_PATH) => {
                    let body = request.into_body().collect().await;
                    let order = body.ok().map(http_body_util::Collected::to_bytes);
                    match order.and_then(|body| serde_json::from_slice(&body).ok()) {
                        Some(order) => self.execute_order(order),
                        None => json_response(StatusCode::BAD_REQUEST, &"the body is no order"),
                    }
                }
                _ => json_response(StatusCode::NOT_FOUND, &"no such path"),
            }
        })
    }
}

/// Advances the engines of a group with the clock, for as long as the event loop runs.
pub async fn advance(group: Rc<RefCell<Group>>, clock: Rc<dyn Clock>) {
    loop {
        group.borrow_mut().advance(clock.now());
        clock.sleep(ADVANCE_INTERVAL).await;
    }
}

/// Builds a JSON response.
fn json_response(status: StatusCode, body: &impl serde::Serialize) -> Response<Body> {
    let text = serde_json::to_vec(body).expect("the keys of an answer are strings");
    let mut response = Response::new(Body::full(text));
    *response.status_mut() = status;
    response
}
