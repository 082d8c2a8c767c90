//! The firm's file, indexed for the lookups of the entry.

use std::{collections::HashMap, rc::Rc};

use verbenaspool_protocol::problem::{Code, Problem};
use verbenaspool_state::{
    credential::Digest, customer::Customer, file::File, name::Name, service::Service,
    version::Version,
};

use super::caller::has_path_prefix;

/// One version of the file, indexed.
#[derive(Debug)]
pub struct Table {
    /// The version.
    pub version: Version,
    /// The firm.
    pub firm: Name,
    /// The services, longest path first, so that the first match is the most specific.
    pub services: Vec<Rc<Service>>,
    /// The customers.
    pub customers: Vec<Rc<Customer>>,
    /// The customer of each credential's digest.
    credentials: HashMap<Digest, Rc<Customer>>,
}

impl Table {
    /// Indexes a file.
    ///
    /// ```
    /// use verbenaspool::entry::table::Table;
    /// use verbenaspool_state::{file::File, version::Version};
    ///
    /// let file = File {
    ///     firm: "quetzal".parse().unwrap(),
    ///     places: Vec::new(),
    ///     services: Vec::new(),
    ///     customers: Vec::new(),
    /// };
    /// let table = Table::new(Version(1), &file);
    /// assert!(table.service("/records/1").is_err());
    /// ```
    #[must_use]
    pub fn new(version: Version, file: &File) -> Self {
        let mut services: Vec<_> = file.services.iter().cloned().map(Rc::new).collect();
        services.sort_by_key(|service| std::cmp::Reverse(service.path.len()));
        let customers: Vec<_> = file.customers.iter().cloned().map(Rc::new).collect();
        let credentials = customers
            .iter()
            .flat_map(|customer| {
                let digests = customer.credentials.iter();
                digests.map(|digest| (*digest, customer.clone()))
            })
            .collect();
        Self {
            version,
            firm: file.firm.clone(),
            services,
            customers,
            credentials,
        }
    }

    /// The customer that a credential belongs to.
    ///
    /// # Errors
    /// The credential belongs to no customer of this firm. Another firm's customer gets the
    /// same answer as an unknown one, so that no firm learns about the customers of another.
    pub fn customer(&self, credential: &str) -> Result<&Rc<Customer>, Problem> {
        self.credentials
            .get(&Digest::of(credential))
            .ok_or_else(|| {
                Problem::not_run(
                    Code::Unauthorized,
                    "The credential stands for no customer of this firm.",
                )
            })
    }

    /// The service that a path belongs to.
    ///
    /// # Errors
    /// No service has the path.
    pub fn service(&self, path: &str) -> Result<&Rc<Service>, Problem> {
        self.services
            .iter()
            .find(|service| has_path_prefix(path, &service.path))
            .ok_or_else(|| Problem::not_run(Code::UnknownService, "No service has this path."))
    }
}

/// Checks that a customer may use a service.
///
/// # Errors
/// The customer may not use the service.
///
/// ```
/// use verbenaspool::entry::table::check_access;
/// use verbenaspool_state::customer::Customer;
///
/// let customer = Customer {
///     name: "bowen-loft".parse().unwrap(),
///     share: 1,
///     credentials: Vec::new(),
///     services: vec!["jobs".parse().unwrap()],
/// };
/// assert!(check_access(&customer, &"jobs".parse().unwrap()).is_ok());
/// assert!(check_access(&customer, &"assistant".parse().unwrap()).is_err());
/// ```
pub fn check_access(customer: &Customer, service: &Name) -> Result<(), Problem> {
    if customer.services.is_empty() || customer.services.contains(service) {
        return Ok(());
    }
    Err(Problem::not_run(
        Code::Forbidden,
        "The customer may not use this service.",
    ))
}
