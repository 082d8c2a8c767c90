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

/// The lead of two ranks that have just formed a group and use the initial map.
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

/// Choices of a rank whose requests nearly always choose the first expert.
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

/// Guards against a re-formed group that stays on its initial map, where the busiest rank
/// delays all waiting requests, until enough of them have run to show which experts they
/// choose. The choices before the break show it already.
#[test]
fn a_re_formed_group_keeps_expert_loads() {
    let mut before = formed(1);
    before.add_choices(NOW, &choices(), 4);
    let mut lead = formed(2);
    assert_eq!(lead.decide(NOW, &EXPERTS), None, "no choices");
    lead.inherit(before, 2);
    let change = lead.decide(NOW, &EXPERTS).expect("a change");
    assert!(change.imbalance_after < 1.2, "{change:?}");
}

/// Guards against a lead that waits for the experts of ranks, or ignores reports received
/// before its own rank joined the group, while passes are longest.
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
    assert_eq!(lead.decide(NOW, &EXPERTS), None, "no choices");
    let choices = Choices {
        epoch: 2,
        ..choices()
    };
    lead.add_choices(NOW, &choices, 4);
    assert!(lead.decide(NOW, &EXPERTS).is_some());
}

/// Guards against a first map change that is based on choices from before a long outage.
#[test]
fn outdated_choices_change_no_map() {
    let mut lead = formed(1);
    lead.add_choices(Duration::from_secs(1), &choices(), 4);
    assert_eq!(lead.decide(NOW, &EXPERTS), None);
}

/// A copy takes 0.1 s, longer than the usual time for a change, so each rank makes one. On
/// the initial map, or with a slow rank, it makes three, since passes are slow until then.
#[test]
fn a_bad_map_allows_more_copies_per_change() {
    let mut lead = formed(1);
    let (_, layers) = lead.current_map(&EXPERTS).expect("both ranks reported it");
    let copies = |lead: &Lead, layers: &[Layer], version| {
        super::copies_within(lead.max_copy_time(NOW, layers, version), EXPERTS.copy_time)
    };
    assert_eq!(copies(&lead, &layers, 0), 3, "the initial map");
    assert_eq!(copies(&lead, &layers, 9), 1, "an optimized map");
    lead.set_pace(1, 4.0);
    assert_eq!(copies(&lead, &layers, 9), 3, "a slow rank");
    lead.set_pace(1, 1.0);
    let mut empty = layers.clone();
    empty[0].ranks = vec![vec![0, 1, 2, 3], Vec::new()];
    assert_eq!(copies(&lead, &empty, 9), 3, "a recovered rank");
}

/// Guards against repeated orders that no rank can execute, when the configuration
/// contains more experts than fit on the ranks.
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
