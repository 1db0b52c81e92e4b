//! Ends the rows of instances that were lost without a word.

use std::time::Duration;

use rand::seq::IndexedRandom;
use tokio::time::{Instant, sleep};
use yuccarack_config::ids::{DomainName, InstanceId};
use yuccarack_platform::feed::FeedWrite;
use yuccarack_policy::absences::Absences;

use super::{
    events::EventLog,
    log_lines::{MemberRowDeleted, MemberRowNotDeleted},
    store_client::StoreClient,
    store_follower::MEMBERS_TABLE,
};
use crate::{
    coordination::jitter::jittered,
    state::routed::{members::Members, news_source::News},
    transport::look::is_listening,
};

/// Looks within the time after which an instance counts as gone.
const LOOKS: u32 = 10;

/// Daemons of other failure domains that are looked at too, to tell a cut link of the own one.
const OTHERS: usize = 2;

/// Longest wait for a connection to a gate; a round trip takes 3 ms at most.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Looks at the instances of the own failure domain. Daemons that are told by relays leave it to those.
pub struct Sweeper {
    /// This instance.
    pub instance: InstanceId,
    /// Its failure domain.
    pub failure_domain: DomainName,
    /// Time out of reach after which an instance counts as gone.
    pub remove_after: Duration,
    /// The store.
    pub store: StoreClient,
    /// All members.
    pub members: Members,
    /// Whether this daemon asks the store.
    pub news: News,
    /// Log lines.
    pub events: EventLog,
}

impl Sweeper {
    /// Runs until it is dropped.
    pub async fn run(self) {
        let mut absences = Absences::new(self.remove_after);
        loop {
            sleep(jittered(self.remove_after / LOOKS)).await;
            if !self.news.asks_store() {
                absences = Absences::new(self.remove_after);
                continue;
            }
            let look = self.look().await;
            for gone in absences.looked(Instant::now().into(), &look) {
                self.end(&gone).await;
            }
        }
    }

    async fn look(&self) -> Vec<(InstanceId, bool)> {
        let members = self.members.all();
        let (near, far): (Vec<_>, Vec<_>) =
            members.iter().partition(|member| member.failure_domain == self.failure_domain);
        let far = far.choose_multiple(&mut rand::rng(), OTHERS).copied().collect::<Vec<_>>();
        let mut look = Vec::new();
        for member in near.into_iter().filter(|member| member.instance != self.instance) {
            look.push((
                member.instance.clone(),
                is_listening(member.gate_address, CONNECT_TIMEOUT).await,
            ));
        }
        for member in far {
            // Those of other domains are ended by their own relays, so they never count as away.
            if is_listening(member.gate_address, CONNECT_TIMEOUT).await {
                look.push((member.instance.clone(), true));
            }
        }
        look
    }

    /// Takes the row of `member` away, unless it was written anew.
    ///
    /// A daemon that lives after all, behind a link that is cut one way, writes its row again.
    async fn end(&self, member: &str) {
        let (expected_revision, _) = self.members.row(member);
        let write = FeedWrite {
            table: MEMBERS_TABLE,
            key: member.to_owned(),
            expected_revision,
            value: None,
            absent_in: None,
        };
        let member = member.to_owned();
        match self.store.write(&write).await {
            Ok(revision) => {
                self.members.merge(&member, revision, None);
                self.events.write(|| MemberRowDeleted { member, revision });
            }
            // The next look ends it, or another relay has.
            Err(error) => {
                let cause = error.to_string();
                self.events.write(|| MemberRowNotDeleted { member, cause });
            }
        }
    }
}
