//! The platform's list of upstream instances, by their number.

use verbenaspool_state::upstream::{Rank, State, Upstream};
use verbenaspool_transport::platform::Entry;

use super::{Output, PACKET};

/// Upstream instances of a firm: today's, and two years' replicas.
const SIZES: [usize; 4] = [19, 1_000, 4_000, 12_000];

/// Measures the list at each size.
pub fn run(output: &Output) {
    for size in SIZES {
        let upstreams: Vec<Upstream> = (0..size).map(upstream).collect();
        let listed: Vec<Entry> = upstreams.iter().map(listed).collect();
        let length = |text: Result<Vec<u8>, _>| text.map_or(0, |text| text.len());
        let list = length(serde_json::to_vec(&listed));
        let objects: usize = upstreams
            .iter()
            .map(|u| length(serde_json::to_vec(u)))
            .sum();
        // Each object is read by a call of its own.
        let whole = list + objects + size * (260 + 2 * PACKET);
        #[allow(clippy::cast_precision_loss)] // Sizes stay far below 2^53.
        let (list, whole) = (list as f64, whole as f64);
        output.say("entry", "instances, one look at the list", size, list, "B");
        output.say("entry", "instances, first reading", size, whole, "B");
    }
}

/// An upstream by number, in a group of 128.
pub fn upstream(number: usize) -> Upstream {
    let byte = |shift: usize| u8::try_from(number >> shift & 0xff).unwrap_or_default();
    let port = 7_000;
    Upstream {
        name: format!("loft-{number}").parse().expect("a name"),
        service: format!("model-{}", number % 9).parse().expect("a name"),
        zone: format!("zone-{}", number % 11).parse().expect("a name"),
        agent: ([10, 1, byte(8), byte(0)], port).into(),
        control: ([10, 1, byte(8), byte(0)], port + 1).into(),
        state: State::Live,
        incarnation: 1,
        rank: Some(Rank {
            group: format!("group-{}", number / 128).parse().expect("a name"),
            index: u16::try_from(number % 128).unwrap_or_default(),
            group_size: 128,
        }),
    }
}

/// An upstream as the platform lists it.
fn listed(upstream: &Upstream) -> Entry {
    Entry {
        key: format!("firms/tidewater/instances/{}", upstream.name),
        version: 1 << 24,
        size: 300,
    }
}
