//! Keeps the row of this instance in the members' table true.

use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use yuccarack_config::{
    heartbeat::{TargetId, TargetIncarnation},
    ids::{InstanceId, Revision, ServiceName},
    wire_data,
};
use yuccarack_platform::feed::{FeedError, FeedWrite};

use super::{
    events::EventLog,
    log_lines::{
        LeavingNotRead, LeavingNotStored, LeavingStored, MemberRowDeleted, MemberRowNotDeleted,
        RowDeleted, RowNotDeleted, RowNotWritten, RowWritten,
    },
    store_client::StoreClient,
    store_follower::MEMBERS_TABLE,
};
use crate::{
    coordination::jitter::{generator, jittered},
    protocol::peer_news::RoutedMember,
    state::routed::{
        members::Members,
        target::{Departed, RoutedTarget},
    },
};

/// First wait after a write that failed.
const RETRY_FIRST: Duration = Duration::from_millis(100);

/// Longest such wait; a target that joined has to be known 4 s later.
const RETRY_MAX: Duration = Duration::from_millis(800);

/// Table of targets that said that they leave, a row for each instance. Nobody follows it, so a row
/// costs one write, and one question at each start of a daemon.
const LEAVING_TABLE: &str = "leaving";

/// Longest wait for that row at a start; a target sends its next heartbeat 1.5 s later.
const SETTLE_MAX: Duration = Duration::from_millis(1_200);

/// Time over which the first rows of a fleet are spread; one part of the store takes some 150
/// transactions a second and refuses those that would wait for more than a second.
const FIRST_WRITE_SPREAD: Duration = Duration::from_secs(1);

wire_data! {
    /// A target that said that it leaves.
    struct LeavingRow {
        /// Its name.
        target: TargetId,
        /// Its process.
        last_life: TargetIncarnation,
    }
}

/// Writes the row of one instance.
#[derive(Clone)]
pub struct RowPublisher {
    /// The store.
    pub store: StoreClient,
    /// The row without its service.
    pub member: RoutedMember,
    /// The target.
    pub target: RoutedTarget,
    /// All members, this one among them.
    pub members: Members,
    /// Log lines.
    pub events: EventLog,
    /// Service of the target by the settings, if the whole fleet starts for the first time.
    pub initial_service: Option<ServiceName>,
}

impl RowPublisher {
    /// Writes at each change of what the target serves, until `stop`.
    ///
    /// A write names the revision that it replaces: one whose answer was lost may take effect
    /// seconds later, and must not put an older row over a newer one.
    pub async fn run(mut self, stop: CancellationToken) {
        let (mut changes, mut row_changes) = (self.target.subscribe(), self.members.subscribe());
        tokio::select! {
            () = stop.cancelled() => return,
            () = self.start() => {}
        }
        tokio::select! {
            () = stop.cancelled() => return,
            () = self.members.wait_read() => {}
        }
        let mut kept: Option<Departed> = None;
        loop {
            // Without a target the row stays as it is: it says whom to ask, and the gate refuses.
            let target = changes.borrow_and_update().clone();
            row_changes.borrow_and_update();
            if let Some(target) = target {
                self.member.service = Some(target.service.clone());
                let (seen_at, stands) = self.members.row(&self.member.instance);
                let others =
                    self.members.others_at(self.member.gate_address, &self.member.instance);
                let is_latest = others.iter().all(|(_, revision)| *revision < seen_at);
                if !is_latest || stands.is_none_or(|stands| *stands != self.member) {
                    tokio::select! {
                        () = stop.cancelled() => return,
                        () = self.write(seen_at) => {}
                    }
                }
                tokio::select! {
                    () = stop.cancelled() => return,
                    () = self.end_others(others) => {}
                }
            }
            let departed = self.target.departed();
            // A target that stays after all, the same process, takes its word back.
            let is_taken_back =
                departed.is_none() && kept.is_some() && self.target.current().is_some();
            if is_taken_back || (departed.is_some() && departed != kept) {
                tokio::select! {
                    () = stop.cancelled() => return,
                    () = self.keep(departed.as_ref()) => kept = departed,
                }
            }
            tokio::select! {
                () = stop.cancelled() => return,
                changed = changes.changed() => if changed.is_err() { return },
                // Others may have ended the row while this instance could not be reached.
                changed = row_changes.changed() => if changed.is_err() { return },
            }
        }
    }

    /// Settles what an earlier process of this daemon was told.
    async fn start(&mut self) {
        if let Some(service) = self.initial_service.take()
            && self.create(service).await
        {
            self.target.settle(None);
            return;
        }
        self.settle().await;
    }

    /// Writes the first row of this instance, if no target of it ever left; false if it is not written.
    ///
    /// The row and the proof that there was no earlier process take one question in place of two, which
    /// all daemons of a new fleet ask in the same second.
    async fn create(&mut self, service: ServiceName) -> bool {
        sleep(FIRST_WRITE_SPREAD.mul_f64(generator().random())).await;
        let member = RoutedMember { service: Some(service), ..self.member.clone() };
        let write = self.row_write(&member, 0, Some(LEAVING_TABLE));
        let written = async { self.store.write(&write?).await };
        match timeout(SETTLE_MAX, written).await {
            Ok(Ok(revision)) => {
                let service = member.service.clone();
                self.events.write(|| RowWritten { service, revision });
                self.members.merge(&self.member.instance, revision, Some(member));
                true
            }
            Ok(Err(error)) => {
                self.events.write(|| RowNotWritten { seen_at: 0, cause: error.to_string() });
                false
            }
            Err(_) => {
                let cause = "no answer in time".to_owned();
                self.events.write(|| RowNotWritten { seen_at: 0, cause });
                false
            }
        }
    }

    /// Reads what an earlier process of this daemon was told of the target.
    ///
    /// Failure: a target says that it leaves, its daemon restarts, and a heartbeat from before that
    /// word arrives late; the new process would send it work again. With the store away nothing
    /// more can be known, and the target's own word has to do.
    async fn settle(&self) {
        // The own row alone: the table grows with all instances that ever left.
        let row = self.store.row(LEAVING_TABLE, &self.member.instance);
        let row = match timeout(SETTLE_MAX, row).await {
            Ok(Ok(row)) => row,
            Ok(Err(error)) => {
                self.events.write(|| LeavingNotRead { cause: error.to_string() });
                None
            }
            Err(_) => {
                self.events.write(|| LeavingNotRead { cause: "no answer in time".to_owned() });
                None
            }
        };
        let row = row.and_then(|row| row.value);
        let row = row.and_then(|text| self.decode(&text));
        let departed = row.map(|row| Departed { target: row.target, last_life: row.last_life });
        self.target.settle(departed);
    }

    fn decode(&self, text: &[u8]) -> Option<LeavingRow> {
        match serde_json::from_slice(text) {
            Ok(row) => Some(row),
            Err(error) => {
                self.events.write(|| LeavingNotRead { cause: error.to_string() });
                None
            }
        }
    }

    /// Keeps the word of a target that leaves for a later process of this daemon; none takes it away.
    async fn keep(&self, departed: Option<&Departed>) {
        let row = departed.map(|departed| LeavingRow {
            target: departed.target.clone(),
            last_life: departed.last_life,
        });
        let value = match row.as_ref().map(serde_json::to_vec).transpose() {
            Ok(value) => value.map(Bytes::from),
            Err(error) => {
                self.events.write(|| LeavingNotStored { cause: error.to_string() });
                return;
            }
        };
        let mut expected_revision = 0;
        let mut retry = RETRY_FIRST;
        loop {
            let write = FeedWrite {
                table: LEAVING_TABLE,
                key: self.member.instance.clone(),
                expected_revision,
                value: value.clone(),
                absent_in: None,
            };
            match self.store.write(&write).await {
                Ok(revision) => {
                    self.events.write(|| LeavingStored {
                        target: row.as_ref().map(|row| row.target.clone()),
                        life: row.as_ref().map(|row| row.last_life),
                        revision,
                    });
                    return;
                }
                Err(FeedError::Conflict { current_revision })
                    if current_revision != expected_revision =>
                {
                    expected_revision = current_revision;
                }
                Err(error) => {
                    self.events.write(|| LeavingNotStored { cause: error.to_string() });
                    sleep(jittered(retry)).await;
                    retry = (retry * 2).min(RETRY_MAX);
                }
            }
        }
    }

    /// Takes away the rows of instances that had the address of this one before.
    async fn end_others(&self, others: Vec<(InstanceId, Revision)>) {
        for (member, expected_revision) in others {
            let write = FeedWrite {
                table: MEMBERS_TABLE,
                key: member.clone(),
                expected_revision,
                value: None,
                absent_in: None,
            };
            match self.store.write(&write).await {
                Ok(revision) => {
                    self.members.merge(&member, revision, None);
                    self.events.write(|| MemberRowDeleted { member, revision });
                }
                // All that know this instance's row pass over the other one; the next change ends it.
                Err(error) => {
                    let cause = error.to_string();
                    self.events.write(|| MemberRowNotDeleted { member, cause });
                }
            }
        }
    }

    /// Takes the row away if the target has left for good, so that nobody looks for it any more.
    ///
    /// Failure: the instance is taken out of service, its row stands, and each other daemon loses a
    /// request there, or a wait for a connection, before it knows.
    pub async fn withdraw(self) {
        if !self.target.is_leaving() {
            return;
        }
        let (expected_revision, stands) = self.members.row(&self.member.instance);
        if stands.is_none() {
            return;
        }
        let write = FeedWrite {
            table: MEMBERS_TABLE,
            key: self.member.instance.clone(),
            expected_revision,
            value: None,
            absent_in: None,
        };
        match self.store.write(&write).await {
            Ok(revision) => self.events.write(|| RowDeleted { revision }),
            // The process ends; others find out by its closed port.
            Err(error) => self.events.write(|| RowNotDeleted { cause: error.to_string() }),
        }
    }

    /// Writes until it is done.
    async fn write(&self, mut seen_at: Revision) {
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

    async fn write_once(&self, seen_at: Revision) -> Result<Revision, FeedError> {
        let write = self.row_write(&self.member, seen_at, None)?;
        self.store.write(&write).await
    }

    fn row_write(
        &self,
        member: &RoutedMember,
        expected_revision: Revision,
        absent_in: Option<&'static str>,
    ) -> Result<FeedWrite, FeedError> {
        let malformed = |error: serde_json::Error| FeedError::Malformed(error.to_string());
        let value = serde_json::to_vec(member).map_err(malformed)?;
        Ok(FeedWrite {
            table: MEMBERS_TABLE,
            key: member.instance.clone(),
            expected_revision,
            value: Some(value.into()),
            absent_in,
        })
    }
}
