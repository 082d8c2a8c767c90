//! Size of the platform's list of upstream instances, by their number.

use verbenaspool_state::upstream::{Rank, State, Upstream};
use verbenaspool_transport::platform::Entry;

use super::{Output, PACKET_OVERHEAD_BYTES};

/// Upstream instances of a firm: the current number, and replicas expected in two years.
const INSTANCE_COUNTS: [usize; 4] = [19, 1_000, 4_000, 12_000];

/// Measures the list for each number of instances.
pub fn run(output: &Output) {
    for instance_count in INSTANCE_COUNTS {
        let upstreams: Vec<Upstream> = (0..instance_count).map(upstream).collect();
        let entries: Vec<Entry> = upstreams.iter().map(list_entry).collect();
        let length = |text: Result<Vec<u8>, _>| text.map_or(0, |text| text.len());
        let list_bytes = length(serde_json::to_vec(&entries));
        let object_bytes: usize = upstreams
            .iter()
            .map(|upstream| length(serde_json::to_vec(upstream)))
            .sum();
        // Each object is read by a separate call.
        let first_read_bytes =
            list_bytes + object_bytes + instance_count * (260 + 2 * PACKET_OVERHEAD_BYTES);
        #[allow(clippy::cast_precision_loss)] // Sizes are far below 2^53.
        let (list_bytes, first_read_bytes) = (list_bytes as f64, first_read_bytes as f64);
        output.print(
            "entry",
            "instances, one look at the list",
            instance_count,
            list_bytes,
            "B",
        );
        output.print(
            "entry",
            "instances, first reading",
            instance_count,
            first_read_bytes,
            "B",
        );
    }
}

/// Returns the upstream of a number, in a group of 128 ranks.
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

/// Returns the platform's list entry of an upstream.
fn list_entry(upstream: &Upstream) -> Entry {
    Entry {
        key: format!("firms/tidewater/instances/{}", upstream.name),
        version: 1 << 24,
        size: 300,
    }
}
