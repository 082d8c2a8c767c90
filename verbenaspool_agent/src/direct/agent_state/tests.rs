use std::rc::Rc;

use monoio::net::udp::UdpSocket;
use slog::{Discard, Logger, o};
use verbenaspool_coordination::switch;
use verbenaspool_platform::report::{Member, Report};
use verbenaspool_protocol::{member::State, reservation::ServiceInfo};
use verbenaspool_transport::{clock::Monotonic, http::client::Client, runtime};

use super::{super::settings::Settings, AgentState};

/// State of the agent beside the first of two ranks.
fn agent_state() -> Rc<AgentState> {
    let settings = "path: direct\nname: a\naddress: 127.0.0.1\nupstream: '127.0.0.1:9'\n\
                    service: s\npeer_port: 9\n";
    let settings: Settings = serde_norway::from_str(settings).expect("settings");
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let (log, clock) = (Logger::root(Discard, o!()), Monotonic::start());
    let client = Client::new(std::time::Duration::from_millis(100));
    AgentState::new(settings, clock, log, client, socket, 1)
}

/// Report of the own rank as a member of a group.
fn report(group: &str, epoch: u64, complete: bool) -> Report {
    let member = Member {
        group: group.to_owned(),
        epoch,
        rank: 0,
        size: 2,
        complete,
    };
    Report {
        member: Some(member),
        ..Report::default()
    }
}

/// Guards against agents that forget each other when their group breaks, for example
/// because a zone was cut off. They then learned of each other from the registry 3 s after
/// the group had re-formed, and until then passes ran on the initial map and took three
/// times as long.
#[test]
fn agents_remember_each_other_while_their_group_is_broken() {
    let run = async {
        let shared = agent_state();
        shared.handle_report(&report("g", 1, true));
        let other = State {
            sequence: 1,
            group: shared.group.get(),
            rank: 1,
            group_size: 2,
            upstream: "127.0.0.2:9".parse().expect("an address"),
            report: switch::Report::default(),
            pace: 1.0,
            zone: 1,
        };
        shared.handle_state("127.0.0.2".parse().expect("an address"), other);
        shared.handle_report(&report("g", 1, false));
        shared.handle_report(&report("g", 2, true));
        assert!(
            shared.membership.borrow().get(1).is_some(),
            "the same agents"
        );
        shared.handle_report(&report("h", 3, true));
        assert!(shared.membership.borrow().get(1).is_none(), "another group");
    };
    runtime::run(run).expect("the loop runs");
}

/// Service information as sent by an entry; some of the tested values are forged.
fn service_info(slots: u32) -> ServiceInfo {
    ServiceInfo {
        instances: vec!["127.0.0.2".parse().expect("an address")],
        slots,
        experts: None,
        min_pass_time: std::time::Duration::from_millis(40),
    }
}

/// Guards against forged datagrams: service information is accepted only from the entry
/// from which it was requested, and only soon after the request.
#[test]
fn service_info_is_accepted_only_from_the_queried_entry() {
    let run = async {
        let shared = agent_state();
        let [entry, other] = ["127.0.0.3", "127.0.0.4"].map(|ip| ip.parse().expect("an address"));
        shared.handle_service_info(entry, &service_info(99));
        assert_eq!(shared.slot_count.get(), None);
        shared.request_service_info(entry, true).await;
        shared.handle_service_info(other, &service_info(99));
        assert_eq!(shared.slot_count.get(), None);
        shared.handle_service_info(entry, &service_info(6));
        assert_eq!(shared.slot_count.get(), Some(6));
        shared
            .clock
            .sleep(std::time::Duration::from_millis(260))
            .await;
        shared.handle_service_info(entry, &service_info(99));
        assert_eq!(shared.slot_count.get(), Some(6));
    };
    runtime::run(run).expect("a loop");
}

/// Guards against agents of a large service that find each other only after their group runs,
/// which leaves it on the initial map for seconds.
#[test]
fn agents_find_each_other_while_their_group_forms() {
    let run = async {
        let shared = agent_state();
        shared.handle_report(&report("g", 1, false));
        let agent = "127.0.0.2".parse().expect("an address");
        let other = State {
            sequence: 1,
            group: verbenaspool_protocol::digest::hash("g"),
            rank: 1,
            group_size: 2,
            upstream: "127.0.0.2:9".parse().expect("an address"),
            report: switch::Report::default(),
            pace: 1.0,
            zone: 1,
        };
        assert!(shared.handle_state(agent, other.clone()), "new");
        let again = State {
            sequence: 2,
            ..other
        };
        assert!(!shared.handle_state(agent, again), "known");
        shared.handle_report(&report("g", 1, true));
        assert!(shared.knows_whole_group());
    };
    runtime::run(run).expect("the loop starts");
}

/// Guards against requests to a rank whose process is gone, as when all instances restart: its
/// agent reported nothing, and entries took that for a rank that runs.
#[test]
fn a_rank_that_cant_be_read_doesnt_run() {
    let run = async {
        let shared = agent_state();
        shared.handle_report(&report("g", 1, true));
        assert!(shared.is_running());
        shared.unreachable.set(true);
        assert!(!shared.is_running());
    };
    runtime::run(run).expect("the loop starts");
}
