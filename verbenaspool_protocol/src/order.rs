//! Orders to an engine through its agent. Orders and their outcomes are defined in
//! [`verbenaspool_coordination::group::order`].

/// The JSON-RPC method that takes an
/// [`Order`](verbenaspool_coordination::group::order::Order) and returns its
/// [`Outcome`](verbenaspool_coordination::group::order::Outcome). A call without a
/// response is retried with the same order.
pub const METHOD: &str = "engine_order";

/// The path of an engine's
/// [`State`](verbenaspool_coordination::group::order::State).
pub const STATE_PATH: &str = "/held";
