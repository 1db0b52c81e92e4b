//! Removal of members that exited without announcing it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use rand::seq::IndexedRandom;
use slog::{Logger, info};
use tokio::{sync::Notify, time::sleep};
use tokio_util::sync::CancellationToken;
use yuccarack_config::settings::DaemonSettings;
use yuccarack_platform::rows::{MemberRow, TargetState};

use crate::{
    coordination::{
        gossip::Gossip,
        jitter::{generator, jittered},
        table::{Table, TableError},
    },
    protocol::control::{ControlRequest, ControlResponse},
    state::{
        counters::Counters,
        directory::{Directory, ServiceView},
        is_newer,
        reachability::Reachability,
    },
};

/// Time between two rounds of pings to unreachable members.
const ROUND_INTERVAL: Duration = Duration::from_secs(2);
/// Most unreachable members that are pinged in one round.
const PINGS_MAX: usize = 4;
/// Time without a response after which a member may be considered dead.
const UNREACHABLE_MIN: Duration = Duration::from_secs(10);
/// Failed requests after which a member may be considered dead.
const FAILURES_MIN: u32 = 4;
/// Most members that are asked whether they reach an unreachable one.
const WITNESSES_MAX: usize = 3;
/// Time without a response after which a member counts as dead without a witness.
///
/// Connections between regions fail for minutes at a time. A member that is unreachable for longer
/// is lost, or becomes a member again with a higher incarnation.
const UNREACHABLE_WITHOUT_WITNESS: Duration = Duration::from_secs(600);

/// Liveness of an unreachable member according to its witnesses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Liveness {
    /// A witness reaches it.
    Alive,
    /// At least one witness responded and none reaches it.
    Dead,
    /// No witness responded, or none in its failure domain could be asked.
    Unknown,
}

/// Marks the rows of dead members of the own service as gone.
pub struct MemberRemover {
    /// Settings of the daemon.
    pub settings: Arc<DaemonSettings>,
    /// Services and members that this daemon knows.
    pub directory: Directory,
    /// Sends pings and probes to other daemons.
    pub gossip: Gossip,
    /// Record of which members respond.
    pub reachability: Reachability,
    /// Table with the members' rows.
    pub table: Table,
    /// Counters of the daemon.
    pub counters: Counters,
    /// Logger of state changes.
    pub logger: Logger,
    /// Notified when a member was removed, so that peers get the update.
    pub own_service_changed: Arc<Notify>,
}

impl MemberRemover {
    /// Pings unreachable members and removes dead ones until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = sleep(jittered(ROUND_INTERVAL)) => self.run_round().await,
            }
        }
    }

    async fn run_round(&self) {
        let own = self.directory.own_service();
        let Some(view) = own.and_then(|service| self.directory.peek(&service)) else { return };
        self.prune_reachability();
        let unreachable = self.unreachable_members(&view);
        join_all(unreachable.iter().take(PINGS_MAX).map(|member| self.gossip.ping(member))).await;
        // At most one removal a round limits the damage of a daemon that is itself cut off.
        let now = Instant::now();
        let is_due = |member: &&MemberRow| {
            self.reachability.is_silent_for(&member.instance, UNREACHABLE_MIN, FAILURES_MIN, now)
        };
        if let Some(member) = unreachable.iter().find(is_due) {
            self.check_and_remove(&view, member).await;
        }
    }

    fn prune_reachability(&self) {
        let views = self.directory.views();
        let is_known = |instance: &str| {
            views.iter().any(|view| view.members.iter().any(|row| row.instance == instance))
        };
        self.reachability.retain(is_known);
    }

    /// Returns the members that don't respond, in random order.
    fn unreachable_members(&self, view: &ServiceView) -> Vec<MemberRow> {
        let is_unreachable = |row: &&MemberRow| {
            row.instance != self.settings.instance && !self.reachability.is_reachable(&row.instance)
        };
        let unreachable: Vec<&MemberRow> = view.members.iter().filter(is_unreachable).collect();
        let shuffled = unreachable.choose_multiple(&mut generator(), unreachable.len());
        shuffled.map(|row| MemberRow::clone(row)).collect()
    }

    async fn check_and_remove(&self, view: &ServiceView, member: &MemberRow) {
        let liveness = self.check_liveness(view, member).await;
        self.counters.add_reason("removal", liveness.name());
        let is_dead = match liveness {
            Liveness::Alive => false,
            Liveness::Dead => true,
            Liveness::Unknown => self.reachability.is_silent_for(
                &member.instance,
                UNREACHABLE_WITHOUT_WITNESS,
                FAILURES_MIN,
                Instant::now(),
            ),
        };
        if !is_dead {
            return;
        }
        match self.remove(member).await {
            Ok(true) => info!(self.logger, "marked the row of a dead member as gone";
                "service" => &member.service, "instance" => &member.instance,
                "incarnation" => member.incarnation),
            Ok(false) => {}
            // The next round retries, or another member removes the row.
            Err(_) => self.counters.add("removal.failed"),
        }
    }

    /// Asks other members whether they reach `member`, those of its failure domain first.
    ///
    /// To a daemon that is cut off all others seem unreachable. Without witnesses it would take a
    /// complete failure domain, or all other members, for dead. A witness in the failure domain of
    /// the unreachable member sees whether it is alive. If no witness responds, the member stays
    /// for as long as outages between regions usually last.
    async fn check_liveness(&self, view: &ServiceView, member: &MemberRow) -> Liveness {
        let witnesses = self.witnesses(view, member);
        let has_near = witnesses.iter().any(|row| row.failure_domain == member.failure_domain);
        let has_others_near = view.members.iter().any(|row| {
            row.failure_domain == member.failure_domain && row.instance != member.instance
        });
        let is_same_domain = self.settings.failure_domain == member.failure_domain;
        if has_others_near && !has_near && !is_same_domain {
            return Liveness::Unknown;
        }
        let request = ControlRequest::Probe { instance: member.instance.clone() };
        let requests = witnesses.iter().map(|row| self.gossip.send_to_member(row, &request));
        let mut liveness = Liveness::Unknown;
        for response in join_all(requests).await {
            match response {
                Ok(ControlResponse::Probed { is_reachable: true }) => return Liveness::Alive,
                Ok(ControlResponse::Probed { is_reachable: false }) => liveness = Liveness::Dead,
                Ok(_) | Err(_) => {}
            }
        }
        liveness
    }

    fn witnesses(&self, view: &ServiceView, member: &MemberRow) -> Vec<MemberRow> {
        let is_witness = |row: &&MemberRow| {
            row.instance != self.settings.instance
                && row.instance != member.instance
                && self.reachability.is_reachable(&row.instance)
        };
        let all: Vec<&MemberRow> = view.members.iter().filter(is_witness).collect();
        let mut chosen: Vec<&MemberRow> =
            all.choose_multiple(&mut generator(), all.len()).copied().collect();
        chosen.sort_by_key(|row| row.failure_domain != member.failure_domain);
        chosen.into_iter().take(WITNESSES_MAX).cloned().collect()
    }

    /// Marks the row of `member` as gone if it is still the one that was checked. Returns whether
    /// it was.
    async fn remove(&self, member: &MemberRow) -> Result<bool, TableError> {
        let stored = self.table.member(&member.service, &member.instance).await?;
        let gone = MemberRow { state: TargetState::Gone, ..member.clone() };
        let Some((revision, row)) = stored else {
            // The row was deleted long ago, and a daemon that was cut off in the meantime has
            // reported the member again. If it were only dropped here, the next daemon that knows
            // it would report it again. So it is remembered as gone, and the peers get that update.
            self.directory.merge_members(&member.service, vec![gone]);
            self.own_service_changed.notify_one();
            return Ok(false);
        };
        if row.state == TargetState::Gone || is_newer(&row, member) {
            self.directory.merge_members(&member.service, vec![row]);
            return Ok(false);
        }
        self.table.put_member(&gone, Some(revision)).await?;
        self.counters.add("removal.ended");
        self.directory.merge_members(&member.service, vec![gone]);
        self.own_service_changed.notify_one();
        Ok(true)
    }
}

impl Liveness {
    fn name(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Dead => "dead",
            Self::Unknown => "unclear",
        }
    }
}
