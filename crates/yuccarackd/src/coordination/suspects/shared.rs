//! What all parts of the keeper of suspects share.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::mpsc::{Sender, UnboundedSender};
use yuccarack_config::ids::{Fingerprint, InstanceId, ServiceName};
use yuccarack_platform::{
    PlatformClient, PlatformError,
    messages::{Commit, Condition, Precondition, Row, Write},
    rows::SuspectRow,
};

use super::{cache::SuspectCache, row::Change};
use crate::{
    protocol::{
        control::UrgentUpdate,
        suspect_update::{SuspectEvent, SuspectUpdate},
    },
    state::counters::Counters,
};

/// Most events in one message; a death brings one for each slot.
const EVENTS_PER_MESSAGE_MAX: usize = 32;

/// A change of one row that is still to be written.
#[derive(Clone, Debug)]
pub struct PendingChange {
    /// Service that the request is for.
    pub service: ServiceName,
    /// What the request is recognised by.
    pub fingerprint: Fingerprint,
    /// What changes.
    pub change: Change,
}

/// What was read of one suspect.
#[derive(Debug, Default)]
pub struct StoredSuspect {
    /// The row's value; unset for no row and for one that can't be read, which is written over.
    pub value: Option<SuspectRow>,
    row: Option<Row>,
}

/// Ways to the table, to peers and to the memory.
#[derive(Clone)]
pub struct Shared {
    /// The table.
    pub platform: PlatformClient,
    /// This instance.
    pub instance: InstanceId,
    /// Counters.
    pub counters: Counters,
    /// What is known here.
    pub cache: Arc<Mutex<SuspectCache>>,
    /// News for all members of the service.
    pub update_sender: Sender<UrgentUpdate>,
    /// Changes for the recorder.
    pub changes: UnboundedSender<PendingChange>,
}

impl Shared {
    /// Tells all members; without room the table's next reading tells them.
    pub fn broadcast(&self, service: &str, events: &[(Fingerprint, SuspectEvent)]) {
        for events in events.chunks(EVENTS_PER_MESSAGE_MAX) {
            let updates = events.iter().map(|&(fingerprint, event)| SuspectUpdate {
                service: service.to_owned(),
                fingerprint,
                event,
                instance: self.instance.clone(),
            });
            if self.update_sender.try_send(UrgentUpdate::Suspects(updates.collect())).is_err() {
                self.counters.add("suspects.news_dropped");
            }
        }
    }

    /// Has a row changed in the background.
    pub fn queue_change(&self, service: &str, fingerprint: Fingerprint, change: Change) {
        let pending = PendingChange { service: service.to_owned(), fingerprint, change };
        // The recorder has ended only when the daemon stops; peers have heard the news.
        let _ = self.changes.send(pending);
    }

    /// Reads one suspect's row.
    ///
    /// # Errors
    ///
    /// The platform's.
    pub async fn read(&self, key: &str) -> Result<StoredSuspect, PlatformError> {
        let Some(row) = self.platform.row(key).await? else { return Ok(StoredSuspect::default()) };
        let value = serde_json::from_value(row.value.clone()).ok();
        Ok(StoredSuspect { value, row: Some(row) })
    }

    /// Writes `write` over what was read.
    ///
    /// # Errors
    ///
    /// The platform's; a conflict when the row was written since.
    pub async fn commit_over(
        &self,
        stored: &StoredSuspect,
        write: Write,
    ) -> Result<(), PlatformError> {
        let precondition = stored
            .row
            .as_ref()
            .map_or(Precondition::BeAbsent, |row| Precondition::BeAt(row.revision));
        let conditions = vec![Condition::new(write.key.clone(), precondition)];
        self.platform.commit(&Commit { conditions, writes: vec![write] }).await?;
        Ok(())
    }
}
