//! The keys under which a firm's objects stand in the platform's store.

use verbenaspool_state::name::Name;

use crate::piece::Hash;

/// The key of a firm's head.
///
/// ```
/// # use verbenaspool_coordination::keys;
/// assert_eq!(keys::head(&"quetzal".parse().unwrap()), "firms/quetzal/head");
/// ```
#[must_use]
pub fn head(firm: &Name) -> String {
    format!("firms/{firm}/head")
}

/// What the keys of a firm's pieces start with.
///
/// ```
/// # use verbenaspool_coordination::keys;
/// assert_eq!(keys::pieces(&"quetzal".parse().unwrap()), "firms/quetzal/pieces/");
/// ```
#[must_use]
pub fn pieces(firm: &Name) -> String {
    format!("firms/{firm}/pieces/")
}

/// The key of one piece.
///
/// ```
/// # use verbenaspool_coordination::{keys, piece::Hash};
/// let key = keys::piece(&"quetzal".parse().unwrap(), Hash::of(b"[]"));
/// assert!(key.starts_with("firms/quetzal/pieces/"));
/// ```
#[must_use]
pub fn piece(firm: &Name, hash: Hash) -> String {
    format!("firms/{firm}/pieces/{hash}")
}

/// What the keys of a firm's bundles of pieces start with.
///
/// ```
/// # use verbenaspool_coordination::keys;
/// assert_eq!(keys::bundles(&"quetzal".parse().unwrap()), "firms/quetzal/bundles/");
/// ```
#[must_use]
pub fn bundles(firm: &Name) -> String {
    format!("firms/{firm}/bundles/")
}

/// The key of a lease.
///
/// ```
/// # use verbenaspool_coordination::keys;
/// let key = keys::lease(&"quetzal".parse().unwrap(), &"group-1".parse().unwrap());
/// assert_eq!(key, "firms/quetzal/leases/group-1");
/// ```
#[must_use]
pub fn lease(firm: &Name, lease: &Name) -> String {
    format!("firms/{firm}/leases/{lease}")
}

/// The key of the claim on an idempotency key, which is hashed because callers
/// choose it: it may be long, hold any character and tell about a customer.
///
/// ```
/// # use verbenaspool_coordination::keys;
/// let (firm, customer) = ("quetzal".parse().unwrap(), "feria".parse().unwrap());
/// let key = keys::claim(&firm, &customer, "ride 7, certificate");
/// assert!(key.starts_with("firms/quetzal/claims/"));
/// ```
#[must_use]
pub fn claim(firm: &Name, customer: &Name, idempotency_key: &str) -> String {
    // A name holds no slash, so no two pairs share a text.
    let hash = blake3::hash(format!("{customer}/{idempotency_key}").as_bytes());
    format!("firms/{firm}/claims/{}", hash.to_hex())
}

/// What the keys of the platform's list of instances start with.
///
/// ```
/// # use verbenaspool_coordination::keys;
/// assert_eq!(keys::instances(&"quetzal".parse().unwrap()), "firms/quetzal/instances/");
/// ```
#[must_use]
pub fn instances(firm: &Name) -> String {
    format!("firms/{firm}/instances/")
}

/// The key of a zone's gathered status.
///
/// ```
/// # use verbenaspool_coordination::keys;
/// let key = keys::status(&"quetzal".parse().unwrap(), &"antigua".parse().unwrap());
/// assert_eq!(key, "firms/quetzal/status/antigua");
/// ```
#[must_use]
pub fn status(firm: &Name, zone: &Name) -> String {
    format!("firms/{firm}/status/{zone}")
}
