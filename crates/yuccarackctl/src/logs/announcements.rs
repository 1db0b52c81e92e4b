//! Rate limits and departures that targets announced, in the order of the log lines' times.

use serde_json::{Value, json};
use time::OffsetDateTime;

use super::{Event, EventKind, summary::format_time};

/// Maximum number of announcements that are kept, which bounds memory for logs of any length.
const ANNOUNCEMENTS_MAX: usize = 1_000;

/// Announcement of one target.
#[derive(Clone, Debug, PartialEq)]
struct Announcement {
    ts: OffsetDateTime,
    instance: String,
    target: String,
    text: String,
}

/// Announcements of targets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Announcements {
    list: Vec<Announcement>,
    omitted: u64,
}

impl Announcements {
    /// Adds a line if it reports an announcement.
    pub fn record(&mut self, event: &Event) {
        let text = match event.event {
            Some(EventKind::TargetAnnouncedLeaving) => "leaves".to_owned(),
            Some(EventKind::TargetLimitChanged) => match event.limit_per_1000_s {
                Some(limit) => format!("limit of {} requests/s", f64::from(limit) / 1_000.0),
                None => "limit ended".to_owned(),
            },
            _ => return,
        };
        if self.list.len() >= ANNOUNCEMENTS_MAX {
            self.omitted += 1;
            return;
        }
        let target = event.target.clone().unwrap_or_default();
        self.list.push(Announcement {
            ts: event.ts,
            instance: event.instance.clone(),
            target,
            text,
        });
    }

    /// Returns whether there is none.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns the number of announcements beyond those that are kept.
    pub fn omitted(&self) -> u64 {
        self.omitted
    }

    /// Returns rows of a table with time, instance, target and announcement.
    pub fn rows(&self) -> Vec<Vec<String>> {
        let row = |it: &Announcement| {
            let time = format_time(it.ts.unix_timestamp());
            vec![time, it.instance.clone(), it.target.clone(), it.text.clone()]
        };
        self.sorted().iter().map(row).collect()
    }

    /// Returns the announcements as JSON for scripts.
    pub fn to_json(&self) -> Value {
        let entry = |it: &Announcement| {
            json!({
                "at": format_time(it.ts.unix_timestamp()), "instance": it.instance,
                "target": it.target, "announcement": it.text,
            })
        };
        self.sorted().iter().map(entry).collect()
    }

    fn sorted(&self) -> Vec<Announcement> {
        let mut list = self.list.clone();
        list.sort_by_key(|it| it.ts);
        list
    }
}
