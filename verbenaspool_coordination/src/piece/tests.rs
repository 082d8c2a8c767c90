use proptest::{prelude::*, test_runner::TestRunner};
use verbenaspool_state::{customer::Customer, file::File};

use super::{Delta, Error, Hash, Pieces, split};

/// Creates a customer; the share distinguishes versions of it.
fn customer(number: u16, share: u32) -> Customer {
    Customer {
        name: format!("customer-{number}").parse().unwrap(),
        share,
        credentials: Vec::new(),
        services: Vec::new(),
    }
}

/// Creates a file of these customers.
fn file(customers: Vec<Customer>) -> File {
    File {
        firm: "tidewater".parse().unwrap(),
        places: Vec::new(),
        services: Vec::new(),
        customers,
    }
}

/// Creates a file of `count` customers.
fn file_of(count: u16) -> File {
    file((0..count).map(|i| customer(i, 1)).collect())
}

#[test]
fn split_and_join() {
    for count in [0, 1, 4, 5, 64, 65, 1024, 1025, 3000] {
        let file = file_of(count);
        let split = split(&file).unwrap();
        let mut pieces = Pieces::default();
        pieces.extend(&split);
        assert_eq!(pieces.missing(split.root), Ok([].into()));
        let mut joined = pieces.join(split.root).unwrap();
        let mut expected = file.customers;
        joined.customers.sort_by(|a, b| a.name.cmp(&b.name));
        expected.sort_by(|a, b| a.name.cmp(&b.name));
        assert_eq!(joined.customers, expected, "{count} customers");
    }
}

#[test]
fn one_change_sends_few_bytes() {
    let old = split(&file_of(16_000)).unwrap();
    let mut file = file_of(16_000);
    file.customers[77].share = 9;
    let new = split(&file).unwrap();
    let fresh = new
        .pieces
        .iter()
        .filter(|(h, _)| !old.pieces.contains_key(h));
    let sizes: Vec<usize> = fresh.map(|(_, bytes)| bytes.len()).collect();
    // The root, three nodes and the leaf.
    assert_eq!(sizes.len(), 5);
    assert!(sizes.iter().sum::<usize>() < 4_000, "{sizes:?}");
}

// Guards against activating a file that nobody applied because a peer passed on
// damaged, truncated or forged pieces: every piece is checked against its hash.
#[test]
fn corrupt_pieces_are_rejected() {
    let split = split(&file_of(3)).unwrap();
    let mut pieces = Pieces::default();
    for (hash, bytes) in &split.pieces {
        assert_eq!(pieces.insert(*hash, b"[]x"), Err(Error::Mismatch(*hash)));
        let truncated = &bytes[..bytes.len() - 1];
        assert_eq!(pieces.insert(*hash, truncated), Err(Error::Mismatch(*hash)));
    }
    // The content matches its hash but isn't a root.
    let root = Hash::of(b"[1]");
    pieces.insert(root, b"[1]").unwrap();
    assert_eq!(pieces.join(root), Err(Error::Content));
    let invalid = Delta {
        from: split.root,
        to: Hash::of(b"other"),
        base: None,
        changed: vec![customer(1, 7)],
        removed: Vec::new(),
    };
    pieces.extend(&split);
    let piece_count = pieces.len();
    assert_eq!(pieces.apply(&invalid), Err(Error::Mismatch(invalid.to)));
    assert_eq!(pieces.len(), piece_count);
}

#[test]
fn delta_leads_to_the_new_root() {
    let change = prop::collection::vec((0_u16..400, 0_u32..3), 0..40);
    let strategy = (0_u16..300, change);
    let mut runner = TestRunner::deterministic();
    let outcome = runner.run(&strategy, |(count, changes)| {
        let old = file_of(count);
        let mut new = old.clone();
        for (number, share) in changes {
            let changed = customer(number, share);
            new.customers.retain(|c| c.name != changed.name);
            // A share of 0 means removal in this test.
            if share > 0 {
                new.customers.push(changed);
            }
        }
        let (old, new) = (split(&old).unwrap(), split(&new).unwrap());
        let mut sender = Pieces::default();
        sender.extend(&old);
        sender.extend(&new);
        let mut receiver = Pieces::default();
        receiver.extend(&old);
        if let Some(delta) = sender.delta(old.root, new.root) {
            prop_assert_eq!(receiver.apply(&delta), Ok(()));
            prop_assert_eq!(receiver.missing(new.root), Ok([].into()));
            prop_assert_eq!(receiver.join(new.root), sender.join(new.root));
        }
        Ok(())
    });
    outcome.unwrap();
}
