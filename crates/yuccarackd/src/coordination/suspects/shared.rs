//! State that the tasks of the suspect tracker share.

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

/// Most events in one message. A crash causes one event for each request in flight.
const EVENTS_PER_MESSAGE_MAX: usize = 32;

/// A change of one row that isn't written yet.
#[derive(Clone, Debug)]
pub struct PendingChange {
    /// Service that the request is for.
    pub service: ServiceName,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Change to apply to the row that is in the table then.
    pub change: Change,
}

/// Row of one suspect as it was read from the table.
#[derive(Debug, Default)]
pub struct StoredSuspect {
    /// Value of the row; unset if there is no row or it can't be parsed, in which case it is
    /// overwritten.
    pub value: Option<SuspectRow>,
    row: Option<Row>,
}

/// Access to the table, to the peers and to the cache.
#[derive(Clone)]
pub struct Shared {
    /// Client of the platform, which holds the table.
    pub platform: PlatformClient,
    /// Id of this daemon's instance, which updates carry.
    pub instance: InstanceId,
    /// Counters of the daemon.
    pub counters: Counters,
    /// Suspects that this daemon knows.
    pub cache: Arc<Mutex<SuspectCache>>,
    /// Queue of updates to other members of the service.
    pub update_sender: Sender<UrgentUpdate>,
    /// Queue of changes to the recorder.
    pub changes: UnboundedSender<PendingChange>,
}

impl Shared {
    /// Queues updates to other members of the service, of whom [`Gossip::send_urgent`] reaches 64
    /// random ones at most. The others learn of an update at their next poll of the table, as do
    /// all if the queue is full: the update is then dropped and counted.
    ///
    /// [`Gossip::send_urgent`]: crate::coordination::gossip::Gossip::send_urgent
    pub fn queue_updates(&self, service: &str, events: &[(Fingerprint, SuspectEvent)]) {
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

    /// Queues a change of a row, which the recorder writes.
    pub fn queue_change(&self, service: &str, fingerprint: Fingerprint, change: Change) {
        let pending = PendingChange { service: service.to_owned(), fingerprint, change };
        // The recorder ends only when the daemon stops, and the peers have got the update.
        let _ = self.changes.send(pending);
    }

    /// Reads the row of one suspect.
    ///
    /// # Errors
    ///
    /// Returns the error of the platform.
    pub async fn read(&self, key: &str) -> Result<StoredSuspect, PlatformError> {
        let Some(row) = self.platform.row(key).await? else { return Ok(StoredSuspect::default()) };
        let value = serde_json::from_value(row.value.clone()).ok();
        Ok(StoredSuspect { value, row: Some(row) })
    }

    /// Commits `write` on condition that the row is still as it was read.
    ///
    /// # Errors
    ///
    /// Returns the error of the platform; a conflict if the row was written since.
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
