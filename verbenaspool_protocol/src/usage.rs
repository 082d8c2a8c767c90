//! What customers use of a service at an entry, for other entries.

use serde::{Deserialize, Serialize};
use verbenaspool_policy::dispatch::share;

/// Parts of a unit of work in messages. An integer takes one or two bytes for most customers.
const PARTS_PER_UNIT: f64 = 100.0;

/// The work of a customer's requests, in hundredths.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Work that was sent and has not finished.
    pub in_service: u32,
    /// Work that waits for an upstream.
    pub waiting: u32,
    /// Work that arrived in the last service time.
    pub arrived: u32,
}

/// The work of a customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Identifies the customer.
    pub customer: u32,
    /// Its work.
    pub work: Work,
}

/// The usage of a service at an entry during a shortage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The [`crate::digest::hash`] of the service.
    pub service: u32,
    /// Identifies the entry process; a restarted one has a higher number.
    pub incarnation: u64,
    /// Sequence number of the report, since datagrams can be reordered.
    pub sequence: u64,
    /// Whether a request that could be on time found no capacity at this entry in the last second.
    pub shortage: bool,
    /// Number of customers with work.
    pub customers: u32,
    /// The sum over all customers.
    pub total: Work,
    /// The customers with the most work, [`share::MAX_REPORTED_CUSTOMERS`] at most.
    pub largest: Vec<Customer>,
}

impl From<share::Work> for Work {
    fn from(work: share::Work) -> Self {
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Saturates.
        let parts = |work: f64| (work * PARTS_PER_UNIT).round() as u32;
        Self {
            in_service: parts(work.in_service),
            waiting: parts(work.waiting),
            arrived: parts(work.arrived),
        }
    }
}

impl From<Work> for share::Work {
    fn from(work: Work) -> Self {
        let units = |parts: u32| f64::from(parts) / PARTS_PER_UNIT;
        Self {
            in_service: units(work.in_service),
            waiting: units(work.waiting),
            arrived: units(work.arrived),
        }
    }
}

impl Report {
    /// The report of a service's usage.
    ///
    /// ```
    /// use verbenaspool_policy::dispatch::share;
    /// use verbenaspool_protocol::usage::Report;
    ///
    /// let work = share::Work { in_service: 2.5, waiting: 1.0, arrived: 4.0 };
    /// let usage = share::Usage { shortage: true, customers: 1, total: work, largest: vec![(7, work)] };
    /// let report = Report::new(1, (3, 4), &usage);
    /// assert_eq!(report.order(), (3, 4));
    /// assert_eq!(report.usage(), usage);
    /// ```
    #[must_use]
    pub fn new(service: u32, (incarnation, sequence): (u64, u64), usage: &share::Usage) -> Self {
        let largest = usage.largest.iter().map(|(customer, work)| Customer {
            customer: *customer,
            work: (*work).into(),
        });
        Self {
            service,
            incarnation,
            sequence,
            shortage: usage.shortage,
            customers: usage.customers,
            total: usage.total.into(),
            largest: largest.collect(),
        }
    }

    /// The order of an entry's reports.
    #[must_use]
    pub fn order(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }

    /// The usage that it tells.
    #[must_use]
    pub fn usage(&self) -> share::Usage {
        let largest = self.largest.iter();
        share::Usage {
            shortage: self.shortage,
            customers: self.customers,
            total: self.total.into(),
            largest: largest.map(|c| (c.customer, c.work.into())).collect(),
        }
    }
}
