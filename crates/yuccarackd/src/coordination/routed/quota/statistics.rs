//! Requests of organisations at this entry, for metrics and log lines.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use yuccarack_config::{ids::OrganisationName, organisations::OrganisationId};

/// Most organisations with metrics of their own; the first by name.
const LABELS_MAX: usize = 100;

/// Time without refusals after which an organisation counts as within its quota again.
const CALM: Duration = Duration::from_secs(5);

/// A figure of each organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaGauge {
    /// Requests in 1,000 seconds that this daemon may admit.
    Grant,
    /// Requests that were admitted.
    Admitted,
    /// Requests that were refused.
    Refused,
}

/// An organisation that begins or ceases to be refused.
pub(super) struct StateChange {
    pub id: OrganisationId,
    pub name: OrganisationName,
    pub is_refused: bool,
    /// Requests admitted and refused since the previous change.
    pub admitted: u64,
    pub refused: u64,
}

/// Requests of organisations at this entry.
#[derive(Default)]
pub(super) struct Statistics {
    by_id: HashMap<OrganisationId, Requests>,
}

#[derive(Default)]
struct Requests {
    name: OrganisationName,
    admitted: u64,
    refused: u64,
    /// Time of the last refusal, while the organisation counts as refused.
    refused_at: Option<Instant>,
    /// Counts at the previous change.
    previous: (u64, u64),
}

impl Statistics {
    /// Sets the organisations that have a quota.
    pub fn set_names(&mut self, names: HashMap<OrganisationId, OrganisationName>) {
        self.by_id.retain(|id, _| names.contains_key(id));
        for (id, name) in names {
            self.by_id.entry(id).or_default().name = name;
        }
    }

    /// Records a request; returns the change of the organisation's state, if any.
    pub fn record(
        &mut self,
        now: Instant,
        id: OrganisationId,
        is_admitted: bool,
    ) -> Option<StateChange> {
        let requests = self.by_id.get_mut(&id)?;
        let was_refused = requests.refused_at.is_some();
        match is_admitted {
            true => {
                requests.admitted += 1;
                requests.refused_at.take_if(|refused_at| now >= *refused_at + CALM);
            }
            false => {
                requests.refused += 1;
                requests.refused_at = Some(now);
            }
        }
        let is_refused = requests.refused_at.is_some();
        if is_refused == was_refused {
            return None;
        }
        let (admitted, refused) = requests.previous;
        requests.previous = (requests.admitted, requests.refused);
        Some(StateChange {
            id,
            name: requests.name.clone(),
            is_refused,
            admitted: requests.admitted - admitted,
            refused: requests.refused - refused,
        })
    }

    /// Returns a count of each organisation.
    pub fn counts(&self, gauge: QuotaGauge) -> Vec<(String, i64)> {
        self.named(|id| {
            let requests = self.by_id.get(&id);
            let count = requests.map_or(0, |requests| match gauge {
                QuotaGauge::Refused => requests.refused,
                QuotaGauge::Admitted | QuotaGauge::Grant => requests.admitted,
            });
            i64::try_from(count).unwrap_or(i64::MAX)
        })
    }

    /// Returns the value of each organisation by name.
    pub fn named(&self, value: impl Fn(OrganisationId) -> i64) -> Vec<(String, i64)> {
        let sorted: BTreeMap<&str, OrganisationId> =
            self.by_id.iter().map(|(id, requests)| (requests.name.as_str(), *id)).collect();
        let listed = sorted.into_iter().take(LABELS_MAX);
        listed.map(|(name, id)| (name.to_owned(), value(id))).collect()
    }
}
