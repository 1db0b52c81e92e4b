//! Membership: keeps the row of the own target up to date in the table and in the directory.

use std::{
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use parking_lot::Mutex;
use slog::{Logger, info};
use tokio::{
    sync::{Notify, watch},
    time::{interval, sleep, timeout},
};
use tokio_util::sync::CancellationToken;
use yuccarack_config::{ids::Incarnation, settings::DaemonSettings};
use yuccarack_platform::rows::{MemberRow, TargetState};

use crate::{
    coordination::{
        gossip::Gossip,
        jitter::jittered,
        table::{Table, TableError},
    },
    state::{
        counters::Counters,
        directory::Directory,
        is_newer,
        own_target::{OwnTarget, TargetView},
    },
};

/// Time between two checks whether the target still announces itself.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time between two increases of the incarnation, each of which lets the own row override
/// a newer row of this instance from elsewhere.
const OUTRANK_INTERVAL_MIN: Duration = Duration::from_secs(2);
/// First delay before a failed write is retried.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(250);
/// Longest delay before a failed write is retried, hence also the time after which writers notice
/// that the store is available again.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(5);
/// Longest time for which a stopping daemon tries to mark its row in the table as gone.
const GONE_WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Dependencies of a [`Membership`].
pub struct MembershipDependencies {
    /// Settings of the daemon.
    pub settings: Arc<DaemonSettings>,
    /// State of the own target.
    pub own_target: OwnTarget,
    /// Directory to which changes of the own row are published at once.
    pub directory: Directory,
    /// Table to which the own row is written in the background.
    pub table: Table,
    /// Sends the last row to peers when the daemon stops.
    pub gossip: Gossip,
    /// Counters of the daemon.
    pub counters: Counters,
    /// Logger of state changes.
    pub logger: Logger,
}

/// The rows of this instance as they should be in the table.
struct OwnRows {
    /// Row of the service that the target serves.
    row: Option<MemberRow>,
    /// Rows of services that the target no longer serves, which aren't marked as gone in the table
    /// yet.
    gone_rows: Vec<MemberRow>,
    incarnation: Incarnation,
    outranked_at: Option<Instant>,
}

/// Keeps the own row up to date.
pub struct Membership {
    deps: MembershipDependencies,
    draining: watch::Receiver<bool>,
    own: Mutex<OwnRows>,
    /// Notified when the own row changed, so that it is written to the table.
    write_needed: Notify,
    /// Notified when the own row changed, so that peers get the update.
    own_service_changed: Arc<Notify>,
}

impl Membership {
    /// Creates a membership with the wall clock as the incarnation.
    ///
    /// The table may contain a higher incarnation, for example after the clock was set back. It is
    /// read before the first write and outranked then. The clock is sufficient while the store is
    /// unavailable at start, so that a daemon can join through its peers alone.
    pub fn new(
        deps: MembershipDependencies,
        draining: watch::Receiver<bool>,
        own_service_changed: Arc<Notify>,
    ) -> Self {
        let own = OwnRows {
            row: None,
            gone_rows: Vec::new(),
            incarnation: unix_ms(),
            outranked_at: None,
        };
        Self {
            deps,
            draining,
            own: Mutex::new(own),
            write_needed: Notify::new(),
            own_service_changed,
        }
    }

    /// Keeps the own row up to date until `stop`, then marks it as gone.
    pub async fn run(self, stop: CancellationToken) {
        tokio::join!(self.run_updates(&stop), self.run_writer(&stop));
        self.announce_gone().await;
    }

    async fn run_updates(&self, stop: &CancellationToken) {
        let mut target = self.deps.own_target.subscribe();
        let mut draining = self.draining.clone();
        let mut directory = self.deps.directory.subscribe();
        let mut silence = interval(SILENCE_CHECK_INTERVAL);
        loop {
            self.update_row();
            tokio::select! {
                () = stop.cancelled() => return,
                _ = silence.tick() => {
                    self.check_silence();
                    self.outrank_known();
                }
                _ = target.changed() => {}
                _ = draining.changed() => {}
                _ = directory.changed() => self.outrank_known(),
            }
        }
    }

    fn check_silence(&self) {
        let timeout_ms = self.deps.settings.budgets.announce_timeout_ms;
        let timeout = Duration::from_millis(u64::from(timeout_ms));
        if !self.deps.own_target.check_silence(Instant::now(), timeout) {
            return;
        }
        self.deps.counters.add("announce.silent");
        info!(self.deps.logger, "target stopped announcing itself; it counts as draining");
    }

    /// Updates the own row from the target's last announcement.
    fn update_row(&self) {
        let Some(view) = self.deps.own_target.current() else { return };
        let mut own = self.own.lock();
        let mut row = self.build_row(&view, own.incarnation);
        match own.row.take_if(|own| own.service != row.service) {
            Some(old) => self.mark_gone(&mut own, old),
            None => row.sequence = own.row.as_ref().map_or(0, |own| own.sequence),
        }
        if own.row.as_ref() == Some(&row) {
            return;
        }
        row.sequence += 1;
        info!(self.deps.logger, "member row of this instance changed";
            "service" => &row.service, "state" => ?row.state, "slots" => row.slots,
            "incarnation" => row.incarnation, "sequence" => row.sequence);
        self.deps.directory.set_own_service(&row.service);
        self.publish(&mut own, row);
    }

    fn publish(&self, own: &mut OwnRows, row: MemberRow) {
        self.deps.directory.merge_members(&row.service, vec![row.clone()]);
        own.row = Some(row);
        self.write_needed.notify_one();
        self.own_service_changed.notify_one();
    }

    /// Marks the row of a service that the target no longer serves as gone.
    fn mark_gone(&self, own: &mut OwnRows, old: MemberRow) {
        let gone = as_gone(old);
        self.deps.directory.merge_members(&gone.service, vec![gone.clone()]);
        own.gone_rows.push(gone);
    }

    fn outrank_known(&self) {
        let mut own = self.own.lock();
        let Some(row) = &own.row else { return };
        let known = self.deps.directory.member_row(&row.service, &row.instance);
        if let Some(known) = known {
            self.outrank(&mut own, &known);
        }
    }

    /// Takes a higher incarnation if a row of this instance from elsewhere outranks the own row.
    ///
    /// A live target that peers considered dead, or whose earlier incarnation left a higher row,
    /// would otherwise be omitted for good, since its own updates count as older. A daemon that
    /// sees such a row of its own instance is alive, so it may outrank the row.
    ///
    /// Two daemons with the same instance id would outrank each other without end.
    /// [`OUTRANK_INTERVAL_MIN`] limits that to a few messages a second, and the counter shows it.
    fn outrank(&self, own: &mut OwnRows, known: &MemberRow) {
        let Some(row) = own.row.clone() else { return };
        if !is_newer(known, &row) {
            return;
        }
        let now = Instant::now();
        if own.outranked_at.is_some_and(|at| now.duration_since(at) < OUTRANK_INTERVAL_MIN) {
            return;
        }
        own.outranked_at = Some(now);
        self.deps.counters.add("membership.outranked");
        own.incarnation = own.incarnation.max(known.incarnation + 1);
        let row = MemberRow { incarnation: own.incarnation, ..row };
        self.publish(own, row);
    }

    async fn run_writer(&self, stop: &CancellationToken) {
        let mut retry_delay = RETRY_DELAY_MIN;
        loop {
            let wait = async {
                match self.write_all().await {
                    Ok(()) => {
                        retry_delay = RETRY_DELAY_MIN;
                        self.write_needed.notified().await;
                    }
                    Err(_) => {
                        self.deps.counters.add("membership.write_retries");
                        sleep(jittered(retry_delay)).await;
                        retry_delay = (retry_delay * 2).min(RETRY_DELAY_MAX);
                    }
                }
            };
            tokio::select! {
                () = stop.cancelled() => return,
                () = wait => {}
            }
        }
    }

    async fn write_all(&self) -> Result<(), TableError> {
        loop {
            let Some(gone) = self.own.lock().gone_rows.first().cloned() else { break };
            self.write(&gone).await?;
            self.own.lock().gone_rows.retain(|row| *row != gone);
        }
        let Some(row) = self.own.lock().row.clone() else { return Ok(()) };
        self.write(&row).await
    }

    /// Reads the row in the table and replaces it on condition that it is unchanged.
    ///
    /// After a lost response or a conflict with a peer's write, the next attempt reads the current
    /// row. So nothing is written twice, and no unseen row is overwritten.
    async fn write(&self, row: &MemberRow) -> Result<(), TableError> {
        let stored = self.deps.table.member(&row.service, &row.instance).await?;
        let Some((revision, known)) = stored else {
            self.deps.table.put_member(row, None).await?;
            return Ok(());
        };
        if known == *row {
            return Ok(());
        }
        if is_newer(&known, row) {
            // Publishing the row that outranks the known one notifies the writer again.
            self.deps.directory.merge_members(&row.service, vec![known]);
            self.outrank_known();
            return Ok(());
        }
        self.deps.table.put_member(row, Some(revision)).await?;
        Ok(())
    }

    async fn announce_gone(&self) {
        {
            let mut own = self.own.lock();
            let Some(row) = own.row.clone() else { return };
            self.publish(&mut own, as_gone(row));
        }
        self.deps.gossip.exchange_changes().await;
        // An unavailable store must not delay the stop: peers remove the row of a dead member.
        let _ = timeout(GONE_WRITE_TIMEOUT, async {
            while self.write_all().await.is_err() {
                sleep(jittered(RETRY_DELAY_MIN)).await;
            }
        })
        .await;
    }

    fn build_row(&self, view: &TargetView, incarnation: Incarnation) -> MemberRow {
        let settings = &self.deps.settings;
        let is_draining = *self.draining.borrow();
        MemberRow {
            instance: settings.instance.clone(),
            incarnation,
            sequence: 0,
            service: view.announcement.service.clone(),
            failure_domain: settings.failure_domain.clone(),
            gate_address: settings.told_gate_address.unwrap_or(settings.gate_address),
            control_address: settings.told_control_address.unwrap_or(settings.control_address),
            admin_address: settings.admin_address,
            state: if is_draining { TargetState::Draining } else { view.state() },
            slots: view.announcement.slots,
        }
    }
}

fn as_gone(row: MemberRow) -> MemberRow {
    MemberRow { state: TargetState::Gone, sequence: row.sequence + 1, ..row }
}

/// Returns the wall-clock time in ms since 1970.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
