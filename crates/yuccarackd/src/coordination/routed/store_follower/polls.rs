//! The open polls of one table, which follow each other without a gap.

use std::{future::Future, pin::Pin, time::Instant};

use tokio::{sync::watch, time::sleep_until};
use yuccarack_platform::feed::FeedError;
use yuccarack_policy::change_polls::PollSchedule;

use super::{
    FEED_WAIT_UNCONFIRMED, PollResult, PollScope, StoreFollower, first_wait, poll_slots::poll_slot,
};
use crate::state::routed::update_source::{FollowedTable, UpdateSource};

type PollFuture<'a> = Pin<Box<dyn Future<Output = Result<PollResult, FeedError>> + Send + 'a>>;

/// The polls of one table that the store has not responded to yet.
pub(super) struct OpenPolls<'a> {
    follower: &'a StoreFollower,
    table: FollowedTable,
    schedule: PollSchedule,
    current: Option<PollFuture<'a>>,
    /// The poll after the current one, whose response shows that the store got it.
    following: Option<PollFuture<'a>>,
    warnings: watch::Receiver<u64>,
}

impl<'a> OpenPolls<'a> {
    /// Starts without an open poll.
    pub(super) fn new(follower: &'a StoreFollower, table: FollowedTable) -> Self {
        let warnings = follower.sync_state.store_warnings().subscribe();
        let schedule = PollSchedule::new(first_wait(table));
        Self { follower, table, schedule, current: None, following: None, warnings }
    }

    /// Gives up all polls.
    pub(super) fn cancel(&mut self) {
        self.schedule.cancel();
        (self.current, self.following) = (None, None);
    }

    /// Returns the next result of a poll; polls are sent as needed, and stay open if this future is
    /// dropped. Only a response without changes leaves a poll open.
    pub(super) async fn next_result(&mut self, scope: PollScope) -> Result<PollResult, FeedError> {
        let result = self.wait_result(scope).await;
        match &result {
            Ok(PollResult::Synced { has_changes: false }) => {}
            Ok(_) | Err(FeedError::HistoryLost) => self.cancel(),
            Err(_) => {
                self.cancel();
                self.schedule.record_failure(Instant::now());
            }
        }
        result
    }

    async fn wait_result(&mut self, scope: PollScope) -> Result<PollResult, FeedError> {
        let sync_state = &self.follower.sync_state;
        let is_synced = sync_state.synced_up_to(self.table).is_some();
        if scope == PollScope::FullTable || !is_synced {
            return self.follower.poll(self.table, scope, FEED_WAIT_UNCONFIRMED).await;
        }
        loop {
            if sync_state.source() != UpdateSource::Store {
                self.cancel();
                return self.follower.poll(self.table, scope, FEED_WAIT_UNCONFIRMED).await;
            }
            if self.current.is_none() {
                self.start();
            }
            tokio::select! {
                result = wait_response(&mut self.current) => {
                    let is_replaced = self.schedule.record_unchanged(Instant::now());
                    self.current = self.following.take().filter(|_| is_replaced);
                    return result;
                }
                result = wait_response(&mut self.following) => {
                    self.cancel();
                    return result;
                }
                // The store doesn't respond to the other table's polls, so these may be lost too.
                () = sync_state.wait_source(UpdateSource::None) => {}
                () = wait_until(self.schedule.renew_at()) => self.renew(),
                () = wait_until(self.schedule.late_at()) => {
                    self.schedule.record_late();
                    sync_state.store_warnings().raise();
                }
                // The sender lives as long as the follower.
                _ = self.warnings.changed() => {
                    if self.schedule.record_warning(Instant::now()) {
                        self.cancel();
                    }
                }
            }
        }
    }

    fn start(&mut self) {
        let (now, slot) = (Instant::now(), poll_slot(self.follower, self.table));
        let due_at = self.schedule.start(now, slot, self.follower.store.time());
        self.current = Some(self.send(due_at));
    }

    fn renew(&mut self) {
        let (now, slot) = (Instant::now(), poll_slot(self.follower, self.table));
        let due_at = self.schedule.renew(now, slot, self.follower.store.time());
        self.following = Some(self.send(due_at));
    }

    fn send(&self, due_at: Instant) -> PollFuture<'a> {
        let wait = due_at.saturating_duration_since(Instant::now());
        Box::pin(self.follower.poll(self.table, PollScope::Changes, wait))
    }
}

async fn wait_response(poll: &mut Option<PollFuture<'_>>) -> Result<PollResult, FeedError> {
    match poll {
        Some(poll) => poll.await,
        None => std::future::pending().await,
    }
}

async fn wait_until(instant: Option<Instant>) {
    match instant {
        Some(instant) => sleep_until(instant.into()).await,
        None => std::future::pending().await,
    }
}
