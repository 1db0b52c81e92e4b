//! Routed calls through real daemons: what callers and targets see, with faults ordered.

mod answers;
mod at_most_once;
mod cold;
mod crashing;
mod drains;
mod endless;
mod evacuation;
mod explained;
mod homes;
mod large_tables;
mod late_requests;
mod leaving;
mod limits;
mod link;
mod malformed_heads;
mod odd_rows;
mod organisation_keys;
mod organisations;
mod path;
mod pipelining;
mod quotas;
mod recovery;
mod refused_in_time;
mod relays;
mod rolls;
mod shed;
mod soak;
mod store;
mod store_requests;
mod support;
#[expect(dead_code, reason = "these tests write documents, not tables")]
#[path = "../support/tables.rs"]
mod tables;
mod unresponsive_store;
mod uploads;
