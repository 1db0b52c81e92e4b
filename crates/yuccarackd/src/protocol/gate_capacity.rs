//! Capacity of a gate beyond its slots, which goes with its responses in one header while a
//! deployment uses it.

use std::{fmt, str::FromStr, time::Duration};

/// Name of the header.
pub const GATE_CAPACITY: &str = "yuccarack-gate-capacity";

/// Capacity of a gate's link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateCapacity {
    /// Time that the link needs for the response bytes that wait at the gate.
    pub link_backlog: Option<Duration>,
    /// Rate of the link.
    pub link_kbit_per_s: Option<u32>,
}

impl GateCapacity {
    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

impl fmt::Display for GateCapacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(backlog) = self.link_backlog {
            write!(f, "link_ms={};", backlog.as_millis())?;
        }
        if let Some(kbit_per_s) = self.link_kbit_per_s {
            write!(f, "link_kbit={kbit_per_s};")?;
        }
        Ok(())
    }
}

impl FromStr for GateCapacity {
    type Err = std::num::ParseIntError;

    /// Ignores fields that aren't known, which a later version may add.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut capacity = Self::default();
        for (name, value) in text.split(';').filter_map(|field| field.split_once('=')) {
            match name {
                "link_ms" => capacity.link_backlog = Some(Duration::from_millis(value.parse()?)),
                "link_kbit" => capacity.link_kbit_per_s = Some(value.parse()?),
                _ => {}
            }
        }
        Ok(capacity)
    }
}
