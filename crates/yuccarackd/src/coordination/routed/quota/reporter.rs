//! Sends the reports of a ledger to its keeper, or of a keeper to the root.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use thiserror::Error;
use tokio::{
    sync::Notify,
    time::{error::Elapsed, sleep_until, timeout},
};
use yuccarack_config::ids::InstanceId;
use yuccarack_policy::quota::{QuotaLease, QuotaReport};

use super::Quotas;
use crate::{
    coordination::routed::log_lines::QuotaKeeperChanged,
    protocol::quota::{QuotaMessageError, decode_lease, encode_report},
    transport::{connection::SendError, upstream::Freshness},
};

/// Longest wait for the response to a report. A starved daemon answers within some 100 ms.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause without a known keeper, until the members are known.
const NO_KEEPER_PAUSE: Duration = Duration::from_millis(100);

/// Time after which a daemon that reports to another than the first in the order asks whether the
/// first one is back.
const RETURN_AFTER: Duration = Duration::from_secs(30);

/// Why a report had no response of use.
#[derive(Debug, Error)]
enum ReportError {
    #[error(transparent)]
    Send(#[from] SendError),
    #[error("no response in time")]
    Timeout(#[from] Elapsed),
    #[error(transparent)]
    Message(#[from] QuotaMessageError),
    #[error("the keeper lost its state")]
    NotGranted,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Level {
    Ledger,
    Keeper,
}

/// Sends the reports of one level.
pub(super) struct Reporter<'a> {
    quotas: &'a Quotas,
    level: Level,
    /// Place of the keeper in the order.
    rank: usize,
    /// When the first daemon in the order was last compared with the one that grants.
    checked_at: Instant,
    /// Keeper that granted the last lease.
    granted_by: Option<InstanceId>,
}

impl<'a> Reporter<'a> {
    pub fn of_ledger(quotas: &'a Quotas) -> Self {
        Self::new(quotas, Level::Ledger)
    }

    pub fn of_keeper(quotas: &'a Quotas) -> Self {
        Self::new(quotas, Level::Keeper)
    }

    fn new(quotas: &'a Quotas, level: Level) -> Self {
        Self { quotas, level, rank: 0, checked_at: Instant::now(), granted_by: None }
    }

    /// Sends reports as they fall due. Sleeps until it is woken while none is due.
    pub async fn run(mut self) {
        loop {
            self.wait_until_due().await;
            match self.keeper() {
                Some((keeper, address)) => self.report(keeper, address).await,
                None => tokio::time::sleep(NO_KEEPER_PAUSE).await,
            }
        }
    }

    fn wake(&self) -> &Notify {
        match self.level {
            Level::Ledger => &self.quotas.inner.ledger_wake,
            Level::Keeper => &self.quotas.inner.keeper_wake,
        }
    }

    fn due_at(&self, now: Instant) -> Option<Instant> {
        let inner = &self.quotas.inner;
        match self.level {
            Level::Ledger => {
                let due_at = inner.ledger.lock().report_due_at(now);
                inner.limits.lock().planned_at = due_at;
                due_at
            }
            Level::Keeper => inner.keeper.lock().report_due_at(now),
        }
    }

    async fn wait_until_due(&self) {
        loop {
            let now = Instant::now();
            match self.due_at(now) {
                Some(due_at) if due_at <= now => return,
                Some(due_at) => tokio::select! {
                    () = sleep_until(due_at.into()) => {}
                    () = self.wake().notified() => {}
                },
                None => self.wake().notified().await,
            }
        }
    }

    /// Returns the keeper to report to, and its gate address. A keeper stays while it grants, as each
    /// change of it leaves the daemon without a lease for some seconds.
    fn keeper(&self) -> Option<(InstanceId, SocketAddr)> {
        let instance = self.in_order(|order| {
            let granted_by = self.granted_by.as_ref().filter(|keeper| order.contains(keeper));
            granted_by.or_else(|| order.get(self.rank % order.len().max(1))).cloned()
        })?;
        self.with_address(instance)
    }

    /// Returns the first daemon in the order, unless that grants already.
    fn preferred_keeper(&self) -> Option<(InstanceId, SocketAddr)> {
        let first = self.in_order(|order| order.first().cloned())?;
        self.with_address(first).filter(|(first, _)| Some(first) != self.granted_by.as_ref())
    }

    fn in_order<T>(&self, choose: impl FnOnce(&[InstanceId]) -> T) -> T {
        let limits = self.quotas.inner.limits.lock();
        choose(match self.level {
            Level::Ledger => &limits.keepers,
            Level::Keeper => &limits.roots,
        })
    }

    fn with_address(&self, instance: InstanceId) -> Option<(InstanceId, SocketAddr)> {
        let (_, member) = self.quotas.inner.parts.members.row(&instance);
        member.map(|member| (instance, member.gate_address))
    }

    async fn report(&mut self, keeper: InstanceId, address: SocketAddr) {
        if self.level == Level::Ledger {
            self.quotas.apply_changed_bounds();
        }
        if self.has_returned().await {
            // The next report waits until no lease relies on this daemon's share.
            return;
        }
        let sent_at = Instant::now();
        let report = self.take_report(sent_at);
        self.quotas.inner.parts.counters.add("quota.reports");
        match self.exchange(&keeper, address, &report).await {
            Ok(lease) if self.apply(sent_at, &lease) => self.record_keeper(Some(keeper), None),
            Ok(_) => self.next_keeper(&ReportError::NotGranted),
            Err(error) => {
                self.quotas.inner.parts.counters.add("quota.reports_failed");
                if self.record_failure() {
                    self.next_keeper(&error);
                }
            }
        }
    }

    fn take_report(&self, now: Instant) -> QuotaReport {
        let inner = &self.quotas.inner;
        match self.level {
            Level::Ledger => inner.ledger.lock().take_report(now),
            Level::Keeper => inner.keeper.lock().take_report(now),
        }
    }

    fn apply(&self, sent_at: Instant, lease: &QuotaLease) -> bool {
        let inner = &self.quotas.inner;
        match self.level {
            Level::Ledger => inner.ledger.lock().apply_lease(Instant::now(), sent_at, lease),
            Level::Keeper => inner.keeper.lock().apply_lease(sent_at, lease),
        }
    }

    fn record_failure(&self) -> bool {
        let inner = &self.quotas.inner;
        match self.level {
            Level::Ledger => inner.ledger.lock().record_failure(),
            Level::Keeper => inner.keeper.lock().record_failure(),
        }
    }

    fn next_keeper(&mut self, cause: &ReportError) {
        // The same daemon is asked again if only its process has changed.
        if !matches!(cause, ReportError::NotGranted) {
            self.rank += 1;
        }
        self.record_keeper(None, Some(cause.to_string()));
    }

    /// Goes back to the first daemon in the order once that responds, so that all daemons of a failure
    /// domain have the same keeper again after a failure. Returns whether it gave up its keeper.
    async fn has_returned(&mut self) -> bool {
        if self.granted_by.is_none() || self.checked_at.elapsed() < RETURN_AFTER {
            return false;
        }
        self.checked_at = Instant::now();
        let Some((first, address)) = self.preferred_keeper() else { return false };
        // A report with the session of another keeper is answered without any effect.
        let query = QuotaReport {
            is_for_root: self.level == Level::Keeper,
            reporter: self.quotas.inner.instance.clone(),
            session: u64::MAX,
            lease: 0,
            exceeded: Vec::new(),
            daemons: 0,
            interval_ms: 0,
            uses: Vec::new(),
        };
        if self.exchange(&first, address, &query).await.is_err() {
            return false;
        }
        let inner = &self.quotas.inner;
        match self.level {
            Level::Ledger => inner.ledger.lock().leave_keeper(),
            Level::Keeper => inner.keeper.lock().leave_root(),
        }
        self.rank = 0;
        self.record_keeper(None, None);
        true
    }

    async fn exchange(
        &self,
        keeper: &InstanceId,
        address: SocketAddr,
        report: &QuotaReport,
    ) -> Result<QuotaLease, ReportError> {
        if *keeper == self.quotas.inner.instance {
            return Ok(self.quotas.grant(report));
        }
        let request = encode_report(report)?;
        let upstream = &self.quotas.inner.parts.upstream;
        let exchanged = async {
            let response = upstream.send(address, request, Freshness::Pooled).await?;
            Ok::<_, ReportError>(decode_lease(response).await?)
        };
        timeout(RESPONSE_TIMEOUT, exchanged).await?
    }

    fn record_keeper(&mut self, keeper: Option<InstanceId>, cause: Option<String>) {
        if self.granted_by == keeper {
            return;
        }
        self.checked_at = Instant::now();
        let previous = std::mem::replace(&mut self.granted_by, keeper.clone());
        self.quotas.inner.parts.events.write(|| QuotaKeeperChanged {
            is_root: self.level == Level::Keeper,
            keeper,
            previous,
            cause,
        });
    }
}
