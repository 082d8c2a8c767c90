//! Tests of how the entry forwards requests and answers.

use std::{rc::Rc, time::Duration};

use http::{Method, StatusCode};
use http_body_util::BodyExt;
use monoio::{
    io::AsyncReadRent,
    net::{TcpListener, TcpStream},
};
use tokio::sync::mpsc;
use verbenaspool::{entry::Dependencies, settings::Limits};
use verbenaspool_protocol::{header, settle};
use verbenaspool_standin::address;
use verbenaspool_state::version::Version;
use verbenaspool_transport::{
    clock::Monotonic,
    shutdown,
    trace::{self, Tracer, context::Context},
};

use crate::{
    agent::{Action, FakeAgent},
    deployment::{
        Deployment, fake_upstream, file, problem_code, read_response, request, run_test, upstream,
    },
};

/// Starts an entry with the given number of fake agents, each of which serves both services.
fn start_deployment(agents: usize) -> (Deployment, Vec<Rc<FakeAgent>>, shutdown::Trigger) {
    let (stop, signal) = shutdown::channel();
    let agents: Vec<Rc<FakeAgent>> = (0..agents).map(|_| Rc::default()).collect();
    let mut upstreams = Vec::new();
    for (i, agent) in agents.iter().enumerate() {
        let name = format!("loft-{i}");
        upstreams.push(fake_upstream(&name, "assistant", agent, &signal));
        upstreams.push(fake_upstream(&format!("jobs-{i}"), "jobs", agent, &signal));
    }
    (Deployment::start(&upstreams), agents, stop)
}

/// Sends a booking, which may not run twice, and reads the whole answer.
async fn send_booking(deployment: &Deployment) -> (StatusCode, String, String) {
    let sent = request(Method::POST, "/jobs/bookings", "one booking");
    read_response(deployment.send(sent).await).await
}

#[test]
fn a_request_reaches_its_service() {
    run_test(async {
        let (deployment, agents, _stop) = start_deployment(1);
        let mut sent = request(
            Method::POST,
            "/loft/v1/completions?x=1",
            "{\"prompt\":\"net\"}",
        );
        sent.headers_mut()
            .insert(header::PRIORITY, "high".parse().unwrap());
        sent.headers_mut()
            .insert(header::AGENT, "9".parse().unwrap());
        let (status, outcome, body) = read_response(deployment.send(sent).await).await;
        assert_eq!((status.as_u16(), outcome.as_str()), (200, "ran"));
        assert_eq!(body, "{\"prompt\":\"net\"}");
        let received = agents[0].received.borrow()[0].clone();
        assert_eq!(received.path, "/v1/completions?x=1");
        assert_eq!(received.body, body);
        assert_eq!(received.headers[header::CUSTOMER], "bowen-loft");
        assert_eq!(received.headers[header::PRIORITY], "high");
        assert!(!received.headers.contains_key("authorization"));
        assert_eq!(received.headers[header::AGENT], "7");
        assert!(received.headers.contains_key(header::TRACEPARENT));
    });
}

#[test]
fn the_first_chunk_is_forwarded_before_the_second_is_sent() {
    run_test(async {
        let (deployment, agents, _stop) = start_deployment(1);
        let (feed, chunks) = mpsc::unbounded_channel();
        agents[0]
            .actions
            .borrow_mut()
            .push_back(Action::Stream(chunks));
        let sent = request(Method::POST, "/loft/v1/completions", "{}");
        feed.send(Some("data: one\n\n")).unwrap();
        let mut body = deployment.send(sent).await.into_body();
        let first = body.frame().await.unwrap().unwrap().into_data().unwrap();
        assert_eq!(first, "data: one\n\n");
        feed.send(Some("data: two\n\n")).unwrap();
        drop(feed);
        let rest = body.collect().await.unwrap().to_bytes();
        assert_eq!(rest, "data: two\n\n");
    });
}

#[test]
fn a_broken_stream_never_ends_like_a_complete_one() {
    // Guards against an incomplete stream that looks complete to the caller: the upstream broke
    // the connection, and the entry ended the response normally.
    run_test(async {
        let (deployment, agents, _stop) = start_deployment(1);
        let (feed, chunks) = mpsc::unbounded_channel();
        agents[0]
            .actions
            .borrow_mut()
            .push_back(Action::Stream(chunks));
        feed.send(Some("data: one\n\n")).unwrap();
        let sent = request(Method::GET, "/jobs/bookings", "");
        let mut body = deployment.send(sent).await.into_body();
        body.frame().await.unwrap().unwrap();
        feed.send(None).unwrap();
        assert!(body.frame().await.unwrap().is_err());
    });
}

#[test]
fn a_broken_stream_resumes_after_its_last_whole_token() {
    // Guards against duplicate or truncated tokens: the first upstream broke off within an
    // event, and the second resumed at the wrong token.
    run_test(async {
        let (deployment, agents, _stop) = start_deployment(1);
        let (feed, chunks) = mpsc::unbounded_channel();
        let (resumed_feed, resumed_chunks) = mpsc::unbounded_channel();
        let actions = [Action::Stream(chunks), Action::Stream(resumed_chunks)];
        agents[0].actions.borrow_mut().extend(actions);
        feed.send(Some("data: one\n\ndata: t")).unwrap();
        let sent = request(Method::POST, "/loft/v1/completions", "{}");
        let mut body = deployment.send(sent).await.into_body();
        let first = body.frame().await.unwrap().unwrap().into_data().unwrap();
        assert_eq!(first, "data: one\n\n");
        feed.send(None).unwrap();
        resumed_feed.send(Some("data: two\n\n")).unwrap();
        drop(resumed_feed);
        let last = body.collect().await.unwrap().to_bytes();
        assert_eq!(last, "data: two\n\n");
        let received = agents[0].received.borrow();
        assert_eq!(received[1].headers[header::RESUME], "1");
        assert_eq!(received[1].body, received[0].body);
    });
}

/// Guards against an answer that ends twice because it was resumed after its end mark.
#[test]
fn a_stream_that_breaks_after_its_end_mark_is_not_resumed() {
    run_test(async {
        let (deployment, agents, _stop) = start_deployment(2);
        let queue_stream = |agent: &FakeAgent| {
            let (feed, chunks) = mpsc::unbounded_channel();
            agent.actions.borrow_mut().push_back(Action::Stream(chunks));
            feed
        };
        let feeds = [queue_stream(&agents[0]), queue_stream(&agents[1])];
        for feed in &feeds {
            for chunk in ["data: one\n\ndata: [DO", "NE]\n\n"] {
                feed.send(Some(chunk)).unwrap();
            }
        }
        let sent = request(Method::POST, "/loft/v1/completions", "{}");
        let mut body = deployment.send(sent).await.into_body();
        let mut received = Vec::new();
        while !received.ends_with(b"[DONE]\n\n") {
            let frame = body.frame().await.unwrap().unwrap();
            received.extend(frame.into_data().unwrap());
        }
        for feed in &feeds {
            feed.send(None).unwrap();
        }
        received.extend(body.collect().await.unwrap().to_bytes());
        assert_eq!(received, b"data: one\n\ndata: [DONE]\n\n");
        let sent = agents.iter().map(|agent| agent.received.borrow().len());
        assert_eq!(sent.sum::<usize>(), 1);
    });
}

#[test]
fn a_confirmed_rejection_is_retried_on_another_upstream() {
    run_test(async {
        let (deployment, agents, _stop) = start_deployment(2);
        let reject = |agent: &FakeAgent| {
            let mut actions = agent.actions.borrow_mut();
            actions.extend((0..20).map(|_| Action::Reject));
        };
        reject(&agents[0]);
        assert_eq!(send_booking(&deployment).await.2, "one booking");
        // If both reject the request, the caller learns that it did not run.
        reject(&agents[1]);
        let (status, outcome, body) = send_booking(&deployment).await;
        assert_eq!((status.as_u16(), outcome.as_str()), (503, "not-run"));
        assert_eq!(problem_code(&body), "no-upstream");
    });
}

#[test]
fn an_answer_to_another_attempt_never_reaches_the_caller() {
    // Guards against a caller that gets another caller's answer: an agent answered on the wrong
    // connection, and the entry forwarded the answer.
    run_test(async {
        let (deployment, agents, _stop) = start_deployment(1);
        agents[0]
            .actions
            .borrow_mut()
            .push_back(Action::WrongAttempt);
        let (status, outcome, body) = send_booking(&deployment).await;
        assert_eq!((status.as_u16(), outcome.as_str()), (502, "unknown"));
        assert_eq!(problem_code(&body), "upstream");
        assert_eq!(agents[0].received.borrow().len(), 1);
    });
}

#[test]
fn a_write_whose_answer_is_lost_is_not_retried() {
    // Guards against a write that runs twice: the agent ran the booking and crashed before its
    // answer, and the entry sent the booking again.
    run_test(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (connected, mut connections) = mpsc::unbounded_channel();
        monoio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let _ = stream.read(vec![0; 4096]).await;
                connected.send(()).unwrap();
            }
        });
        let agent = Rc::new(FakeAgent::default());
        let (_stop, signal) = shutdown::channel();
        let control = agent.start_control(signal);
        let upstreams = [
            upstream("jobs-1", "jobs", address, control),
            upstream("jobs-2", "jobs", address, control),
        ];
        let deployment = Deployment::start(&upstreams);
        let (status, outcome, _) = send_booking(&deployment).await;
        assert_eq!((status.as_u16(), outcome.as_str()), (502, "unknown"));
        assert!(connections.try_recv().is_ok());
        assert!(connections.try_recv().is_err());
        // Once the agent confirms that it will never run, a retry is safe.
        agent.settle_answer.set(settle::Answer::Refused);
        let (status, outcome, _) = send_booking(&deployment).await;
        assert_eq!((status.as_u16(), outcome.as_str()), (503, "not-run"));
    });
}

#[test]
fn an_unreachable_upstream_yields_not_run() {
    run_test(async {
        let unused = address::fresh();
        let deployment = Deployment::start(&[upstream("jobs-1", "jobs", unused, unused)]);
        let (status, outcome, body) = send_booking(&deployment).await;
        assert_eq!((status.as_u16(), outcome.as_str()), (503, "not-run"));
        assert_eq!(problem_code(&body), "no-upstream");
    });
}

#[test]
fn a_stopping_entry_completes_open_requests() {
    // Guards against answers that are cut off by an ordinary restart: the entry was stopped
    // while a stream was open, and ended with it.
    run_test(async {
        let (deployment, agents, _stop) = start_deployment(1);
        let (feed, chunks) = mpsc::unbounded_channel();
        agents[0]
            .actions
            .borrow_mut()
            .push_back(Action::Stream(chunks));
        let sent = request(Method::POST, "/loft/v1/completions", "{}");
        feed.send(Some("data: one\n\n")).unwrap();
        let mut body = deployment.send(sent).await.into_body();
        body.frame().await.unwrap().unwrap();
        deployment.stop.fire();
        monoio::time::sleep(Duration::from_millis(50)).await;
        feed.send(Some("data: two\n\n")).unwrap();
        drop(feed);
        assert_eq!(body.collect().await.unwrap().to_bytes(), "data: two\n\n");
        assert!(TcpStream::connect(deployment.address).await.is_err());
    });
}

#[test]
fn each_hop_has_a_span_in_the_callers_trace() {
    run_test(async {
        let (_stop, signal) = shutdown::channel();
        let agent = Rc::new(FakeAgent::default());
        let clock = Monotonic::start();
        let settings = trace::Settings {
            collector: "127.0.0.1:1".parse().unwrap(),
            sample: 0.0,
        };
        let tracer = Tracer::new(Some(&settings), clock.clone());
        let dependencies = Dependencies {
            tracer: tracer.clone(),
            ..Dependencies::minimal(clock)
        };
        let deployment = Deployment::with_dependencies(Limits::default(), dependencies);
        deployment.entry.apply_configuration(Version(1), &file());
        deployment
            .entry
            .set_upstreams(&[fake_upstream("jobs-1", "jobs", &agent, &signal)]);
        let mut sent = request(Method::POST, "/jobs/bookings", "one booking");
        let context = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
        let headers = sent.headers_mut();
        headers.insert(header::TRACEPARENT, context.parse().unwrap());
        read_response(deployment.send(sent).await).await;
        let spans = tracer.take_ended(10);
        let names: Vec<_> = spans.iter().map(|span| span.name).collect();
        assert_eq!(names, ["queue", "entry to agent", "caller to entry"]);
        let [queue, attempt, caller] = &spans[..] else {
            panic!("expected three spans")
        };
        assert_eq!(queue.parent, caller.context.span);
        assert_eq!(attempt.parent, caller.context.span);
        let remote = Context::parse(context).unwrap();
        assert_eq!(
            (caller.parent, caller.context.trace),
            (remote.span, remote.trace)
        );
        let forwarded = agent.received.borrow()[0].headers[header::TRACEPARENT].clone();
        assert_eq!(forwarded, attempt.context.to_string());
    });
}

#[test]
fn a_caller_that_leaves_cancels_its_work() {
    // Guards against upstreams that work for callers who have closed their connections, while
    // the entry goes on reading the answers.
    run_test(async {
        let (deployment, agents, _stop) = start_deployment(1);
        let (feed, chunks) = mpsc::unbounded_channel();
        agents[0]
            .actions
            .borrow_mut()
            .push_back(Action::Stream(chunks));
        feed.send(Some("data: one\n\n")).unwrap();
        let sent = request(Method::POST, "/loft/v1/completions", "{}");
        let mut body = deployment.send(sent).await.into_body();
        body.frame().await.unwrap().unwrap();
        drop(body);
        while feed.send(Some("data: more\n\n")).is_ok() {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
        let metrics = deployment.entry.scrape();
        let line = "verbenaspool_requests_total{service=\"assistant\",outcome=\"cancelled\"} 1";
        assert!(metrics.contains(line), "{metrics}");
    });
}
