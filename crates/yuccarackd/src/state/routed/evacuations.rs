//! Failure domains that operators evacuate: their targets get nothing.

use std::{collections::BTreeMap, sync::Arc};

use parking_lot::RwLock;
use tokio::sync::watch;
use yuccarack_config::ids::{DomainName, Revision};

use crate::protocol::peer_update::VersionedEvacuation;

/// Failure domains that are evacuated; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// The latest of each failure domain, evacuated or taken back.
    known: RwLock<BTreeMap<DomainName, State>>,
    generation: watch::Sender<u64>,
}

/// Whether a failure domain is evacuated, and the revision that says so.
#[derive(Clone, Copy, Debug)]
struct State {
    revision: Revision,
    is_evacuated: bool,
}

impl Evacuations {
    /// Starts without any.
    pub fn new() -> Self {
        Self::default()
    }

    /// Rises with each change.
    pub fn generation(&self) -> u64 {
        *self.inner.generation.borrow()
    }

    /// Tells of each change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.inner.generation.subscribe()
    }

    /// Whether the targets of `domain` get nothing.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.inner.known.read().get(domain).is_some_and(|state| state.is_evacuated)
    }

    /// How many failure domains are evacuated.
    pub fn count(&self) -> usize {
        self.inner.known.read().values().filter(|state| state.is_evacuated).count()
    }

    /// Takes a row in unless a newer one is known; says whether it changes anything.
    ///
    /// Failure: a peer that lags sends an evacuation that was taken back, and a healthy failure domain gets
    /// no work.
    pub fn merge(&self, rows: &VersionedEvacuation) -> bool {
        let VersionedEvacuation { failure_domain, revision, is_evacuated } = rows;
        let state = State { revision: *revision, is_evacuated: *is_evacuated };
        let mut known = self.inner.known.write();
        let old = known.get(failure_domain).copied();
        if old.is_some_and(|old| old.revision >= state.revision) {
            return false;
        }
        known.insert(failure_domain.clone(), state);
        drop(known);
        let is_change = old.is_some_and(|old| old.is_evacuated) != state.is_evacuated;
        if is_change {
            self.inner.generation.send_modify(|generation| *generation += 1);
        }
        is_change
    }

    /// Evacuations that a whole reading at `revision`, which listed those of `listed`, shows to be taken back.
    pub fn find_cancelled(
        &self,
        revision: Revision,
        listed: &[DomainName],
    ) -> Vec<VersionedEvacuation> {
        let known = self.inner.known.read();
        let is_cancelled = |(domain, state): &(&DomainName, &State)| {
            state.is_evacuated && state.revision < revision && !listed.contains(domain)
        };
        let cancelled = known.iter().filter(is_cancelled).map(|(domain, _)| VersionedEvacuation {
            failure_domain: domain.clone(),
            revision,
            is_evacuated: false,
        });
        cancelled.collect()
    }

    /// All that is known, as other daemons are notified.
    pub fn all(&self) -> Vec<VersionedEvacuation> {
        let known = self.inner.known.read();
        let rows = known.iter().map(|(domain, state)| VersionedEvacuation {
            failure_domain: domain.clone(),
            revision: state.revision,
            is_evacuated: state.is_evacuated,
        });
        rows.collect()
    }
}
