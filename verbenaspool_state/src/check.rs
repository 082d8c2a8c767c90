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
pub const CUSTOMERS: usize = 200_000;
/// Maximum number of services in a file.
pub const SERVICES: usize = 256;
/// Maximum number of places in a file.
pub const PLACES: usize = 64;
/// Maximum share of a customer.
pub const SHARE: u32 = 10_000;
/// Maximum size of a file in bytes, which bounds the cost of parsing it.
pub const BYTES: usize = 64 << 20;

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
        let file = check.parse(yaml);
        if let Some(file) = &file {
            check.cross(file);
        }
        match file {
            Some(file) if check.problems.is_empty() => Ok(file.whole()),
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
        check.cross(&Parts {
            all_places: true,
            all_services: true,
            firm: Some(self.firm.clone()),
            places: number(self.places.clone()),
            services: number(self.services.clone()),
            customers: number(self.customers.clone()),
        });
        check.problems
    }
}

/// Entries with their indexes in the section.
type Numbered<T> = Vec<(usize, T)>;

/// Adds indexes to entries.
fn number<T>(entries: Vec<T>) -> Numbered<T> {
    entries.into_iter().enumerate().collect()
}

/// The entries of a file that could be parsed.
struct Parts {
    /// Whether all places could be parsed. Otherwise an unknown zone isn't reported, since
    /// its place may be one that is itself reported as invalid.
    all_places: bool,
    /// Whether all services could be parsed, likewise.
    all_services: bool,
    firm: Option<Name>,
    places: Numbered<Place>,
    services: Numbered<Service>,
    customers: Numbered<Customer>,
}

impl Parts {
    /// Converts to a file; all entries must have been parsed.
    fn whole(self) -> File {
        fn entries<T>(entries: Numbered<T>) -> Vec<T> {
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
    fn note(&mut self, path: impl Into<String>, text: impl fmt::Display) {
        let path = path.into();
        self.problems.push(Problem {
            line: self.lines.of(&path),
            path,
            text: text.to_string(),
        });
    }

    /// Reports a problem unless the condition holds.
    fn hold(&mut self, held: bool, path: impl Into<String>, text: impl fmt::Display) {
        if !held {
            self.note(path, text);
        }
    }

    /// Parses the sections entry by entry.
    fn parse(&mut self, yaml: &str) -> Option<Parts> {
        if yaml.len() > BYTES {
            self.note("", format!("the file is over {BYTES} bytes"));
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
            self.note(
                "",
                "the file must hold firm, places, services and customers",
            );
            return None;
        };
        let firm = self.firm(&mut sections);
        let start = self.problems.len();
        let places = self.section(&mut sections, "places");
        let between = self.problems.len();
        let services = self.section(&mut sections, "services");
        let parts = Parts {
            all_places: start == between,
            all_services: between == self.problems.len(),
            firm,
            places,
            services,
            customers: self.section(&mut sections, "customers"),
        };
        for key in sections.keys() {
            let key = key.as_str().unwrap_or("?");
            let known = SECTIONS.join(", ");
            self.note(key, format!("there is no such section; known are {known}"));
        }
        Some(parts)
    }

    /// Parses the firm's name.
    fn firm(&mut self, sections: &mut Mapping) -> Option<Name> {
        let Some(value) = sections.remove("firm") else {
            self.note("firm", "the section is missing");
            return None;
        };
        self.entry("firm", value)
    }

    /// Parses a section's entries.
    fn section<T: DeserializeOwned>(
        &mut self,
        sections: &mut Mapping,
        section: &str,
    ) -> Numbered<T> {
        let entries = match sections.remove(section) {
            Some(Value::Sequence(entries)) => entries,
            Some(_) => {
                self.note(section, "the section must be a list");
                return Vec::new();
            }
            None => {
                self.note(section, "the section is missing");
                return Vec::new();
            }
        };
        let entries = entries.into_iter().enumerate();
        entries
            .filter_map(|(i, value)| Some((i, self.entry(&format!("{section}[{i}]"), value)?)))
            .collect()
    }

    /// Parses one entry.
    fn entry<T: DeserializeOwned>(&mut self, path: &str, value: Value) -> Option<T> {
        match serde_norway::from_value(value) {
            Ok(entry) => Some(entry),
            Err(e) => {
                self.note(path, e);
                None
            }
        }
    }

    /// Checks the entries against each other.
    fn cross(&mut self, parts: &Parts) {
        self.places(parts);
        self.services(parts);
        self.customers(parts);
    }

    /// Reports names that occur more than once in a section.
    fn unique<'a>(&mut self, section: &str, names: impl Iterator<Item = (usize, &'a Name)>) {
        let mut first = BTreeMap::new();
        for (i, name) in names {
            if let Some(before) = first.insert(name, i) {
                let path = format!("{section}[{i}]");
                self.note(path, format!("'{name}' is {section}[{before}] already"));
            }
        }
    }

    fn places(&mut self, parts: &Parts) {
        let count = parts.places.len();
        let fits = (1..=PLACES).contains(&count);
        self.hold(
            fits,
            "places",
            format!("1 to {PLACES} are allowed, not {count}"),
        );
        let zones = parts.places.iter().map(|(i, place)| (*i, &place.zone));
        self.unique("places", zones);
    }

    fn services(&mut self, parts: &Parts) {
        let count = parts.services.len();
        let fits = (1..=SERVICES).contains(&count);
        self.hold(
            fits,
            "services",
            format!("1 to {SERVICES} are allowed, not {count}"),
        );
        let names = parts
            .services
            .iter()
            .map(|(i, service)| (*i, &service.name));
        self.unique("services", names);
        let zones = parts.places.iter().map(|(_, place)| &place.zone);
        let zones = parts.all_places.then(|| zones.collect());
        let mut paths = BTreeMap::new();
        for (i, service) in &parts.services {
            let at = format!("services[{i}]");
            if let Some(before) = paths.insert(service.path.as_str(), i) {
                let text = format!("services[{before}] has the same path");
                self.note(format!("{at}.path"), text);
            }
            self.service(&at, service, zones.as_ref());
        }
    }

    fn service(&mut self, at: &str, service: &Service, zones: Option<&BTreeSet<&Name>>) {
        let path = &service.path;
        let text = "a path starts and ends with '/', has neither '//' nor '..', and is ASCII \
                    without blanks, '?' or '#'";
        self.hold(prefix(path), format!("{at}.path"), text);
        self.listed(
            &format!("{at}.zones"),
            &service.zones,
            zones,
            "zone of the firm",
        );
        for problem in service.decisions.check() {
            let path = format!("{at}.decisions.{}", problem.key);
            self.note(path, problem.reason);
        }
        match &service.kind {
            Kind::Model(model) => {
                if let Some(experts) = &model.experts {
                    self.experts(&format!("{at}.kind.experts"), experts);
                }
            }
            Kind::Plain(plain) => self.plain(&format!("{at}.kind.idempotent"), path, plain),
        }
    }

    /// Checks that each name in a list is unique and among the known ones. `None` skips the
    /// latter check.
    fn listed(&mut self, path: &str, names: &[Name], known: Option<&BTreeSet<&Name>>, what: &str) {
        let mut seen = BTreeSet::new();
        for name in names {
            let exists = known.is_none_or(|known| known.contains(name));
            self.hold(exists, path, format!("'{name}' is no {what}"));
            self.hold(seen.insert(name), path, format!("'{name}' stands twice"));
        }
    }

    /// Checks the path prefixes of a plain service's idempotent calls.
    ///
    /// Rejects prefixes that don't do what their author intended: `/` would allow retries of
    /// all calls, including those that aren't idempotent, and a prefix that contains the
    /// service's path would match nothing, since prefixes are relative to it.
    fn plain(&mut self, path: &str, service: &str, plain: &Plain) {
        for prefix in &plain.idempotent {
            let trimmed = prefix.trim_end_matches('/');
            let sound = trimmed.starts_with('/') && clean(prefix);
            let text = format!("'{prefix}' must start with '/' and name something below it");
            self.hold(sound, path, text);
            let within = !prefix.starts_with(service) || service == "/";
            let text = format!("'{prefix}' is read below '{service}': leave that part out");
            self.hold(within, path, text);
        }
    }

    /// Checks the expert-parallel layout of a model.
    fn experts(&mut self, at: &str, experts: &Experts) {
        let ranges = [
            ("ranks", experts.ranks, 1..=1024),
            ("experts", experts.experts, 1..=4096),
            ("layers", experts.layers, 1..=256),
            ("slots", experts.slots, 1..=4096),
        ];
        for (field, value, range) in ranges {
            let text = format!(
                "{} to {} are allowed, not {value}",
                range.start(),
                range.end()
            );
            self.hold(range.contains(&value), format!("{at}.{field}"), text);
        }
        let room = u32::from(experts.ranks) * u32::from(experts.slots);
        let text = format!(
            "{} ranks of {} slots hold {room} experts, too few for {}",
            experts.ranks, experts.slots, experts.experts
        );
        self.hold(room >= experts.experts.into(), format!("{at}.slots"), text);
        for problem in experts.rebalancing.check() {
            let path = format!("{at}.rebalancing.{}", problem.key);
            self.note(path, problem.reason);
        }
        if !experts.placement.is_empty() {
            let layers = experts.placement.clone();
            let map = Map { epoch: 1, layers };
            if let Err(problem) = map.check(experts.into(), 0) {
                self.note(format!("{at}.placement"), problem);
            }
        }
        let text = "an expert has at least one byte";
        self.hold(experts.expert_bytes > 0, format!("{at}.expert_bytes"), text);
    }

    fn customers(&mut self, parts: &Parts) {
        let count = parts.customers.len();
        let text = format!("at most {CUSTOMERS} are allowed, not {count}");
        self.hold(count <= CUSTOMERS, "customers", text);
        let names = parts
            .customers
            .iter()
            .map(|(i, customer)| (*i, &customer.name));
        self.unique("customers", names);
        let services = parts.services.iter().map(|(_, service)| &service.name);
        let services: Option<BTreeSet<&Name>> = parts.all_services.then(|| services.collect());
        let mut holders: BTreeMap<Digest, &Name> = BTreeMap::new();
        for (i, customer) in &parts.customers {
            let at = format!("customers[{i}]");
            let text = format!("0 to {SHARE} parts are allowed, not {}", customer.share);
            self.hold(customer.share <= SHARE, format!("{at}.share"), text);
            let path = format!("{at}.services");
            self.listed(
                &path,
                &customer.services,
                services.as_ref(),
                "service of the firm",
            );
            let path = format!("{at}.credentials");
            let text = "without a credential the customer can't be told from others";
            self.hold(!customer.credentials.is_empty(), path.as_str(), text);
            for digest in &customer.credentials {
                if let Some(other) = holders.insert(*digest, &customer.name) {
                    self.note(path.as_str(), format!("'{other}' has the same credential"));
                }
            }
        }
    }
}

/// Whether a text is a valid path prefix of a service.
fn prefix(path: &str) -> bool {
    path.starts_with('/') && path.ends_with('/') && clean(path)
}

/// Whether a path can be compared with the paths of requests without normalization.
fn clean(path: &str) -> bool {
    let plain = |c: char| c.is_ascii_graphic() && c != '?' && c != '#';
    path.chars().all(plain)
        && !path.contains("//")
        && !path.split('/').any(|part| part == "." || part == "..")
}
