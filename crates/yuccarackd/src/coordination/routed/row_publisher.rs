//! Keeps the row of this instance in the members table up to date.

mod registration;

use std::time::Duration;

use rand::Rng;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use yuccarack_config::ids::{InstanceId, Revision, ServiceName};
use yuccarack_platform::feed::{FeedError, FeedWrite};

use self::registration::RegisterError;
use super::{
    departure_store::DepartureStore,
    events::EventLog,
    log_lines::{
        MemberRowDeleted, MemberRowNotDeleted, RowDeleted, RowNotDeleted, RowNotWritten, RowWritten,
    },
    registrar::{Registrar, first_row_write},
    store_client::{StoreClient, StorePurpose},
    store_follower::MEMBERS_TABLE,
};
use crate::{
    coordination::jitter::{generator, jittered},
    protocol::peer_update::RoutedMember,
    state::routed::{known_relays::KnownRelays, members::Members, target::RoutedTarget},
    transport::upstream::Upstream,
};

/// First delay after a write that failed.
const RETRY_FIRST: Duration = Duration::from_millis(100);

/// Longest retry delay; a target that joined has to be known 4 s later.
const RETRY_MAX: Duration = Duration::from_millis(800);

/// Longest wait for the store at a start, be it for the departure row or for the write of the first
/// member row; a target sends its next heartbeat 1.5 s later.
pub(super) const START_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time over which the first rows of a fleet are spread, so that few daemons of a failure domain find
/// no registrar.
pub const FIRST_WRITE_SPREAD: Duration = Duration::from_secs(1);

/// Writes the row of one instance.
#[derive(Clone)]
pub struct RowPublisher {
    /// Client of the store.
    pub store: StoreClient,
    /// The row without its service.
    pub member: RoutedMember,
    /// The target of this instance.
    pub target: RoutedTarget,
    /// Stores the departures of the target.
    pub departures: DepartureStore,
    /// Members known to this daemon, this instance among them.
    pub members: Members,
    /// Log for writes and their failures.
    pub events: EventLog,
    /// Registrar of this daemon, for the first start of the whole fleet.
    pub registrar: Registrar,
    /// Connections to other gates.
    pub upstream: Upstream,
    /// Relays found at the start.
    pub known_relays: KnownRelays,
    /// Service of the target by the settings, if the whole fleet starts for the first time.
    pub initial_service: Option<ServiceName>,
}

impl RowPublisher {
    /// Writes the row at each change of what the target serves, until `stop` is cancelled.
    ///
    /// A write names the revision that it replaces. One whose response was lost may take effect
    /// seconds later, and must not replace a newer row by an older one.
    pub async fn run(mut self, stop: CancellationToken) {
        let departures = self.departures.clone();
        tokio::select! {
            () = stop.cancelled() => return,
            () = self.load_initial_state() => {}
        }
        tokio::join!(self.publish_row(stop.clone()), departures.run(stop.clone()));
    }

    async fn publish_row(mut self, stop: CancellationToken) {
        let (mut changes, mut row_changes) = (self.target.subscribe(), self.members.subscribe());
        tokio::select! {
            () = stop.cancelled() => return,
            () = self.members.wait_loaded() => {}
        }
        loop {
            // Without a target the row stays as it is: it names the gate to query, and the gate
            // refuses.
            let target = changes.borrow_and_update().clone();
            row_changes.borrow_and_update();
            if let Some(target) = target {
                self.member.service = Some(target.service.clone());
                let (expected_revision, current_row) = self.members.row(&self.member.instance);
                let stale_rows =
                    self.members.others_at_address(self.member.gate_address, &self.member.instance);
                let is_latest =
                    stale_rows.iter().all(|(_, revision)| *revision < expected_revision);
                if !is_latest || current_row.is_none_or(|current_row| *current_row != self.member) {
                    tokio::select! {
                        () = stop.cancelled() => return,
                        () = self.write_row(expected_revision) => {}
                    }
                }
                tokio::select! {
                    () = stop.cancelled() => return,
                    () = self.delete_stale_rows(stale_rows) => {}
                }
            }
            tokio::select! {
                () = stop.cancelled() => return,
                changed = changes.changed() => if changed.is_err() { return },
                // Other daemons may have deleted the row while this instance was unreachable.
                changed = row_changes.changed() => if changed.is_err() { return },
            }
        }
    }

    /// Determines what an earlier process of this daemon knew of the target.
    async fn load_initial_state(&mut self) {
        if let Some(service) = self.initial_service.take() {
            sleep(FIRST_WRITE_SPREAD.mul_f64(generator().random())).await;
            let member = RoutedMember { service: Some(service), ..self.member.clone() };
            let is_written = match self.register(&member).await {
                Ok(()) => true,
                // The store would not take a single row either.
                Err(RegisterError::Store(_) | RegisterError::StoreTimeout(_)) => false,
                Err(_) => self.create_row(member).await,
            };
            if is_written {
                self.departures.skip_load();
                return;
            }
        }
        self.departures.load().await;
    }

    fn record_own_row(&self, revision: Revision, member: RoutedMember) {
        let service = member.service.clone();
        if self.members.merge(&self.member.instance, revision, Some(member)) {
            self.events.write(|| RowWritten { service, revision });
        }
    }

    /// Writes the first row of this instance, if no target of it ever left; returns false if it is
    /// not written.
    async fn create_row(&self, member: RoutedMember) -> bool {
        let write = first_row_write(&member);
        let written = async { self.store.write(StorePurpose::FirstRow, &write?).await };
        match timeout(START_TIMEOUT, written).await {
            Ok(Ok(revision)) => {
                self.record_own_row(revision, member);
                true
            }
            Ok(Err(error)) => {
                self.events.write(|| RowNotWritten { seen_at: 0, cause: error.to_string() });
                false
            }
            Err(_) => {
                let cause = "no response from the store in time".to_owned();
                self.events.write(|| RowNotWritten { seen_at: 0, cause });
                false
            }
        }
    }

    /// Deletes the rows of instances that had the address of this one before.
    async fn delete_stale_rows(&self, stale_rows: Vec<(InstanceId, Revision)>) {
        for (member, expected_revision) in stale_rows {
            let write = FeedWrite {
                table: MEMBERS_TABLE,
                key: member.clone(),
                expected_revision,
                value: None,
                absent_in: None,
            };
            match self.store.write(StorePurpose::RowDeletion, &write).await {
                Ok(revision) => {
                    self.members.merge(&member, revision, None);
                    self.events.write(|| MemberRowDeleted { member, revision });
                }
                // Daemons that know this instance's row ignore the stale one, and the next change
                // deletes it.
                Err(error) => {
                    let cause = error.to_string();
                    self.events.write(|| MemberRowNotDeleted { member, cause });
                }
            }
        }
    }

    /// Deletes the row if the target has left for good, so that no daemon sends requests there any
    /// more.
    ///
    /// If the row stayed after the instance is taken out of service, every other daemon would lose
    /// a request there, or wait for a connection, before it finds out.
    pub async fn withdraw(self) {
        if !self.target.is_leaving() {
            return;
        }
        let (expected_revision, current_row) = self.members.row(&self.member.instance);
        if current_row.is_none() {
            return;
        }
        let write = FeedWrite {
            table: MEMBERS_TABLE,
            key: self.member.instance.clone(),
            expected_revision,
            value: None,
            absent_in: None,
        };
        match self.store.write(StorePurpose::RowDeletion, &write).await {
            Ok(revision) => self.events.write(|| RowDeleted { revision }),
            // The process ends; other daemons find out by its closed port.
            Err(error) => self.events.write(|| RowNotDeleted { cause: error.to_string() }),
        }
    }

    /// Writes the row, and retries until that succeeds.
    async fn write_row(&self, mut seen_at: Revision) {
        let mut retry = RETRY_FIRST;
        loop {
            match self.write_once(seen_at).await {
                Ok(revision) => {
                    let service = self.member.service.clone();
                    self.events.write(|| RowWritten { service, revision });
                    let member = Some(self.member.clone());
                    self.members.merge(&self.member.instance, revision, member);
                    return;
                }
                Err(FeedError::Conflict { current_revision }) if current_revision != seen_at => {
                    seen_at = current_revision;
                }
                Err(error) => {
                    self.events.write(|| RowNotWritten { seen_at, cause: error.to_string() });
                    sleep(jittered(retry)).await;
                    retry = (retry * 2).min(RETRY_MAX);
                }
            }
        }
    }

    async fn write_once(&self, expected_revision: Revision) -> Result<Revision, FeedError> {
        let row = first_row_write(&self.member)?;
        let write = FeedWrite { expected_revision, absent_in: None, ..row };
        self.store.write(StorePurpose::OwnRow, &write).await
    }
}
