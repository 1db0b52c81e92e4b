//! Explains single calls to operators, by the call log.

use serde_json::Value;

use super::call_log::CallLog;

/// Returns the logged steps of a call.
#[derive(Clone, Debug)]
pub struct Explainer {
    call_log: CallLog,
}

impl Explainer {
    /// Creates an explainer for the calls in `call_log`.
    pub fn new(call_log: CallLog) -> Self {
        Self { call_log }
    }

    /// Returns the steps of the call with the given `id`, 32 hex digits, if it is still in the log.
    pub fn explain(&self, id: &str) -> Option<Value> {
        let id = u128::from_str_radix(id, 16).ok()?;
        let events = self.call_log.find(id)?;
        serde_json::to_value(events).ok()
    }
}
