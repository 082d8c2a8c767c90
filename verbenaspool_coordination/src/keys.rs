//! Keys of a firm's objects in the platform's store.

use verbenaspool_state::name::Name;

use crate::piece::Hash;

/// Key of a firm's head.
///
/// ```
/// # use verbenaspool_coordination::keys;
/// assert_eq!(keys::head(&"quetzal".parse().unwrap()), "firms/quetzal/head");
/// ```
#[must_use]
pub fn head(firm: &Name) -> String {
    format!("firms/{firm}/head")
}

/// Key prefix of a firm's pieces.
///
/// ```
/// # use verbenaspool_coordination::keys;
/// assert_eq!(keys::pieces(&"quetzal".parse().unwrap()), "firms/quetzal/pieces/");
/// ```
#[must_use]
pub fn pieces(firm: &Name) -> String {
    format!("firms/{firm}/pieces/")
}

/// Key of a piece.
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

/// Key prefix of a firm's bundles of pieces.
///
/// ```
/// # use verbenaspool_coordination::keys;
/// assert_eq!(keys::bundles(&"quetzal".parse().unwrap()), "firms/quetzal/bundles/");
/// ```
#[must_use]
pub fn bundles(firm: &Name) -> String {
    format!("firms/{firm}/bundles/")
}

/// Key of a lease.
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

/// Key of the claim on an idempotency key. The idempotency key is hashed because
/// callers choose it: it may be long, contain any character and reveal something about
/// a customer.
///
/// ```
/// # use verbenaspool_coordination::keys;
/// let (firm, customer) = ("quetzal".parse().unwrap(), "feria".parse().unwrap());
/// let key = keys::claim(&firm, &customer, "ride 7, certificate");
/// assert!(key.starts_with("firms/quetzal/claims/"));
/// ```
#[must_use]
pub fn claim(firm: &Name, customer: &Name, idempotency_key: &str) -> String {
    // A name contains no slash, so different pairs never yield the same text.
    let hash = blake3::hash(format!("{customer}/{idempotency_key}").as_bytes());
    format!("firms/{firm}/claims/{}", hash.to_hex())
}

/// Key prefix of the platform's list of instances.
///
/// ```
/// # use verbenaspool_coordination::keys;
/// assert_eq!(keys::instances(&"quetzal".parse().unwrap()), "firms/quetzal/instances/");
/// ```
#[must_use]
pub fn instances(firm: &Name) -> String {
    format!("firms/{firm}/instances/")
}

/// Key of a zone's aggregated status.
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
