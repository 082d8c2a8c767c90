use expect_test::expect;

use super::{Digest, File};

/// A valid file, which the test cases modify.
const VALID: &str = "\
firm: quetzal
places:
  - { zone: antigua, region: guatemala }
services:
  - name: reports
    kind: !model
      fences: checked
      experts: { ranks: 4, experts: 8, layers: 2, slots: 3, expert_bytes: 1000 }
    path: /reports/
  - name: records
    kind: !plain
      idempotent: [/search]
    path: /records/
customers:
  - name: feria
    share: 3
    credentials: ['sha256:0000000000000000000000000000000000000000000000000000000000000001']
";

/// The problems of a file, one per line.
fn problems(yaml: &str) -> String {
    let problems = File::read(yaml).err().unwrap_or_default();
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[test]
fn valid_file() {
    assert_eq!(problems(VALID), "");
    let file = File::read(VALID).unwrap();
    assert_eq!(file.check(), []);
}

#[test]
fn every_problem_at_once() {
    let yaml = "\
firm: Quetzal
places:
  - { zone: antigua, region: guatemala }
  - { zone: antigua, region: guatemala }
services:
  - name: reports
    kind: !model
      fences: checked
      experts: { ranks: 0, experts: 8, layers: 2, slots: 1, expert_bytes: 0 }
    path: reports
    zones: [coban, antigua, antigua]
  - name: records
    kind: !plain
      idempotent: [/other/]
    path: /records/
    colour: red
  - name: records
    kind: !plain
      idempotent: [/, /records/search, search]
    path: /records/
customers:
  - name: feria
    share: 10001
    credentials: []
    services: [quotes]
  - name: circo
    credentials: ['sha256:0000000000000000000000000000000000000000000000000000000000000001']
  - name: circo
    credentials: ['sha256:0000000000000000000000000000000000000000000000000000000000000001']
  - name: open
    credentials: [plain-text]
extras: 1
";
    expect![[r"
        line 1: firm: the name 'Quetzal' contains 'Q'; use lowercase letters, digits and dashes
        line 12: services[1]: unknown field `colour`, expected one of `name`, `kind`, `path`, `zones`, `decisions`
        line 30: customers[3]: a credential must be given as 'sha256:' and 64 hex digits, never in plain text
        line 32: extras: unknown section; expected one of firm, places, services, customers
        line 4: places[1]: 'antigua' is already used by places[0]
        line 6: services[0].path: must start and end with '/', contain neither '//' nor '.' or '..' segments, and consist of printable ASCII characters other than spaces, '?' and '#'
        line 6: services[0].zones: 'coban' is not a zone of the firm
        line 6: services[0].zones: 'antigua' is listed twice
        line 6: services[0].kind.experts.ranks: must be from 1 to 1024, not 0
        line 6: services[0].kind.experts.slots: 0 ranks with 1 slots each have 0 slots, too few for 8 experts
        line 6: services[0].kind.experts.expert_bytes: must be above 0
        line 17: services[2].kind.idempotent: '/' must start with '/' and be a valid path with at least one segment
        line 17: services[2].kind.idempotent: '/records/search' must be relative to the service's path '/records/'
        line 17: services[2].kind.idempotent: 'search' must start with '/' and be a valid path with at least one segment
        line 28: customers[2]: 'circo' is already used by customers[1]
        line 22: customers[0].share: must be from 0 to 10000, not 10001
        line 22: customers[0].credentials: at least one credential is required to identify the customer
        line 28: customers[2].credentials: customer 'circo' has the same credential
    "]]
    .assert_eq(&(problems(yaml) + "\n"));
}

#[test]
fn broken_syntax() {
    let cases = [
        ("firm: [", "line 2"),
        ("- firm", "must contain the sections firm"),
        ("firm: quetzal\nfirm: tidewater\n", "duplicate"),
        ("", "must contain the sections firm"),
        ("firm: quetzal\nplaces: none\n", "must be a list"),
        ("firm: &a [*a]\n", ""),
    ];
    for (yaml, part) in cases {
        let found = problems(yaml);
        assert!(found.contains(part) && !found.is_empty(), "{yaml}: {found}");
    }
}

#[test]
fn examples_are_valid() {
    let examples = [
        include_str!("../../../examples/tidewater.yaml"),
        include_str!("../../../examples/quetzal.yaml"),
    ];
    for example in examples {
        assert_eq!(problems(example), "");
        let file = File::read(example).unwrap();
        for customer in &file.customers {
            let token = format!("demo-{}-{}", file.firm, customer.name);
            assert_eq!(customer.credentials, [Digest::of(&token)]);
        }
    }
}

// Guards against follow-up problems: when a service can't be parsed, customers that refer
// to it must not be reported as well, since nothing is wrong with them.
#[test]
fn one_fault_is_reported_once() {
    let yaml = VALID.replace("path: /records/\n", "path: /records/\n    colour: red\n");
    let yaml = format!("{yaml}    services: [records]\n");
    assert_eq!(problems(&yaml).lines().count(), 1, "{}", problems(&yaml));
}

#[test]
fn expert_maps() {
    let layer = "{ ranks: [[0, 1], [2, 3], [4, 5], [6, 7]] }";
    let cases = [
        (format!("[{layer}, {layer}]"), ""),
        (format!("[{layer}]"), "the map has 1 layers"),
        (
            format!("[{layer}, {{ ranks: [[0]] }}]"),
            "layer 1 places experts on 1 ranks",
        ),
    ];
    for (placement, part) in cases {
        let with = format!("expert_bytes: 1000, placement: {placement} }}");
        let found = problems(&VALID.replace("expert_bytes: 1000 }", &with));
        assert!(
            found.contains(part) && found.is_empty() == part.is_empty(),
            "{found}"
        );
    }
    let skewed = VALID.replace(
        "expert_bytes: 1000 }",
        "expert_bytes: 1, rebalancing: { skew: -1 } }",
    );
    assert!(problems(&skewed).contains("rebalancing.skew"));
}
