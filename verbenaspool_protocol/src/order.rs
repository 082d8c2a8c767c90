//! Orders to an engine by way of its agent. The order itself and what comes of
//! it belong to the gate's machine, [`verbenaspool_coordination::group::order`].

/// The JSON-RPC method that takes an
/// [`Order`](verbenaspool_coordination::group::order::Order) and answers with its
/// [`Outcome`](verbenaspool_coordination::group::order::Outcome). A call that
/// gets no answer is made again with the same order.
pub const METHOD: &str = "engine_order";

/// The path where an engine tells its
/// [`State`](verbenaspool_coordination::group::order::State).
pub const HELD: &str = "/held";
