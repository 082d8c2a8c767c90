//! Orders to an engine through its agent.

use std::{rc::Rc, time::Duration};

use slog::{Discard, Logger, o};

use verbenaspool_agent::agent::Agent;
use verbenaspool_coordination::group::order::{
    Action, MAX_ORDER_VALIDITY, Order, Outcome, Reason, Role,
};
use verbenaspool_protocol::order::METHOD;
use verbenaspool_standin::engine::{Config, Parts};
use verbenaspool_transport::{clock::Paused, rpc, shutdown};

use crate::rig::{self, engine, run};

/// An engine and its agent, which has waited until orders of its predecessor have expired.
struct Fleet {
    parts: Rc<Parts>,
    control: std::net::SocketAddr,
    rpc: rpc::Client,
}

impl Fleet {
    fn start(checks_fences: bool) -> Self {
        let config = Config {
            checks_fences,
            ..Config::default()
        };
        let (address, parts) = engine(config);
        let clock = Rc::new(Paused::default());
        let log = Logger::root(Discard, o!());
        let settings = rig::settings(address, "engine");
        let agent = Agent::bind(settings, log, clock.clone()).expect("an agent");
        let control = agent.control();
        let (trigger, signal) = shutdown::channel();
        monoio::spawn(async move {
            agent.run(signal).await;
            drop(trigger);
        });
        clock.advance(MAX_ORDER_VALIDITY);
        let rpc = rpc::Client::default();
        Self {
            parts,
            control,
            rpc,
        }
    }

    async fn order(&self, id: &str, fence: u64, role: Role) -> Outcome {
        let order = Order {
            id: id.to_owned(),
            fence,
            valid_ms: 5_000,
            action: Action::Role(role),
        };
        let timeout = Duration::from_secs(5);
        let outcome = self.rpc.call(self.control, METHOD, &order, timeout).await;
        outcome.expect("the order is answered")
    }
}

/// Guards against an order that the engine carries out twice because it was repeated after
/// its answer was lost, and against an order with an old fence that is carried out because
/// the engine itself doesn't check fences.
#[test]
fn orders_run_once_and_in_fence_order() {
    for checks_fences in [true, false] {
        run(async {
            let fleet = Fleet::start(checks_fences);
            for _ in 0..2 {
                assert_eq!(fleet.order("a.1", 5, Role::Decode).await, Outcome::Done);
            }
            assert_eq!(fleet.parts.orders.executed().len(), 1);
            fleet.parts.orders.lose_answers(1);
            assert_eq!(fleet.order("a.2", 6, Role::Prefill).await, Outcome::Done);
            let late = fleet.order("old.7", 5, Role::Both).await;
            assert_eq!(late, Outcome::NotRun(Reason::Fence { fence: 6 }));
            assert_eq!(fleet.parts.orders.executed().len(), 2);
        });
    }
}
