//! Tests of the dispatcher: which requests are placed, queued and rejected.

mod agent_reports;
mod backoff;
mod caller_retries;
mod circuit;
mod crash;
mod customer;
mod evacuation;
mod fleet;
mod group;
mod incremental;
mod load;
mod outage;
mod rate_limits;
mod retry_budget;
mod shares;
mod shift;
mod simulation;
mod slow;
mod uneven;
mod warm_up;
