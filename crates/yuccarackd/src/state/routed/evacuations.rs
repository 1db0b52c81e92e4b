//! Failure domains that operators have evacuated, whose targets receive no requests.

use std::{collections::BTreeMap, sync::Arc};

use parking_lot::RwLock;
use tokio::sync::watch;
use yuccarack_config::ids::{DomainName, Revision};

use crate::protocol::peer_update::VersionedEvacuation;

/// Evacuations of failure domains; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Latest state of each failure domain, including cancelled evacuations.
    states: RwLock<BTreeMap<DomainName, State>>,
    generation: watch::Sender<u64>,
}

/// Whether a failure domain is evacuated, and the revision of that state.
#[derive(Clone, Copy, Debug)]
struct State {
    revision: Revision,
    is_evacuated: bool,
}

impl Evacuations {
    /// Starts without evacuations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a number that rises with each change.
    pub fn generation(&self) -> u64 {
        *self.inner.generation.borrow()
    }

    /// Subscribes to changes of the generation.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.inner.generation.subscribe()
    }

    /// Returns whether `domain` is evacuated, so that its targets receive no requests.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.inner.states.read().get(domain).is_some_and(|state| state.is_evacuated)
    }

    /// Returns the number of evacuated failure domains.
    pub fn count(&self) -> usize {
        self.inner.states.read().values().filter(|state| state.is_evacuated).count()
    }

    /// Applies a row unless a newer one is known; returns whether the domain's state changed.
    ///
    /// Guards against a lagging peer that sends an evacuation which was cancelled since, so that a
    /// healthy failure domain would get no requests.
    pub fn merge(&self, evacuation: &VersionedEvacuation) -> bool {
        let VersionedEvacuation { failure_domain, revision, is_evacuated } = evacuation;
        let state = State { revision: *revision, is_evacuated: *is_evacuated };
        let mut states = self.inner.states.write();
        let old = states.get(failure_domain).copied();
        if old.is_some_and(|old| old.revision >= state.revision) {
            return false;
        }
        states.insert(failure_domain.clone(), state);
        drop(states);
        let is_change = old.is_some_and(|old| old.is_evacuated) != state.is_evacuated;
        if is_change {
            self.inner.generation.send_modify(|generation| *generation += 1);
        }
        is_change
    }

    /// Returns cancellations for the evacuations that are missing from `listed`, a full listing of
    /// the store at `revision`.
    pub fn find_cancelled(
        &self,
        revision: Revision,
        listed: &[DomainName],
    ) -> Vec<VersionedEvacuation> {
        let states = self.inner.states.read();
        let is_cancelled = |(domain, state): &(&DomainName, &State)| {
            state.is_evacuated && state.revision < revision && !listed.contains(domain)
        };
        let cancelled = states.iter().filter(is_cancelled).map(|(domain, _)| VersionedEvacuation {
            failure_domain: domain.clone(),
            revision,
            is_evacuated: false,
        });
        cancelled.collect()
    }

    /// Returns all known evacuations, including cancelled ones, as sent to other daemons.
    pub fn all(&self) -> Vec<VersionedEvacuation> {
        let states = self.inner.states.read();
        let rows = states.iter().map(|(domain, state)| VersionedEvacuation {
            failure_domain: domain.clone(),
            revision: state.revision,
            is_evacuated: state.is_evacuated,
        });
        rows.collect()
    }
}
