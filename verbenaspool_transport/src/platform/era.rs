//! The eras of a store that may come back from an older copy.

use std::cell::Cell;

use super::Error;

/// The latest known era of a store, which rises each time that it comes back from an older copy.
///
/// The store then gives out revisions again, for other changes, so that those of different eras
/// can't be compared. Answers of an earlier era tell what it no longer has, and are dropped.
#[derive(Debug, Default)]
pub struct Era {
    known: Cell<u64>,
    late_answers: Cell<u64>,
    unreadable: Cell<u64>,
}

impl Era {
    /// The latest known era; 0 if no answer has named one.
    ///
    /// ```
    /// # use verbenaspool_transport::platform::era::Era;
    /// assert_eq!(Era::default().known(), 0);
    /// ```
    #[must_use]
    pub fn known(&self) -> u64 {
        self.known.get()
    }

    /// Takes note of an era that a peer knows.
    ///
    /// ```
    /// # use verbenaspool_transport::platform::era::Era;
    /// let era = Era::default();
    /// era.learn(3);
    /// assert_eq!(era.known(), 3);
    /// ```
    pub fn learn(&self, era: u64) {
        self.known.set(self.known.get().max(era));
    }

    /// Returns the era of an answer that names this one. An answer without a readable era counts as
    /// one of the latest known era.
    ///
    /// # Errors
    /// When the era is earlier than the latest known one.
    ///
    /// ```
    /// # use verbenaspool_transport::platform::era::Era;
    /// let era = Era::default();
    /// assert_eq!(era.observe(Some(2)), Ok(2));
    /// assert_eq!(era.observe(None), Ok(2));
    /// assert!(era.observe(Some(1)).is_err());
    /// ```
    pub fn observe(&self, named: Option<u64>) -> Result<u64, Error> {
        let known = self.known.get();
        let Some(era) = named else {
            self.unreadable
                .set(self.unreadable.get() + u64::from(known > 0));
            return Ok(known);
        };
        if era < known {
            self.late_answers.set(self.late_answers.get() + 1);
            let reason = format!("the answer is of the store's era {era}, before {known}");
            return Err(Error::Unknown(reason));
        }
        self.known.set(era);
        Ok(era)
    }

    /// Number of answers that were dropped because they were of an earlier era.
    ///
    /// ```
    /// # use verbenaspool_transport::platform::era::Era;
    /// assert_eq!(Era::default().late_answers(), 0);
    /// ```
    #[must_use]
    pub fn late_answers(&self) -> u64 {
        self.late_answers.get()
    }

    /// Number of answers without a readable era, although earlier ones had one.
    ///
    /// ```
    /// # use verbenaspool_transport::platform::era::Era;
    /// assert_eq!(Era::default().unreadable(), 0);
    /// ```
    #[must_use]
    pub fn unreadable(&self) -> u64 {
        self.unreadable.get()
    }
}
