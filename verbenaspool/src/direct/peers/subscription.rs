//! Subscribes to the status of ranks at their agents.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use monoio::net::udp::UdpSocket;
use verbenaspool_protocol::{message::Message, reservation::Subscription};

use super::DIGEST_INTERVAL;
use crate::direct::gateway::Gateway;

/// How often the entry subscribes to the status of ranks in its own zone. A subscription
/// lasts for some seconds.
const SUBSCRIBE_INTERVAL: Duration = Duration::from_secs(1);

/// The entry subscribes to ranks in other zones once in this number of intervals.
const REMOTE_SUBSCRIBE_ROUNDS: u32 = 3;

/// Subscribes to the status of all ranks of groups at their agents, for as long as the
/// process runs.
pub async fn send_subscriptions(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    for round in 0_u32.. {
        let port = gateway.settings.borrow().peer_port;
        let ranks = gateway.group_ranks();
        // A starting entry should know the groups before its first requests.
        let has_ranks = !ranks.is_empty();
        for (upstream, same_zone) in ranks {
            // Best effort: the next round makes up for a lost message.
            if same_zone || round % REMOTE_SUBSCRIBE_ROUNDS == 0 {
                let message = Message::Subscribe(Subscription { same_zone }).encode();
                let agent = SocketAddr::new(upstream.ip(), port);
                let _ = socket.send_to(message, agent).await;
            }
        }
        let interval = if has_ranks {
            SUBSCRIBE_INTERVAL
        } else {
            DIGEST_INTERVAL
        };
        gateway.clock.sleep(interval).await;
    }
}
