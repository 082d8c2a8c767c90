use std::time::Duration;

use verbenaspool_coordination::switch::Report;
use verbenaspool_protocol::member::{Choices, RankExperts};
use verbenaspool_state::{engine::Experts, expert_map::Layer};

use super::Lead;

const NOW: Duration = Duration::from_secs(5);

const EXPERTS: Experts = Experts {
    layers: 1,
    count: 4,
    max_slots_per_rank: 4,
    max_new_per_layer: 2,
    work_share: 0.85,
    copy_time: Duration::from_millis(100),
};

/// The lead of two ranks that have just formed a group, on its first map.
fn formed(epoch: u64) -> Lead {
    let mut lead = Lead::new(2);
    for rank in 0..2 {
        let report = Report {
            epoch,
            step: 1,
            ..Report::default()
        };
        lead.switch.report(NOW, rank.into(), report);
        lead.record_experts(RankExperts {
            group: 7,
            epoch,
            rank,
            version: 0,
            experts: vec![vec![rank, rank + 2]],
        });
    }
    lead
}

/// What the requests of a rank chose: nearly all of them the first expert.
fn choices() -> Choices {
    Choices {
        group: 7,
        epoch: 1,
        rank: 0,
        round: 1,
        offset: 0,
        counts: vec![8_000, 100, 100, 100],
    }
}

/// A group forms anew, and all who waited for it come in one moment. On its first map
/// the busiest rank kept them waiting until enough of them had run to tell which experts
/// they choose. What they chose before tells it without them.
#[test]
fn a_re_formed_group_keeps_expert_loads() {
    let mut before = formed(1);
    before.add_choices(NOW, &choices(), 4);
    let mut lead = formed(2);
    assert_eq!(lead.decide(NOW, &EXPERTS), None, "nothing is known");
    lead.inherit(before, 2);
    let change = lead.decide(NOW, &EXPERTS).expect("a change");
    assert!(change.imbalance_after < 1.2, "{change:?}");
}

/// Guards against a lead that waits for what ranks hold, or for reports that came before
/// its own rank had joined the group, while everybody's passes are at their longest.
#[test]
fn the_initial_map_is_changed_as_soon_as_all_ranks_reported() {
    let report = Report {
        epoch: 2,
        step: 1,
        ..Report::default()
    };
    let mut before = formed(1);
    before.switch.report(NOW, 1, report);
    let mut lead = Lead::new(2);
    lead.inherit(before, 2);
    lead.switch.report(NOW, 0, report);
    assert_eq!(lead.decide(NOW, &EXPERTS), None, "nothing was chosen");
    let choices = Choices {
        epoch: 2,
        ..choices()
    };
    lead.add_choices(NOW, &choices, 4);
    assert!(lead.decide(NOW, &EXPERTS).is_some());
}

/// Guards against a first map that suits what requests chose before a long outage.
#[test]
fn outdated_choices_change_no_map() {
    let mut lead = formed(1);
    lead.add_choices(Duration::from_secs(1), &choices(), 4);
    assert_eq!(lead.decide(NOW, &EXPERTS), None);
}

/// One copy takes 0.1 s, more than a usual change may take: one a rank is made. On the
/// first map, or where a rank is slow, three are, since passes are late until then.
#[test]
fn a_bad_map_allows_more_copies_per_change() {
    let mut lead = formed(1);
    let (_, layers) = lead.current_map(&EXPERTS).expect("both ranks said it");
    let copies = |lead: &Lead, layers: &[Layer], version| {
        super::copies_within(lead.max_copy_time(NOW, layers, version), EXPERTS.copy_time)
    };
    assert_eq!(copies(&lead, &layers, 0), 3, "the first map");
    assert_eq!(copies(&lead, &layers, 9), 1, "a map that was searched");
    lead.set_pace(1, 4.0);
    assert_eq!(copies(&lead, &layers, 9), 3, "a slow rank");
    lead.set_pace(1, 1.0);
    let mut empty = layers.clone();
    empty[0].ranks = vec![vec![0, 1, 2, 3], Vec::new()];
    assert_eq!(copies(&lead, &empty, 9), 3, "a rank that is well again");
}

/// A configuration names more experts than the ranks have places for. Orders went out
/// that no rank could take, one after the other; now there are none.
#[test]
fn experts_that_do_not_fit_change_no_map() {
    let mut lead = formed(1);
    lead.add_choices(NOW, &choices(), 4);
    let narrow = Experts {
        max_slots_per_rank: 1,
        ..EXPERTS
    };
    assert!(!lead.fits(&narrow) && lead.fits(&EXPERTS));
    assert_eq!(lead.decide(NOW, &narrow), None);
    assert!(lead.decide(NOW, &EXPERTS).is_some());
}
