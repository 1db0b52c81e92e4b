//! Typed settings files, rules files and routing files, with their validation.

#[macro_use]
mod derives;

pub mod announcement;
pub mod decisions;
pub mod errors;
pub mod headers;
pub mod heartbeat;
pub mod ids;
pub mod load;
pub mod organisations;
pub mod routed_settings;
pub mod routing;
pub mod routing_changes;
pub mod routing_file;
pub mod rules;
pub mod schema;
pub mod settings;
