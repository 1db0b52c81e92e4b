//! The target beside this daemon, as it announced itself.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::sync::watch;
use yuccarack_platform::rows::TargetState;

use crate::protocol::announce::Announcement;

/// What is known of the target beside this daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetView {
    /// Its latest announcement.
    pub announcement: Announcement,
    /// Whether it stopped announcing itself.
    pub is_silent: bool,
}

impl TargetView {
    /// Where the target is in its life; silence counts as leaving.
    pub fn state(&self) -> TargetState {
        match (self.announcement.state, self.is_silent) {
            (TargetState::Gone, _) => TargetState::Gone,
            (_, true) => TargetState::Draining,
            (state, false) => state,
        }
    }
}

/// The target beside this daemon; clones share it.
#[derive(Clone)]
pub struct OwnTarget {
    view: Arc<watch::Sender<Option<Arc<TargetView>>>>,
    announced_at: Arc<Mutex<Option<Instant>>>,
}

impl OwnTarget {
    /// Starts with no target known.
    pub fn new() -> Self {
        let (view, _) = watch::channel(None);
        Self { view: Arc::new(view), announced_at: Arc::default() }
    }

    /// What is known now, if the target has announced itself.
    pub fn current(&self) -> Option<Arc<TargetView>> {
        self.view.borrow().clone()
    }

    /// Follows the changes.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<TargetView>>> {
        self.view.subscribe()
    }

    /// Takes an announcement in; says whether it changed anything.
    pub fn apply_announcement(&self, announcement: Announcement, now: Instant) -> bool {
        *self.announced_at.lock() = Some(now);
        self.replace(TargetView { announcement, is_silent: false })
    }

    /// Marks a target silent that was last heard `timeout` or more before `now`; says whether
    /// that changed anything.
    ///
    /// Guards against a target that is killed, frozen or cut off and so never says that it
    /// leaves: it would go on getting work. Silence is all such a target shows, and any
    /// announcement ends it.
    pub fn check_silence(&self, now: Instant, timeout: Duration) -> bool {
        let announced_at = *self.announced_at.lock();
        let is_silent = announced_at.is_some_and(|at| now.saturating_duration_since(at) >= timeout);
        let Some(view) = self.current() else { return false };
        if !is_silent || view.is_silent {
            return false;
        }
        self.replace(TargetView { announcement: view.announcement.clone(), is_silent: true })
    }

    fn replace(&self, new: TargetView) -> bool {
        self.view.send_if_modified(|view| {
            let is_same = view.as_ref().is_some_and(|view| **view == new);
            if !is_same {
                *view = Some(Arc::new(new));
            }
            !is_same
        })
    }
}

impl Default for OwnTarget {
    fn default() -> Self {
        Self::new()
    }
}
