//! Headers and messages that daemons, targets and operators exchange.

pub mod announce;
pub mod body;
pub mod body_until;
pub mod call;
pub mod control;
pub mod forwarding;
pub mod gate_capacity;
pub mod gate_status;
pub mod hop;
pub mod packed_changes;
pub mod packed_json;
pub mod peer_update;
pub mod quota;
pub mod refusal;
pub mod registration;
pub mod relay_list;
pub mod response_size;
pub mod status;
pub mod streamed_body;
pub mod suspect_update;
pub mod target_announcement;
