//! State of the target on this instance, by its announcements.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::sync::watch;
use yuccarack_platform::rows::TargetState;

use crate::protocol::announce::Announcement;

/// What is known of the target on this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetView {
    /// Latest announcement of the target.
    pub announcement: Announcement,
    /// Whether the target stopped announcing itself.
    pub is_silent: bool,
}

impl TargetView {
    /// Returns the lifecycle state of the target; a silent one counts as draining.
    pub fn state(&self) -> TargetState {
        match (self.announcement.state, self.is_silent) {
            (TargetState::Gone, _) => TargetState::Gone,
            (_, true) => TargetState::Draining,
            (state, false) => state,
        }
    }
}

/// The target on this instance; clones share it.
#[derive(Clone)]
pub struct OwnTarget {
    view: Arc<watch::Sender<Option<Arc<TargetView>>>>,
    announced_at: Arc<Mutex<Option<Instant>>>,
}

impl OwnTarget {
    /// Starts without a known target.
    pub fn new() -> Self {
        let (view, _) = watch::channel(None);
        Self { view: Arc::new(view), announced_at: Arc::default() }
    }

    /// Returns the current view, if the target has announced itself.
    pub fn current(&self) -> Option<Arc<TargetView>> {
        self.view.borrow().clone()
    }

    /// Subscribes to changes of the view.
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<TargetView>>> {
        self.view.subscribe()
    }

    /// Applies an announcement; returns whether it changed the view.
    pub fn apply_announcement(&self, announcement: Announcement, now: Instant) -> bool {
        *self.announced_at.lock() = Some(now);
        self.replace(TargetView { announcement, is_silent: false })
    }

    /// Marks the target silent if its latest announcement is at least `timeout` old at `now`;
    /// returns whether that changed the view.
    ///
    /// Guards against a target that is killed, frozen or cut off, so that it never announces its
    /// shutdown and would go on receiving requests. Silence is the only sign of it, and any
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
