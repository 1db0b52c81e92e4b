//! Which gates a call was offered to and what each said, for its log line.

use parking_lot::Mutex;
use yuccarack_config::ids::InstanceId;

/// Word for a gate that had the request when time was over.
const NO_RESPONSE: &str = "no_word";

/// Gates that a call was offered to, in order; it outlives tries that a deadline ends.
#[derive(Debug, Default)]
pub struct AttemptedGates {
    gates: Mutex<Vec<(InstanceId, &'static str)>>,
}

impl AttemptedGates {
    /// Notes that `gate` is asked.
    pub fn start(&self, gate: &InstanceId) {
        self.gates.lock().push((gate.clone(), NO_RESPONSE));
    }

    /// Notes what the gate that was asked last said.
    pub fn finish(&self, label: &'static str) {
        if let Some(last) = self.gates.lock().last_mut() {
            last.1 = label;
        }
    }

    /// All of them, each as `instance=label`.
    pub fn to_log_text(&self) -> String {
        let gates = self.gates.lock();
        let entries = gates.iter().map(|(gate, label)| format!("{gate}={label}"));
        entries.collect::<Vec<_>>().join(" ")
    }
}
