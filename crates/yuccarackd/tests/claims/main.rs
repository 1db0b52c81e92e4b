//! Claims under lost responses, late writes, races, pauses and outages of the store.

mod lost_responses;
mod store_unavailable;
mod support;
mod verdicts;
mod walk;
