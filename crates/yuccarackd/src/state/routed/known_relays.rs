//! Relays by which a daemon that starts loads the members.

use std::sync::Arc;

use tokio::sync::watch;

use crate::protocol::relay_list::RelayList;

/// The relays that were found at the start; clones share them.
#[derive(Clone, Debug, Default)]
pub struct KnownRelays {
    state: Arc<watch::Sender<State>>,
}

#[derive(Clone, Debug, Default)]
enum State {
    #[default]
    Unknown,
    Found(RelayList),
    /// None of the relays that were found sent the members.
    Failed,
}

impl KnownRelays {
    /// Starts without relays.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the relays that were found.
    pub fn set(&self, list: RelayList) {
        self.state.send_replace(State::Found(list));
    }

    /// Notes that none of the relays sent the members.
    pub fn mark_failed(&self) {
        self.state.send_replace(State::Failed);
    }

    /// Returns the relays, unless none were found or all failed.
    pub fn get(&self) -> Option<RelayList> {
        match &*self.state.borrow() {
            State::Found(list) => Some(list.clone()),
            State::Unknown | State::Failed => None,
        }
    }

    /// Returns whether relays were found, whether or not they failed.
    pub fn is_known(&self) -> bool {
        !matches!(*self.state.borrow(), State::Unknown)
    }

    /// Waits until relays are found, and returns them.
    pub async fn wait_found(&self) -> RelayList {
        let mut changes = self.state.subscribe();
        loop {
            if let State::Found(list) = &*changes.borrow_and_update() {
                return list.clone();
            }
            if changes.changed().await.is_err() {
                // The sender lives as long as `self`, so this can't happen.
                return RelayList::default();
            }
        }
    }

    /// Waits until all relays that were found have failed.
    pub async fn wait_failed(&self) {
        // The sender lives as long as `self`, so this can't fail.
        let is_failed = |state: &State| matches!(state, State::Failed);
        let _ = self.state.subscribe().wait_for(is_failed).await;
    }
}
