//! What a target announced with a response, as gates and entries report it to each other.

use std::{fmt, str::FromStr};

use thiserror::Error;
use yuccarack_config::{announcement::RequestRate, heartbeat::TargetIncarnation};

/// Separator of the fields, which occurs in none of them.
const SEPARATOR: char = ':';

/// Text of the rate of a target without a limit.
const UNLIMITED: &str = "-";

/// What the process of a target announced with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetAnnouncement {
    /// Incarnation of the target.
    pub incarnation: TargetIncarnation,
    /// Requests that it takes from all callers together; `None` without a limit.
    pub rate_limit: Option<RequestRate>,
    /// Whether it leaves.
    pub is_leaving: bool,
}

/// A malformed announcement.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the announcement of the target is malformed")]
pub struct TargetAnnouncementError;

impl fmt::Display for TargetAnnouncement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{SEPARATOR}", self.incarnation)?;
        match self.rate_limit {
            Some(rate) => write!(f, "{}", rate.per_1000_s())?,
            None => f.write_str(UNLIMITED)?,
        }
        write!(f, "{SEPARATOR}{}", u8::from(self.is_leaving))
    }
}

impl FromStr for TargetAnnouncement {
    type Err = TargetAnnouncementError;

    fn from_str(text: &str) -> Result<Self, TargetAnnouncementError> {
        let mut fields = text.split(SEPARATOR);
        let mut next = || fields.next().ok_or(TargetAnnouncementError);
        let incarnation = next()?.parse().map_err(|_| TargetAnnouncementError)?;
        let rate_limit = match next()? {
            UNLIMITED => None,
            rate => Some(RequestRate::new(rate.parse().map_err(|_| TargetAnnouncementError)?)),
        };
        let is_leaving = match next()? {
            "0" => false,
            "1" => true,
            _ => return Err(TargetAnnouncementError),
        };
        Ok(Self { incarnation, rate_limit, is_leaving })
    }
}
