//! Reading a file and finding everything that is wrong with it.
//!
//! A file is accepted as a whole, so an operator who is told one problem at a
//! time has to apply as often as there are problems. Entries are therefore read
//! one by one, and every entry that can be read is checked against the others.

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

/// The most customers that a firm's file may name.
pub const CUSTOMERS: usize = 200_000;
/// The most services that a firm's file may name.
pub const SERVICES: usize = 256;
/// The most places that a firm's file may name.
pub const PLACES: usize = 64;
/// The largest share of a customer.
pub const SHARE: u32 = 10_000;
/// The largest file, in bytes; it bounds what reading one can cost.
pub const BYTES: usize = 64 << 20;

/// The sections of a file, in the order they are documented in.
const SECTIONS: [&str; 4] = ["firm", "places", "services", "customers"];

/// One thing wrong with a file.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Where it stands, such as `services[2].zones`; empty for the whole file.
    pub path: String,
    /// The line it stands on, from 1, where one could be told.
    pub line: Option<usize>,
    /// What is wrong, and what would be right.
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
    /// Reads a file from YAML and checks it.
    ///
    /// # Errors
    /// Every problem that was found, in the order of the file's sections.
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

    /// Checks a file that is held already, as one is that came from the store.
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

/// Entries with their places in the section.
type Numbered<T> = Vec<(usize, T)>;

/// Numbers entries.
fn number<T>(entries: Vec<T>) -> Numbered<T> {
    entries.into_iter().enumerate().collect()
}

/// The entries of a file that could be read.
struct Parts {
    /// Whether every place could be read, so that a zone which isn't among them
    /// is one that doesn't exist.
    all_places: bool,
    /// Whether every service could be read, likewise.
    all_services: bool,
    firm: Option<Name>,
    places: Numbered<Place>,
    services: Numbered<Service>,
    customers: Numbered<Customer>,
}

impl Parts {
    /// The file, all of whose entries could be read.
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

/// A check under way.
struct Check<'a> {
    /// Where entries stand.
    lines: &'a Lines,
    /// What was found so far.
    problems: Vec<Problem>,
}

impl Check<'_> {
    /// Notes a problem.
    fn note(&mut self, path: impl Into<String>, text: impl fmt::Display) {
        let path = path.into();
        self.problems.push(Problem {
            line: self.lines.of(&path),
            path,
            text: text.to_string(),
        });
    }

    /// Notes a problem unless `held`.
    fn hold(&mut self, held: bool, path: impl Into<String>, text: impl fmt::Display) {
        if !held {
            self.note(path, text);
        }
    }

    /// Reads the sections, entry by entry.
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

    /// Reads the firm's name.
    fn firm(&mut self, sections: &mut Mapping) -> Option<Name> {
        let Some(value) = sections.remove("firm") else {
            self.note("firm", "the section is missing");
            return None;
        };
        self.entry("firm", value)
    }

    /// Reads a section's entries.
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

    /// Reads one entry.
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

    /// Notes names that stand twice in a section.
    fn unique<'a>(&mut self, section: &str, names: impl Iterator<Item = (usize, &'a Name)>) {
        let mut first = BTreeMap::new();
        for (i, name) in names {
            if let Some(before) = first.insert(name, i) {
                let path = format!("{section}[{i}]");
                self.note(path, format!("'{name}' is {section}[{before}] already"));
            }
        }
    }

    /// Checks the places.
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

    /// Checks the services.
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

    /// Checks one service.
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

    /// Checks a list of names, each of which must be among `known`.
    fn listed(&mut self, path: &str, names: &[Name], known: Option<&BTreeSet<&Name>>, what: &str) {
        let mut seen = BTreeSet::new();
        for name in names {
            let exists = known.is_none_or(|known| known.contains(name));
            self.hold(exists, path, format!("'{name}' is no {what}"));
            self.hold(seen.insert(name), path, format!("'{name}' stands twice"));
        }
    }

    /// Checks a plain service's prefixes.
    ///
    /// Failure guarded against: a prefix that covers more than its writer meant.
    /// `/` would let every booking be repeated, and a prefix that repeats the
    /// service's path would cover nothing, since paths are read below it.
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

    /// Checks the layout of experts.
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

    /// Checks the customers.
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

/// Whether a text is a path prefix that requests can be matched by.
fn prefix(path: &str) -> bool {
    path.starts_with('/') && path.ends_with('/') && clean(path)
}

/// Whether a path can be compared with requests' paths as it stands.
fn clean(path: &str) -> bool {
    let plain = |c: char| c.is_ascii_graphic() && c != '?' && c != '#';
    path.chars().all(plain)
        && !path.contains("//")
        && !path.split('/').any(|part| part == "." || part == "..")
}
