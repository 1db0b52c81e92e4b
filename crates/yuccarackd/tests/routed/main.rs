//! Routed calls through real daemons: what callers and targets see, with faults ordered.

mod answers;
mod at_most_once;
mod cold;
mod crashing;
mod drains;
mod evacuation;
mod explained;
mod homes;
mod large_tables;
mod leaving;
mod limits;
mod organisations;
mod path;
mod pipelining;
mod recovery;
mod relays;
mod rolls;
mod soak;
mod store;
mod support;
#[expect(dead_code, reason = "these tests write documents, not tables")]
#[path = "../support/tables.rs"]
mod tables;
mod uploads;
