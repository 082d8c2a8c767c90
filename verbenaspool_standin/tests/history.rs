//! Tests that each checker rejects invalid histories and accepts valid ones.

use verbenaspool_protocol::outcome::Outcome;
use verbenaspool_standin::history::{answers, outcomes, writes};

fn answer(request: u64, received: &str, ended: bool) -> answers::Entry {
    answers::Entry {
        request,
        expected: format!("answer {request}."),
        outcome: Outcome::Ran,
        received: received.to_owned(),
        ended,
    }
}

#[test]
fn answers_must_be_own_and_whole() {
    use answers::Violation::{Foreign, Truncated};
    let foreign = |owner| Err(Foreign { request: 1, owner });
    let table = [
        ("own", answer(1, "answer 1.", true), Ok(2)),
        ("visibly broken", answer(1, "answer", false), Ok(1)),
        ("crossed", answer(1, "answer 2.", true), foreign(Some(2))),
        ("crossed half", answer(1, "answer 2", false), foreign(None)),
        (
            "cut",
            answer(1, "answer", true),
            Err(Truncated {
                request: 1,
                length: 6,
            }),
        ),
        (
            "too long",
            answer(1, "answer 1.answer 1.", true),
            foreign(None),
        ),
    ];
    for (case, entry, verdict) in table {
        let other = answer(2, "answer 2.", true);
        assert_eq!(answers::check(&[entry, other]), verdict, "{case}");
    }
}

#[test]
fn writes_must_run_at_most_once() {
    use writes::Violation::{Twice, Unrequested};
    let table: [(&str, &[&str], Result<usize, writes::Violation>); 4] = [
        ("none", &[], Ok(0)),
        ("each once", &["a", "b"], Ok(2)),
        ("twice", &["a", "b", "a"], Err(Twice("a".to_owned()))),
        ("unrequested", &["c"], Err(Unrequested("c".to_owned()))),
    ];
    for (case, ran, verdict) in table {
        let checked = writes::check(["a", "b"], ran.iter().copied());
        assert_eq!(checked, verdict, "{case}");
    }
}

#[test]
fn outcomes_must_be_true() {
    use outcomes::Violation::{NotRun, Ran};
    let table: [(Outcome, &[&str], Result<usize, outcomes::Violation>); 6] = [
        (Outcome::Ran, &["a"], Ok(0)),
        (Outcome::Ran, &[], Err(NotRun("a".to_owned()))),
        (Outcome::NotRun, &[], Ok(1)),
        (Outcome::NotRun, &["a"], Err(Ran("a".to_owned()))),
        (Outcome::Unknown, &[], Ok(0)),
        (Outcome::Unknown, &["a"], Ok(0)),
    ];
    for (outcome, started, verdict) in table {
        let request = "a".to_owned();
        let reported = [outcomes::Entry { request, outcome }];
        let checked = outcomes::check(&reported, started.iter().copied());
        assert_eq!(checked, verdict, "{outcome}, {started:?}");
    }
}
