//! Processes of the target that have announced that they leave.

use yuccarack_config::{
    heartbeat::{TargetId, TargetIncarnation},
    wire_data,
};

/// Most departures that are kept. Heartbeats of a process that has left arrive seconds late at most.
const DEPARTURES_MAX: usize = 8;

wire_data! {
    /// Departure of a process of the target, or of several.
    pub struct Departure {
        /// Id of the target.
        pub target: TargetId,
        /// Incarnation of the process.
        pub incarnation: TargetIncarnation,
        /// Whether processes of the target with a lower incarnation have left too. A leave notice
        /// without an incarnation covers all that had started when it arrived.
        pub covers_earlier: bool,
    }
}

impl Departure {
    /// Creates the departure of one process.
    pub fn of_process(target: TargetId, incarnation: TargetIncarnation) -> Self {
        Self { target, incarnation, covers_earlier: false }
    }

    /// Creates the departure of all processes of `target` that had started at `unix_ms`.
    pub fn of_all_started_by(target: TargetId, unix_ms: u64) -> Self {
        Self { target, incarnation: unix_ms, covers_earlier: true }
    }

    fn includes(&self, target: &str, incarnation: TargetIncarnation) -> bool {
        let is_process = incarnation == self.incarnation;
        let is_earlier = self.covers_earlier && incarnation < self.incarnation;
        self.target == target && (is_process || is_earlier)
    }
}

/// The latest departures, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Departures {
    departures: Vec<Departure>,
}

impl Departures {
    /// Adds a departure unless it is known.
    pub fn add(&mut self, departure: Departure) {
        if self.departures.contains(&departure) {
            return;
        }
        if self.departures.len() >= DEPARTURES_MAX {
            self.departures.remove(0);
        }
        self.departures.push(departure);
    }

    /// Returns whether the process of `target` with `incarnation` has left.
    pub fn include(&self, target: &str, incarnation: TargetIncarnation) -> bool {
        self.departures.iter().any(|departure| departure.includes(target, incarnation))
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.departures.is_empty()
    }

    /// Returns the departures, oldest first.
    pub fn to_vec(&self) -> Vec<Departure> {
        self.departures.clone()
    }
}
