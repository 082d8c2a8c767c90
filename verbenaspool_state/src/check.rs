//! Parses a file and finds all problems in it.
//!
//! A file is only accepted as a whole. If only its first problem were reported, an
//! operator would have to apply it once per problem. Entries are therefore parsed one by
//! one, and all that can be parsed are checked against each other.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use serde::{Serialize, de::DeserializeOwned};
use serde_norway::{Mapping, Value};

use crate::{
    credential::Digest,
    customer::Customer,
    expert_map::Map,
    file::File,
    name::Name,
    place::Place,
    service::{Experts, Kind, Plain, Service},
};

pub use lines::Lines;

mod lines;
#[cfg(test)]
mod tests;

/// Maximum number of customers in a file.
pub const MAX_CUSTOMERS: usize = 200_000;
/// Maximum number of services in a file.
pub const MAX_SERVICES: usize = 256;
/// Maximum number of places in a file.
pub const MAX_PLACES: usize = 64;
/// Maximum share of a customer.
pub const MAX_SHARE: u32 = 10_000;
/// Maximum size of a file in bytes, which bounds the cost of parsing it.
pub const MAX_FILE_BYTES: usize = 64 << 20;

/// The sections of a file, in the order of the documentation.
const SECTIONS: [&str; 4] = ["firm", "places", "services", "customers"];

/// A problem in a file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Path of the invalid value, such as `services[2].zones`; empty for the whole file.
    pub path: String,
    /// Line number from 1, if known.
    pub line: Option<usize>,
    /// What is wrong, and what is allowed.
    pub text: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.text)
    }
}

impl File {
    /// Parses a file from YAML and checks it.
    ///
    /// # Errors
    /// Returns all problems found: first those of single sections and entries that can't be
    /// parsed, then those of checks of the others.
    ///
    /// ```
    /// use verbenaspool_state::file::File;
    ///
    /// let problems = File::read("firm: Quetzal\nplaces: []").unwrap_err();
    /// assert_eq!(problems[0].path, "firm");
    /// ```
    pub fn read(yaml: &str) -> Result<Self, Vec<Problem>> {
        let lines = Lines::scan(yaml);
        let mut check = Check {
            lines: &lines,
            problems: Vec::new(),
        };
        let file = check.parse_file(yaml);
        if let Some(file) = &file {
            check.check_entries(file);
        }
        match file {
            Some(file) if check.problems.is_empty() => Ok(file.into_file()),
            _ => Err(check.problems),
        }
    }

    /// Checks a file that is already parsed, such as one read from the store.
    ///
    /// ```
    /// # use verbenaspool_state::file::File;
    /// # let file = File {
    /// #     firm: "quetzal".parse().unwrap(),
    /// #     places: vec![],
    /// #     services: vec![],
    /// #     customers: vec![],
    /// # };
    /// assert_eq!(file.check()[0].path, "places");
    /// ```
    #[must_use]
    pub fn check(&self) -> Vec<Problem> {
        let lines = Lines::default();
        let mut check = Check {
            lines: &lines,
            problems: Vec::new(),
        };
        check.check_entries(&ParsedFile {
            all_places_parsed: true,
            all_services_parsed: true,
            firm: Some(self.firm.clone()),
            places: with_indexes(self.places.clone()),
            services: with_indexes(self.services.clone()),
            customers: with_indexes(self.customers.clone()),
        });
        check.problems
    }
}

/// Entries with their indexes in the section.
type Indexed<T> = Vec<(usize, T)>;

/// Adds indexes to entries.
fn with_indexes<T>(entries: Vec<T>) -> Indexed<T> {
    entries.into_iter().enumerate().collect()
}

/// The entries of a file that could be parsed.
struct ParsedFile {
    /// Whether all places could be parsed. Otherwise an unknown zone isn't reported, since
    /// its place may be one that is itself reported as invalid.
    all_places_parsed: bool,
    /// Whether all services could be parsed, likewise.
    all_services_parsed: bool,
    firm: Option<Name>,
    places: Indexed<Place>,
    services: Indexed<Service>,
    customers: Indexed<Customer>,
}

impl ParsedFile {
    /// Converts to a file; all entries must have been parsed.
    fn into_file(self) -> File {
        fn entries<T>(entries: Indexed<T>) -> Vec<T> {
            entries.into_iter().map(|(_, entry)| entry).collect()
        }
        File {
            firm: self.firm.expect("a missing firm is a problem"),
            places: entries(self.places),
            services: entries(self.services),
            customers: entries(self.customers),
        }
    }
}

/// A check in progress.
struct Check<'a> {
    /// Line numbers of the entries.
    lines: &'a Lines,
    /// The problems found so far.
    problems: Vec<Problem>,
}

impl Check<'_> {
    /// Reports a problem.
    fn report(&mut self, path: impl Into<String>, text: impl fmt::Display) {
        let path = path.into();
        self.problems.push(Problem {
            line: self.lines.line_of(&path),
            path,
            text: text.to_string(),
        });
    }

    /// Reports a problem unless the condition holds.
    fn require(&mut self, condition: bool, path: impl Into<String>, text: impl fmt::Display) {
        if !condition {
            self.report(path, text);
        }
    }

    /// Parses the sections entry by entry.
    fn parse_file(&mut self, yaml: &str) -> Option<ParsedFile> {
        if yaml.len() > MAX_FILE_BYTES {
            self.report("", format!("the file exceeds {MAX_FILE_BYTES} bytes"));
            return None;
        }
        let value: Value = match serde_norway::from_str(yaml) {
            Ok(value) => value,
            Err(e) => {
                self.problems.push(Problem {
                    path: String::new(),
                    line: e.location().map(|at| at.line()),
                    text: e.to_string(),
                });
                return None;
            }
        };
        let Value::Mapping(mut sections) = value else {
            self.report(
                "",
                "the file must contain the sections firm, places, services and customers",
            );
            return None;
        };
        let firm = self.parse_firm(&mut sections);
        let start = self.problems.len();
        let places = self.parse_section(&mut sections, "places");
        let after_places = self.problems.len();
        let services = self.parse_section(&mut sections, "services");
        let parsed = ParsedFile {
            all_places_parsed: start == after_places,
            all_services_parsed: after_places == self.problems.len(),
            firm,
            places,
            services,
            customers: self.parse_section(&mut sections, "customers"),
        };
        for key in sections.keys() {
            let key = key.as_str().unwrap_or("?");
            let known = SECTIONS.join(", ");
            self.report(key, format!("unknown section; expected one of {known}"));
        }
        Some(parsed)
    }

    /// Parses the firm's name.
    fn parse_firm(&mut self, sections: &mut Mapping) -> Option<Name> {
        let Some(value) = sections.remove("firm") else {
            self.report("firm", "the section is missing");
            return None;
        };
        self.parse_entry("firm", value)
    }

    /// Parses a section's entries.
    fn parse_section<T: DeserializeOwned>(
        &mut self,
        sections: &mut Mapping,
        section: &str,
    ) -> Indexed<T> {
        let entries = match sections.remove(section) {
            Some(Value::Sequence(entries)) => entries,
            Some(_) => {
                self.report(section, "the section must be a list");
                return Vec::new();
            }
            None => {
                self.report(section, "the section is missing");
                return Vec::new();
            }
        };
        let entries = entries.into_iter().enumerate();
        entries
            .filter_map(|(i, value)| {
                Some((i, self.parse_entry(&format!("{section}[{i}]"), value)?))
            })
            .collect()
    }

    /// Parses one entry.
    fn parse_entry<T: DeserializeOwned>(&mut self, path: &str, value: Value) -> Option<T> {
        match serde_norway::from_value(value) {
            Ok(entry) => Some(entry),
            Err(e) => {
                self.report(path, e);
                None
            }
        }
    }

    /// Checks the entries against each other.
    fn check_entries(&mut self, parsed: &ParsedFile) {
        self.check_places(parsed);
        self.check_services(parsed);
        self.check_customers(parsed);
    }

    /// Reports names that occur more than once in a section.
    fn check_unique<'a>(&mut self, section: &str, names: impl Iterator<Item = (usize, &'a Name)>) {
        let mut first = BTreeMap::new();
        for (i, name) in names {
            if let Some(earlier) = first.insert(name, i) {
                let path = format!("{section}[{i}]");
                self.report(
                    path,
                    format!("'{name}' is already used by {section}[{earlier}]"),
                );
            }
        }
    }

    fn check_places(&mut self, parsed: &ParsedFile) {
        let count = parsed.places.len();
        let in_range = (1..=MAX_PLACES).contains(&count);
        self.require(
            in_range,
            "places",
            format!("must have 1 to {MAX_PLACES} entries, not {count}"),
        );
        let zones = parsed.places.iter().map(|(i, place)| (*i, &place.zone));
        self.check_unique("places", zones);
    }

    fn check_services(&mut self, parsed: &ParsedFile) {
        let count = parsed.services.len();
        let in_range = (1..=MAX_SERVICES).contains(&count);
        self.require(
            in_range,
            "services",
            format!("must have 1 to {MAX_SERVICES} entries, not {count}"),
        );
        let names = parsed
            .services
            .iter()
            .map(|(i, service)| (*i, &service.name));
        self.check_unique("services", names);
        let zones = parsed.places.iter().map(|(_, place)| &place.zone);
        let zones = parsed.all_places_parsed.then(|| zones.collect());
        let mut paths = BTreeMap::new();
        for (i, service) in &parsed.services {
            let entry_path = format!("services[{i}]");
            if let Some(earlier) = paths.insert(service.path.as_str(), i) {
                let text = format!("services[{earlier}] has the same path");
                self.report(format!("{entry_path}.path"), text);
            }
            self.check_service(&entry_path, service, zones.as_ref());
        }
    }

    fn check_service(
        &mut self,
        entry_path: &str,
        service: &Service,
        zones: Option<&BTreeSet<&Name>>,
    ) {
        let path = &service.path;
        let text = "must start and end with '/', contain neither '//' nor '.' or '..' segments, and \
                    consist of printable ASCII characters other than spaces, '?' and '#'";
        self.require(is_path_prefix(path), format!("{entry_path}.path"), text);
        self.check_names(
            &format!("{entry_path}.zones"),
            &service.zones,
            zones,
            "zone of the firm",
        );
        for problem in service.decisions.check() {
            let path = format!("{entry_path}.decisions.{}", problem.key);
            self.report(path, problem.reason);
        }
        match &service.kind {
            Kind::Model(model) => {
                if let Some(experts) = &model.experts {
                    self.check_experts(&format!("{entry_path}.kind.experts"), experts);
                }
            }
            Kind::Plain(plain) => {
                self.check_idempotent(&format!("{entry_path}.kind.idempotent"), path, plain);
            }
        }
    }

    /// Checks that each name in a list is unique and among the known ones. `None` skips the
    /// latter check.
    fn check_names(
        &mut self,
        path: &str,
        names: &[Name],
        known: Option<&BTreeSet<&Name>>,
        what: &str,
    ) {
        let mut listed = BTreeSet::new();
        for name in names {
            let exists = known.is_none_or(|known| known.contains(name));
            self.require(exists, path, format!("'{name}' is not a {what}"));
            self.require(
                listed.insert(name),
                path,
                format!("'{name}' is listed twice"),
            );
        }
    }

    /// Checks the path prefixes of a plain service's idempotent calls.
    ///
    /// Rejects prefixes that don't do what their author intended: `/` would allow retries of
    /// all calls, including those that aren't idempotent, and a prefix that contains the
    /// service's path would match nothing, since prefixes are relative to it.
    fn check_idempotent(&mut self, path: &str, service: &str, plain: &Plain) {
        for prefix in &plain.idempotent {
            let trimmed = prefix.trim_end_matches('/');
            let is_path = trimmed.starts_with('/') && is_normalized(prefix);
            let text = format!(
                "'{prefix}' must start with '/' and be a valid path with at least one segment"
            );
            self.require(is_path, path, text);
            let is_relative = !prefix.starts_with(service) || service == "/";
            let text = format!("'{prefix}' must be relative to the service's path '{service}'");
            self.require(is_relative, path, text);
        }
    }

    /// Checks the expert-parallel layout of a model.
    fn check_experts(&mut self, entry_path: &str, experts: &Experts) {
        let ranges = [
            ("ranks", experts.ranks, 1..=1024),
            ("experts", experts.experts, 1..=4096),
            ("layers", experts.layers, 1..=256),
            ("slots", experts.slots, 1..=4096),
        ];
        for (field, value, range) in ranges {
            let text = format!(
                "must be from {} to {}, not {value}",
                range.start(),
                range.end()
            );
            self.require(
                range.contains(&value),
                format!("{entry_path}.{field}"),
                text,
            );
        }
        let slots = u32::from(experts.ranks) * u32::from(experts.slots);
        let text = format!(
            "{} ranks with {} slots each have {slots} slots, too few for {} experts",
            experts.ranks, experts.slots, experts.experts
        );
        self.require(
            slots >= experts.experts.into(),
            format!("{entry_path}.slots"),
            text,
        );
        for problem in experts.rebalancing.check() {
            let path = format!("{entry_path}.rebalancing.{}", problem.key);
            self.report(path, problem.reason);
        }
        if !experts.placement.is_empty() {
            let layers = experts.placement.clone();
            let map = Map { epoch: 1, layers };
            if let Err(problem) = map.check(experts.into(), 0) {
                self.report(format!("{entry_path}.placement"), problem);
            }
        }
        let text = "must be above 0";
        self.require(
            experts.expert_bytes > 0,
            format!("{entry_path}.expert_bytes"),
            text,
        );
    }

    fn check_customers(&mut self, parsed: &ParsedFile) {
        let count = parsed.customers.len();
        let text = format!("must have at most {MAX_CUSTOMERS} entries, not {count}");
        self.require(count <= MAX_CUSTOMERS, "customers", text);
        let names = parsed
            .customers
            .iter()
            .map(|(i, customer)| (*i, &customer.name));
        self.check_unique("customers", names);
        let services = parsed.services.iter().map(|(_, service)| &service.name);
        let services: Option<BTreeSet<&Name>> =
            parsed.all_services_parsed.then(|| services.collect());
        let mut credential_owners: BTreeMap<Digest, &Name> = BTreeMap::new();
        for (i, customer) in &parsed.customers {
            let entry_path = format!("customers[{i}]");
            let text = format!("must be from 0 to {MAX_SHARE}, not {}", customer.share);
            self.require(
                customer.share <= MAX_SHARE,
                format!("{entry_path}.share"),
                text,
            );
            let path = format!("{entry_path}.services");
            self.check_names(
                &path,
                &customer.services,
                services.as_ref(),
                "service of the firm",
            );
            let path = format!("{entry_path}.credentials");
            let text = "at least one credential is required to identify the customer";
            self.require(!customer.credentials.is_empty(), path.as_str(), text);
            for digest in &customer.credentials {
                if let Some(other) = credential_owners.insert(*digest, &customer.name) {
                    self.report(
                        path.as_str(),
                        format!("customer '{other}' has the same credential"),
                    );
                }
            }
        }
    }
}

/// Whether a text is a valid path prefix of a service.
fn is_path_prefix(path: &str) -> bool {
    path.starts_with('/') && path.ends_with('/') && is_normalized(path)
}

/// Whether a path can be compared with the paths of requests without normalization.
fn is_normalized(path: &str) -> bool {
    let plain = |c: char| c.is_ascii_graphic() && c != '?' && c != '#';
    path.chars().all(plain)
        && !path.contains("//")
        && !path.split('/').any(|part| part == "." || part == "..")
}
