//! Ends the rows of members that died without a word.

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

/// Time between two rounds of pings to silent members.
const ROUND_INTERVAL: Duration = Duration::from_secs(2);
/// Silent members that are pinged in one round.
const PINGS_MAX: usize = 4;
/// Silence after which a member may be taken for dead.
const SILENCE_MIN: Duration = Duration::from_secs(10);
/// Unanswered questions after which a member may be taken for dead.
const FAILURES_MIN: u32 = 4;
/// Members that are asked whether they reach one that is silent.
const WITNESSES: usize = 3;
/// Silence after which a member counts as dead without a witness.
///
/// Regions lose each other for minutes; what is gone for longer is lost, or finds its way back by
/// a higher incarnation.
const SILENCE_WITHOUT_WITNESS: Duration = Duration::from_secs(600);

/// What is thought of a silent member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Judgement {
    /// Somebody reaches it.
    Alive,
    /// Somebody near it doesn't reach it either.
    Dead,
    /// Nobody near it could be asked.
    Unclear,
}

/// Ends the rows of dead members of the own service.
pub struct Removal {
    /// Settings of the daemon.
    pub settings: Arc<DaemonSettings>,
    /// What is known.
    pub directory: Directory,
    /// Asks other daemons.
    pub gossip: Gossip,
    /// Who answers.
    pub reachability: Reachability,
    /// Where the rows are.
    pub table: Table,
    /// Counters.
    pub counters: Counters,
    /// Where changes of state are logged.
    pub logger: Logger,
    /// Told when a row was ended.
    pub changed: Arc<Notify>,
}

impl Removal {
    /// Pings silent members and ends the rows of the dead until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                () = sleep(jittered(ROUND_INTERVAL)) => self.round().await,
            }
        }
    }

    async fn round(&self) {
        let own = self.directory.own_service();
        let Some(view) = own.and_then(|service| self.directory.peek(&service)) else { return };
        self.forget_unknown();
        let silent = self.silent(&view);
        join_all(silent.iter().take(PINGS_MAX).map(|member| self.gossip.ping(member))).await;
        // One a round bounds what a daemon that is itself cut off can do.
        let now = Instant::now();
        let is_due = |member: &&MemberRow| {
            self.reachability.is_silent_for(&member.instance, SILENCE_MIN, FAILURES_MIN, now)
        };
        if let Some(member) = silent.iter().find(is_due) {
            self.judge_and_end(&view, member).await;
        }
    }

    fn forget_unknown(&self) {
        let views = self.directory.views();
        let is_known = |instance: &str| {
            views.iter().any(|view| view.members.iter().any(|row| row.instance == instance))
        };
        self.reachability.retain(is_known);
    }

    /// Members that don't answer, in random order.
    fn silent(&self, view: &ServiceView) -> Vec<MemberRow> {
        let is_silent = |row: &&MemberRow| {
            row.instance != self.settings.instance && !self.reachability.is_reachable(&row.instance)
        };
        let silent: Vec<&MemberRow> = view.members.iter().filter(is_silent).collect();
        let shuffled = silent.choose_multiple(&mut generator(), silent.len());
        shuffled.map(|row| MemberRow::clone(row)).collect()
    }

    async fn judge_and_end(&self, view: &ServiceView, member: &MemberRow) {
        let judgement = self.judge(view, member).await;
        self.counters.add_reason("removal", judgement.name());
        let is_dead = match judgement {
            Judgement::Alive => false,
            Judgement::Dead => true,
            Judgement::Unclear => self.reachability.is_silent_for(
                &member.instance,
                SILENCE_WITHOUT_WITNESS,
                FAILURES_MIN,
                Instant::now(),
            ),
        };
        if !is_dead {
            return;
        }
        match self.end(member).await {
            Ok(true) => info!(self.logger, "ended the row of a dead member";
                "service" => &member.service, "instance" => &member.instance,
                "incarnation" => member.incarnation),
            Ok(false) => {}
            // The next round tries again, or another member does.
            Err(_) => self.counters.add("removal.failed"),
        }
    }

    /// Asks others whether they reach `member`, those of its own failure domain first.
    ///
    /// Guards against two mistakes of a daemon that is cut off, which shows only as silence of
    /// others: taking a whole failure domain for dead, and taking all others for dead. A witness
    /// near the silent one sees whether it lives; where none answers, nothing is concluded for as
    /// long as regions usually lose each other.
    async fn judge(&self, view: &ServiceView, member: &MemberRow) -> Judgement {
        let witnesses = self.witnesses(view, member);
        let has_near = witnesses.iter().any(|row| row.failure_domain == member.failure_domain);
        let has_others_near = view.members.iter().any(|row| {
            row.failure_domain == member.failure_domain && row.instance != member.instance
        });
        let is_same_domain = self.settings.failure_domain == member.failure_domain;
        if has_others_near && !has_near && !is_same_domain {
            return Judgement::Unclear;
        }
        let question = ControlRequest::Probe { instance: member.instance.clone() };
        let asked = witnesses.iter().map(|row| self.gossip.ask_member(row, &question));
        let mut judgement = Judgement::Unclear;
        for answer in join_all(asked).await {
            match answer {
                Ok(ControlResponse::Probed { is_reachable: true }) => return Judgement::Alive,
                Ok(ControlResponse::Probed { is_reachable: false }) => judgement = Judgement::Dead,
                Ok(_) | Err(_) => {}
            }
        }
        judgement
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
        chosen.into_iter().take(WITNESSES).cloned().collect()
    }

    /// Writes that `member` has gone, if its row is still the one that was judged; says whether
    /// it was.
    async fn end(&self, member: &MemberRow) -> Result<bool, TableError> {
        let stands = self.table.member(&member.service, &member.instance).await?;
        let gone = MemberRow { state: TargetState::Gone, ..member.clone() };
        let Some((revision, row)) = stands else {
            // Its row was taken away long ago, and somebody who had been cut off since told of it
            // again. Just forgotten here, it would be told of by the next one that knows it; as
            // gone it is remembered, and word of its end goes round.
            self.directory.merge_members(&member.service, vec![gone]);
            self.changed.notify_one();
            return Ok(false);
        };
        if row.state == TargetState::Gone || is_newer(&row, member) {
            self.directory.merge_members(&member.service, vec![row]);
            return Ok(false);
        }
        self.table.put_member(&gone, Some(revision)).await?;
        self.counters.add("removal.ended");
        self.directory.merge_members(&member.service, vec![gone]);
        self.changed.notify_one();
        Ok(true)
    }
}

impl Judgement {
    fn name(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Dead => "dead",
            Self::Unclear => "unclear",
        }
    }
}
