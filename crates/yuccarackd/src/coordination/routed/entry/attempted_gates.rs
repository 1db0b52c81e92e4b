//! Records the gates that a call was sent to and how each responded, for the call's log line.

use parking_lot::Mutex;
use yuccarack_config::ids::InstanceId;

/// Label of a gate that hasn't responded when the call ends.
const NO_RESPONSE: &str = "no_word";

/// Gates that a call was sent to, in order. It outlives the attempts that a deadline cancels.
#[derive(Debug, Default)]
pub struct AttemptedGates {
    gates: Mutex<Vec<(InstanceId, &'static str)>>,
}

impl AttemptedGates {
    /// Records that an attempt at `gate` starts.
    pub fn start(&self, gate: &InstanceId) {
        self.gates.lock().push((gate.clone(), NO_RESPONSE));
    }

    /// Records how the gate of the last attempt responded.
    pub fn finish(&self, label: &'static str) {
        if let Some(last) = self.gates.lock().last_mut() {
            last.1 = label;
        }
    }

    /// Formats all gates as `instance=label`, separated by spaces.
    pub fn to_log_text(&self) -> String {
        let gates = self.gates.lock();
        let entries = gates.iter().map(|(gate, label)| format!("{gate}={label}"));
        entries.collect::<Vec<_>>().join(" ")
    }
}
