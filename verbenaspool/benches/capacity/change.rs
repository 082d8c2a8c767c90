//! Cost of a change of one customer, for an entry and for the watcher of a zone.

use std::{
    collections::BTreeSet,
    hint::black_box,
    time::{Duration, Instant},
};

use verbenaspool::entry::{Entry, Options, upload::Bounds};
use verbenaspool_coordination::{
    adoption::{Adoption, Settings},
    head::Head,
    membership::{self, Member},
    piece,
};
use verbenaspool_protocol::peer::{Offer, OfferAnswer};
use verbenaspool_state::{credential::Digest, customer::Customer, file::File, version::Version};
use verbenaspool_transport::{clock::Monotonic, http::server::Limits, runtime};

use super::{Output, PACKET_OVERHEAD_BYTES, exchange_bytes};

/// Customers of a firm.
const CUSTOMER_COUNTS: [usize; 4] = [10, 1_000, 4_000, 16_000];
/// Changes measured for each number of customers.
const CHANGES: u32 = 20;
/// Time between two changes, longer than the maximum interval between two versions.
const CHANGE_INTERVAL: Duration = Duration::from_secs(10);
/// Bytes of the HTTP heads of a read request and its response, as client and platform
/// send them.
const HTTP_HEAD_BYTES: usize = 260;

/// Returns a file with `count` customers and nine models, the number expected in two years.
pub fn file_with_customers(count: usize) -> File {
    let yaml = include_str!("../../../examples/tidewater.yaml");
    let mut file = File::read(yaml).expect("the example is sound");
    let model = file.services[0].clone();
    for number in 1..9 {
        let mut model = model.clone();
        model.name = format!("model-{number}").parse().expect("a name");
        model.path = format!("/model-{number}/");
        file.services.push(model);
    }
    file.customers = (0..count).map(customer).collect();
    file
}

/// Returns the customer of a number.
fn customer(number: usize) -> Customer {
    Customer {
        name: format!("customer-{number}").parse().expect("a name"),
        share: 1,
        credentials: vec![Digest::of(&format!("token-{number}"))],
        services: Vec::new(),
    }
}

/// Creates an entry without listeners.
fn entry() -> std::rc::Rc<Entry> {
    let options = Options {
        firm: "tidewater".parse().expect("a name"),
        name: "entry-1".parse().expect("a name"),
        zone: "bowen".parse().expect("a name"),
        limits: Limits::default(),
        bounds: Bounds {
            max_bytes: 1 << 20,
            max_pause: Duration::from_secs(1),
        },
        connect_timeout: Duration::from_secs(1),
    };
    Entry::new(options, Monotonic::start())
}

/// Total cost of all changes.
#[derive(Default)]
struct Cost {
    adoption_time: Duration,
    table_time: Duration,
    offer_bytes: usize,
    read_bytes: usize,
    calls: usize,
}

/// Measures changes for each number of customers.
pub fn run(output: &Output) {
    for customer_count in CUSTOMER_COUNTS {
        // The tasks of the entry's queues need an event loop.
        let cost =
            runtime::run(async move { measure_changes(customer_count) }).expect("a loop starts");
        let change_count = f64::from(CHANGES);
        let print =
            |role, quantity, value, unit| output.print(role, quantity, customer_count, value, unit);
        let micros = |time: Duration| time.as_secs_f64() * 1e6 / change_count;
        #[allow(clippy::cast_precision_loss)] // Sizes are far below 2^53.
        let mean_bytes = |bytes: usize| bytes as f64 / change_count;
        print(
            "entry",
            "one change, adoption by customers",
            micros(cost.adoption_time),
            "us",
        );
        print(
            "entry",
            "one change, tables by customers",
            micros(cost.table_time),
            "us",
        );
        print(
            "entry",
            "one change, offer and answer by customers",
            mean_bytes(cost.offer_bytes),
            "B",
        );
        print(
            "watcher",
            "one change, read by customers",
            mean_bytes(cost.read_bytes),
            "B",
        );
        print(
            "watcher",
            "one change, calls by customers",
            mean_bytes(cost.calls),
            "calls",
        );
    }
}

/// Applies changes at one instance, which reads them as the watcher and sends them to a
/// second one.
fn measure_changes(customer_count: usize) -> Cost {
    let mut cost = Cost::default();
    let mut file = file_with_customers(customer_count);
    let entry = entry();
    let mut sender = Adoption::new(file.firm.clone(), Settings::default());
    let mut receiver = Adoption::new(file.firm.clone(), Settings::default());
    let split = piece::split(&file).expect("the file fits");
    let mut head = Head::first("0123456789abcdef", split.root);
    for adoption in [&mut sender, &mut receiver] {
        adoption.offer(head.clone());
        for (hash, bytes) in &split.pieces {
            adoption.insert_piece(*hash, bytes).expect("a sound piece");
        }
        adoption.poll(Duration::ZERO, 1).expect("a sound file");
    }
    let from = Member {
        name: "entry-1".parse().expect("a name"),
        incarnation: 1 << 60,
        address: ([10, 0, 0, 1], 7000).into(),
        state: membership::State::Live,
    };
    for change in 0..CHANGES {
        let number = (change as usize * 7_919) % customer_count;
        file.customers[number].share += 1;
        let split = piece::split(&file).expect("the file fits");
        let previous_root = head.root;
        head = head.next("0123456789abcdef", split.root);
        // The watcher reads the missing pieces.
        sender.offer(head.clone());
        let mut read = BTreeSet::new();
        loop {
            let missing = sender.missing_pieces();
            if missing.is_empty() {
                break;
            }
            for hash in missing {
                let bytes = &split.pieces[&hash];
                read.insert(hash);
                cost.read_bytes += bytes.len() + HTTP_HEAD_BYTES + 2 * PACKET_OVERHEAD_BYTES;
                sender.insert_piece(hash, bytes).expect("a sound piece");
            }
        }
        // Each change also completes a watch request, and its head is read.
        cost.read_bytes +=
            head.to_bytes().len() + 2 * (HTTP_HEAD_BYTES + 2 * PACKET_OVERHEAD_BYTES) + 120;
        cost.calls += read.len() + 2;
        // Versions of a large file become active seconds apart.
        let now = CHANGE_INTERVAL * (change + 1);
        sender.poll(now, 1).expect("a sound file");
        let delta = sender.delta(previous_root, head.root);
        let offer = Offer {
            from: from.clone(),
            head: head.clone(),
            delta: delta.clone(),
        };
        let answer = OfferAnswer {
            version: head.version,
        };
        cost.offer_bytes += exchange_bytes(&offer, &answer);
        let start = Instant::now();
        receiver.offer(head.clone());
        receiver
            .apply_delta(&delta.expect("one change is told"))
            .expect("a sound change");
        let adopted = receiver.poll(now, 1).expect("a sound file");
        cost.adoption_time += start.elapsed();
        let adopted = adopted.expect("all pieces are held");
        let start = Instant::now();
        entry.apply_configuration(Version(adopted.version().0), &adopted.file);
        cost.table_time += start.elapsed();
        black_box(&adopted);
    }
    cost
}
