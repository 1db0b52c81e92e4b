//! Stores the departures of the target, for later processes of this daemon.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use yuccarack_config::{
    heartbeat::{TargetId, TargetIncarnation},
    ids::{InstanceId, Revision},
    wire_data,
};
use yuccarack_platform::feed::{FeedError, FeedWrite};

use super::{
    events::EventLog,
    log_lines::{DepartureNotRead, DepartureNotStored, DepartureStored},
    row_publisher::START_TIMEOUT,
    store_client::{StoreClient, StorePurpose},
};
use crate::{
    coordination::jitter::jittered,
    state::routed::{departures::Departure, target::RoutedTarget},
};

/// First delay after a request to the store that failed.
const RETRY_FIRST: Duration = Duration::from_millis(100);

/// Longest retry delay of a write. Departures are confirmed to the target once they are stored.
const WRITE_RETRY_MAX: Duration = Duration::from_millis(800);

/// Longest retry delay of the read at the start.
const READ_RETRY_MAX: Duration = Duration::from_secs(2);

/// Table of targets that have announced that they leave, one row for each instance. No daemon
/// follows it, so a row costs one write, and one read at each start of a daemon.
pub const DEPARTURES_TABLE: &str = "leaving";

wire_data! {
    /// The departures of the targets of one instance.
    struct DepartureRow {
        /// Name of the target that left last.
        target: TargetId,
        /// Its last incarnation.
        last_life: TargetIncarnation,
        /// Whether processes of it with a lower incarnation have left too.
        #[serde(default, skip_serializing_if = "is_false")]
        covers_earlier: bool,
        /// The departures before it. Daemons of earlier versions reject a row that has any.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        earlier: Vec<Departure>,
    }
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde requires")]
fn is_false(value: &bool) -> bool {
    !value
}

/// Stores the departures of the target; clones share its state.
///
/// A target may announce that it leaves, its daemon restart, and a heartbeat from before the
/// announcement arrive late. Without the stored row the new process would send it requests again.
#[derive(Clone)]
pub struct DepartureStore {
    store: StoreClient,
    instance: InstanceId,
    target: RoutedTarget,
    events: EventLog,
    /// Revision of the row that was last read or written; `None` if it has to be read first.
    revision: Arc<Mutex<Option<Revision>>>,
}

impl DepartureStore {
    /// Stores the departures of `target`, the target of `instance`.
    pub fn new(
        store: StoreClient,
        instance: InstanceId,
        target: RoutedTarget,
        events: EventLog,
    ) -> Self {
        Self { store, instance, target, events, revision: Arc::default() }
    }

    /// Notes that no target of this instance ever left.
    pub fn skip_load(&self) {
        *self.revision.lock() = Some(0);
        self.target.restore_departures(Vec::new());
    }

    /// Reads the stored departures. If the store doesn't respond in time, heartbeats are accepted
    /// with more care meanwhile.
    pub async fn load(&self) {
        let cause = match timeout(START_TIMEOUT, self.read()).await {
            Ok(Ok(())) => return,
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no response from the store in time".to_owned(),
        };
        self.events.write(|| DepartureNotRead { cause });
        self.target.accept_without_departures();
    }

    /// Stores each departure until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.store_changes() => {}
        }
    }

    async fn store_changes(&self) {
        self.read_until_known().await;
        let (mut views, mut notices) =
            (self.target.subscribe(), self.target.subscribe_leave_notices());
        loop {
            views.borrow_and_update();
            notices.borrow_and_update();
            self.write_until_stored().await;
            tokio::select! {
                changed = views.changed() => if changed.is_err() { return },
                changed = notices.changed() => if changed.is_err() { return },
            }
        }
    }

    async fn read(&self) -> Result<(), FeedError> {
        // Reads one row, as the table has one for each instance whose target ever left.
        let purpose = StorePurpose::DepartureRead;
        let row = self.store.row(purpose, DEPARTURES_TABLE, &self.instance).await?;
        *self.revision.lock() = Some(row.as_ref().map_or(0, |row| row.revision));
        let value = row.and_then(|row| row.value);
        let departures = value.map(|value| self.decode(&value)).unwrap_or_default();
        self.target.set_stored_departures(departures.clone());
        self.target.restore_departures(departures);
        Ok(())
    }

    async fn read_until_known(&self) {
        let mut retry = RETRY_FIRST;
        while self.revision.lock().is_none() {
            sleep(jittered(retry)).await;
            retry = (retry * 2).min(READ_RETRY_MAX);
            if let Err(error) = self.read().await {
                self.events.write(|| DepartureNotRead { cause: error.to_string() });
            }
        }
    }

    fn decode(&self, value: &[u8]) -> Vec<Departure> {
        match serde_json::from_slice::<DepartureRow>(value) {
            Ok(row) => {
                let (target, incarnation, covers_earlier) =
                    (row.target, row.last_life, row.covers_earlier);
                let last = Departure { target, incarnation, covers_earlier };
                row.earlier.into_iter().chain([last]).collect()
            }
            Err(error) => {
                self.events.write(|| DepartureNotRead { cause: error.to_string() });
                Vec::new()
            }
        }
    }

    /// Stores the departures unless the store has them, and retries until that succeeds. Without
    /// departures the row is deleted.
    async fn write_until_stored(&self) {
        let mut retry = RETRY_FIRST;
        loop {
            let departures = self.target.departures();
            if departures == self.target.stored_departures() {
                return;
            }
            let expected_revision = self.revision.lock().unwrap_or(0);
            match self.write(&departures, expected_revision).await {
                Ok(revision) => {
                    let is_deleted = departures.is_empty();
                    *self.revision.lock() = Some(if is_deleted { 0 } else { revision });
                    let last = departures.last().cloned();
                    self.target.set_stored_departures(departures);
                    let (target, life) = last.map(|last| (last.target, last.incarnation)).unzip();
                    self.events.write(|| DepartureStored { target, life, revision });
                }
                Err(FeedError::Conflict { current_revision })
                    if current_revision != expected_revision =>
                {
                    *self.revision.lock() = Some(current_revision);
                }
                Err(error) => {
                    self.events.write(|| DepartureNotStored { cause: error.to_string() });
                    sleep(jittered(retry)).await;
                    retry = (retry * 2).min(WRITE_RETRY_MAX);
                }
            }
        }
    }

    async fn write(
        &self,
        departures: &[Departure],
        expected_revision: Revision,
    ) -> Result<Revision, FeedError> {
        let row = departures.split_last().map(|(last, earlier)| DepartureRow {
            target: last.target.clone(),
            last_life: last.incarnation,
            covers_earlier: last.covers_earlier,
            earlier: earlier.to_vec(),
        });
        let value = row.as_ref().map(serde_json::to_vec).transpose();
        let value = value.map_err(|error| FeedError::Malformed(error.to_string()))?;
        let write = FeedWrite {
            table: DEPARTURES_TABLE,
            key: self.instance.clone(),
            expected_revision,
            value: value.map(Bytes::from),
            absent_in: None,
        };
        self.store.write(StorePurpose::DepartureWrite, &write).await
    }
}
