//! Deletes the rows of instances that were lost without leaving.

use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::time::{Instant, sleep};
use yuccarack_config::ids::{DomainName, InstanceId};
use yuccarack_platform::feed::FeedWrite;
use yuccarack_policy::unreachable_members::UnreachableMembers;

use super::{
    events::EventLog,
    log_lines::{MemberRowDeleted, MemberRowNotDeleted},
    store_client::{StoreClient, StorePurpose},
    store_follower::MEMBERS_TABLE,
};
use crate::{
    coordination::jitter::jittered,
    state::routed::{members::Members, update_source::SyncState},
    transport::tcp_probe::is_listening,
};

/// Probes within the time after which an instance counts as removed.
const PROBES_BEFORE_REMOVAL: u32 = 10;

/// Daemons of other failure domains that are probed too, to detect that the own one is cut off.
const REMOTE_PROBES: usize = 2;

/// Longest wait for a connection to a gate; a round trip takes 3 ms at most.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Probes the instances of the own failure domain. Daemons that receive updates from relays leave
/// it to those.
pub struct Sweeper {
    /// This instance.
    pub instance: InstanceId,
    /// Failure domain of this instance.
    pub failure_domain: DomainName,
    /// Time after which an unreachable instance counts as removed.
    pub remove_after: Duration,
    /// Client of the store.
    pub store: StoreClient,
    /// Members known to this daemon.
    pub members: Members,
    /// Source of this daemon's updates, which shows whether it queries the store.
    pub sync_state: SyncState,
    /// Log for deleted rows.
    pub events: EventLog,
}

impl Sweeper {
    /// Runs until it is dropped.
    pub async fn run(self) {
        let mut absences = UnreachableMembers::new(self.remove_after);
        loop {
            sleep(jittered(self.remove_after / PROBES_BEFORE_REMOVAL)).await;
            if !self.sync_state.queries_store() {
                absences = UnreachableMembers::new(self.remove_after);
                continue;
            }
            let probes = self.probe_members().await;
            for absent in absences.record_probes(Instant::now().into(), &probes) {
                self.delete_row(&absent).await;
            }
        }
    }

    async fn probe_members(&self) -> Vec<(InstanceId, bool)> {
        let members = self.members.all();
        let (local, remote): (Vec<_>, Vec<_>) =
            members.iter().partition(|member| member.failure_domain == self.failure_domain);
        let remote =
            remote.choose_multiple(&mut rand::rng(), REMOTE_PROBES).copied().collect::<Vec<_>>();
        let mut probes = Vec::new();
        for member in local.into_iter().filter(|member| member.instance != self.instance) {
            probes.push((
                member.instance.clone(),
                is_listening(member.gate_address, CONNECT_TIMEOUT).await,
            ));
        }
        for member in remote {
            // Instances of other failure domains are removed by their own relays, so they never
            // count as unreachable.
            if is_listening(member.gate_address, CONNECT_TIMEOUT).await {
                probes.push((member.instance.clone(), true));
            }
        }
        probes
    }

    /// Deletes the row of `member`, unless it was written again.
    ///
    /// A daemon that is alive after all, behind a link that is cut one way, writes its row again.
    async fn delete_row(&self, member: &str) {
        let (expected_revision, _) = self.members.row(member);
        let write = FeedWrite {
            table: MEMBERS_TABLE,
            key: member.to_owned(),
            expected_revision,
            value: None,
            absent_in: None,
        };
        let member = member.to_owned();
        match self.store.write(StorePurpose::RowDeletion, &write).await {
            Ok(revision) => {
                self.members.merge(&member, revision, None);
                self.events.write(|| MemberRowDeleted { member, revision });
            }
            // Retried after the next round of probes, unless another relay has deleted the row by
            // then.
            Err(error) => {
                let cause = error.to_string();
                self.events.write(|| MemberRowNotDeleted { member, cause });
            }
        }
    }
}
