//! A fake agent whose behaviour the test sets.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, header::CONTENT_TYPE};
use http_body::Frame;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use monoio::net::TcpListener;
use tokio::sync::mpsc;
use verbenaspool_protocol::{
    header,
    load::Load,
    outcome::Outcome,
    problem::{Code, Problem},
    report, settle,
};
use verbenaspool_transport::{
    http::{
        body::{self, Body},
        server::{self, Connections, Handler, Limits, ResponseFuture},
    },
    rpc::{self, Module},
    shutdown::Signal,
};

/// What the agent does with a request.
pub enum Action {
    /// Answers 200 with the request's body.
    Echo,
    /// Answers with a stream of the chunks that the test sends; none breaks it.
    Stream(mpsc::UnboundedReceiver<Option<&'static str>>),
    /// Rejects the request: it did not run.
    Reject,
    /// Answers with the id of another attempt.
    WrongAttempt,
}

/// A request as the agent received it.
#[derive(Debug, Clone)]
pub struct Received {
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// The agent: the queue of its next actions and the requests it received. It echoes if the
/// queue is empty.
pub struct FakeAgent {
    pub settle_answer: Cell<settle::Answer>,
    pub actions: RefCell<VecDeque<Action>>,
    pub received: RefCell<Vec<Received>>,
}

impl Default for FakeAgent {
    fn default() -> Self {
        Self {
            settle_answer: Cell::new(settle::Answer::Unknown),
            actions: RefCell::default(),
            received: RefCell::default(),
        }
    }
}

/// The process id of all fake agents.
pub const PROCESS_ID: u64 = 7;

impl FakeAgent {
    /// Starts the agent's control listener and returns its address.
    pub fn start_control(self: &Rc<Self>, signal: Signal) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let mut module = Module::default();
        module.register(report::METHOD, |_: report::Request| async {
            let load = Load {
                agent: PROCESS_ID,
                ..Load::default()
            };
            let cache = report::Cache::default();
            Ok::<_, String>(report::Report {
                load,
                cache,
                crashes: Vec::new(),
            })
        });
        let agent = self.clone();
        module.register(settle::METHOD, move |_: settle::Request| {
            let answer = agent.settle_answer.get();
            async move { Ok::<_, String>(answer) }
        });
        monoio::spawn(rpc::serve(listener, Rc::new(module), signal));
        address
    }

    /// Starts the agent and returns its address.
    pub fn start(self: &Rc<Self>, signal: Signal) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        monoio::spawn(server::serve(
            listener,
            Limits::default(),
            self.clone(),
            Connections::default(),
            signal,
        ));
        address
    }

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let action = self
            .actions
            .borrow_mut()
            .pop_front()
            .unwrap_or(Action::Echo);
        let (parts, body) = request.into_parts();
        let mut id = parts.headers[header::ATTEMPT].clone();
        let resume = parts.headers.get(header::RESUME).cloned();
        let body = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(_) => Bytes::from_static(b"(broken)"),
        };
        self.received.borrow_mut().push(Received {
            path: parts.uri.to_string(),
            headers: parts.headers,
            body: body.clone(),
        });
        let mut response = match action {
            Action::Echo => Response::new(Body::full(body)),
            Action::Stream(chunks) => {
                let mut response = Response::new(Body::wrap(ChannelBody(chunks)));
                let content_type = "text/event-stream".parse().unwrap();
                response.headers_mut().insert(CONTENT_TYPE, content_type);
                if let Some(tokens) = resume {
                    response.headers_mut().insert(header::RESUME, tokens);
                }
                response
            }
            Action::WrongAttempt => {
                id = "0000000000000000-1".parse().unwrap();
                Response::new(Body::full("another caller's answer"))
            }
            Action::Reject => rejection(),
        };
        let headers = response.headers_mut();
        let outcome = headers.get(header::OUTCOME).cloned();
        let ran = Outcome::Ran.as_str().parse().unwrap();
        headers.insert(header::OUTCOME, outcome.unwrap_or(ran));
        headers.insert(header::ATTEMPT, id);
        response
    }
}

fn rejection() -> Response<Body> {
    let problem = Problem::not_run(Code::Leaving, "The instance is leaving.");
    verbenaspool::entry::reply::problem(&problem)
}

impl Handler for FakeAgent {
    fn handle(self: Rc<Self>, _: SocketAddr, request: Request<Incoming>) -> ResponseFuture {
        Box::pin(self.answer(request))
    }
}

/// A body whose chunks the test sends; none breaks it.
struct ChannelBody(mpsc::UnboundedReceiver<Option<&'static str>>);

impl http_body::Body for ChannelBody {
    type Data = Bytes;
    type Error = body::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, body::Error>>> {
        self.0.poll_recv(cx).map(|fed| {
            fed.map(|chunk| match chunk {
                Some(chunk) => Ok(Frame::data(Bytes::from_static(chunk.as_bytes()))),
                None => Err("broken by the test".into()),
            })
        })
    }
}
