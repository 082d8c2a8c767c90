//! One change of one customer, at an instance and at a watcher.

use std::{
    collections::BTreeSet,
    hint::black_box,
    time::{Duration, Instant},
};

use verbenaspool::entry::{Entry, Options, upload::Bounds};
use verbenaspool_coordination::{
    adoption::{Adoption, Settings},
    head::Head,
    membership::{Member, MemberState},
    piece,
};
use verbenaspool_protocol::peer::{Offer, OfferAnswer};
use verbenaspool_state::{credential::Digest, customer::Customer, file::File, version::Version};
use verbenaspool_transport::{clock::Monotonic, http::server::Limits, runtime};

use super::{Output, PACKET, wire};

/// Customers of a firm.
const SIZES: [usize; 4] = [10, 1_000, 4_000, 16_000];
/// Changes measured at each size.
const CHANGES: u32 = 20;
/// Time between two changes, longer than the longest between two versions.
const PAUSE: Duration = Duration::from_secs(10);
/// HTTP heads of a read and its answer, as the client and the platform send them.
const HEADS: usize = 260;

/// A file of so many customers, with nine models as in two years.
pub fn file(count: usize) -> File {
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

/// A customer by number.
fn customer(number: usize) -> Customer {
    Customer {
        name: format!("customer-{number}").parse().expect("a name"),
        share: 1,
        credentials: vec![Digest::of(&format!("token-{number}"))],
        services: Vec::new(),
    }
}

/// An entry without listeners.
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

/// What changes cost in all.
#[derive(Default)]
struct Cost {
    follow: Duration,
    table: Duration,
    offer: usize,
    pieces: usize,
    calls: usize,
}

/// Measures changes at each size.
pub fn run(output: &Output) {
    for size in SIZES {
        // The entry's queues need a loop to be tended on.
        let cost = runtime::run(async move { changes(size) }).expect("a loop starts");
        let each = f64::from(CHANGES);
        let say = |role, quantity, value, unit| output.say(role, quantity, size, value, unit);
        let us = |time: Duration| time.as_secs_f64() * 1e6 / each;
        #[allow(clippy::cast_precision_loss)] // Sizes stay far below 2^53.
        let bytes = |bytes: usize| bytes as f64 / each;
        say(
            "entry",
            "one change, adoption by customers",
            us(cost.follow),
            "us",
        );
        say(
            "entry",
            "one change, tables by customers",
            us(cost.table),
            "us",
        );
        say(
            "entry",
            "one change, offer and answer by customers",
            bytes(cost.offer),
            "B",
        );
        say(
            "watcher",
            "one change, read by customers",
            bytes(cost.pieces),
            "B",
        );
        say(
            "watcher",
            "one change, calls by customers",
            bytes(cost.calls),
            "calls",
        );
    }
}

/// Runs changes through two instances, one that hands them on and one that
/// takes them.
fn changes(size: usize) -> Cost {
    let mut cost = Cost::default();
    let mut file = file(size);
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
        state: MemberState::Live,
    };
    for change in 0..CHANGES {
        let number = (change as usize * 7_919) % size;
        file.customers[number].share += 1;
        let split = piece::split(&file).expect("the file fits");
        let before = head.root;
        head = head.next("0123456789abcdef", split.root);
        // The watcher reads what it lacks.
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
                cost.pieces += bytes.len() + HEADS + 2 * PACKET;
                sender.insert_piece(hash, bytes).expect("a sound piece");
            }
        }
        // Each change ends a watch, and its head is read as well.
        cost.pieces += head.to_bytes().len() + 2 * (HEADS + 2 * PACKET) + 120;
        cost.calls += read.len() + 2;
        // Versions of a large file are seconds apart.
        let now = PAUSE * (change + 1);
        sender.poll(now, 1).expect("a sound file");
        let delta = sender.delta(before, head.root);
        let offer = Offer {
            from: from.clone(),
            head: head.clone(),
            delta: delta.clone(),
        };
        let holding = OfferAnswer {
            version: head.version,
        };
        cost.offer += wire(&offer, &holding);
        let start = Instant::now();
        receiver.offer(head.clone());
        receiver
            .apply_delta(&delta.expect("one change is told"))
            .expect("a sound change");
        let adopted = receiver.poll(now, 1).expect("a sound file");
        cost.follow += start.elapsed();
        let adopted = adopted.expect("all pieces are held");
        let start = Instant::now();
        entry.apply_configuration(Version(adopted.version().0), &adopted.file);
        cost.table += start.elapsed();
        black_box(&adopted);
    }
    cost
}
