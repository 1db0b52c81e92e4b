//! Draw and comparison of the candidates of a choice.

use std::time::Instant;

use rand::Rng;

use super::{Candidate, Chooser, TargetKey};

/// Random candidates compared in the entry's own failure domain.
pub const LOCAL_CANDIDATES: usize = 2;

/// Random candidates compared in other failure domains when the local one is overloaded.
pub const REMOTE_CANDIDATES: usize = 2;

/// Share of the best expected time below which another candidate counts as better.
///
/// Expected times are never exactly equal. Without this margin the remaining weight of old reports,
/// however small, would keep a target from getting any request while traffic is low.
const CLEARLY_BETTER: f32 = 0.95;

/// Random draws for one candidate before the list is searched instead.
const DRAWS_MAX: usize = 4;

/// One in so many choices probes a target whose ejection has ended.
pub const PROBE_ONE_IN: u32 = 16;

impl Chooser {
    /// Now and then chooses a target whose ejection has ended.
    ///
    /// Nothing else is sent to an ejected target, so its recovery would never be noticed. One
    /// request at a time keeps a target that still fails from affecting more callers.
    pub(super) fn probe_ejected(
        &self,
        now: Instant,
        rng: &mut impl Rng,
        excluded: &[TargetKey],
    ) -> Option<TargetKey> {
        if self.ejected.is_empty() || !rng.random_ratio(1, PROBE_ONE_IN) {
            return None;
        }
        let key = self.ejected[rng.random_range(0..self.ejected.len())];
        let is_due = self.targets.get(key).is_some_and(|target| target.is_due_for_probe(now));
        (is_due && !excluded.contains(&key)).then_some(key)
    }

    /// Returns the better candidate, from the local failure domain unless that is overloaded.
    pub(super) fn best_candidate(
        &self,
        now: Instant,
        rng: &mut impl Rng,
        excluded: &[TargetKey],
        compared: &mut Vec<Candidate>,
    ) -> Option<TargetKey> {
        let local = self.best_of(now, rng, &self.ready_local, LOCAL_CANDIDATES, excluded, compared);
        if let Some((key, _)) = local
            && !self.targets[key].is_overloaded(now, &self.mean)
        {
            return Some(key);
        }
        let remote =
            self.best_of(now, rng, &self.ready_remote, REMOTE_CANDIDATES, excluded, compared);
        match (local, remote) {
            (Some((local, local_us)), Some((remote, remote_us))) => {
                let penalty_us = self.config.remote_penalty.as_micros() as f32;
                Some(if local_us <= remote_us + penalty_us { local } else { remote })
            }
            (local, remote) => local.or(remote).map(|(key, _)| key),
        }
    }

    fn best_of(
        &self,
        now: Instant,
        rng: &mut impl Rng,
        ready: &[TargetKey],
        candidates: usize,
        excluded: &[TargetKey],
        compared: &mut Vec<Candidate>,
    ) -> Option<(TargetKey, f32)> {
        let mut best: Option<(TargetKey, f32)> = None;
        for _ in 0..candidates {
            let compared_key = best.map(|(key, _)| key);
            let Some(key) = self.draw(rng, ready, excluded, compared_key) else { break };
            let expected_us = self.targets[key].expected_us(now, &self.mean);
            compared.push(Candidate { key, expected_us });
            if best.is_none_or(|(_, best_us)| expected_us < best_us * CLEARLY_BETTER) {
                best = Some((key, expected_us));
            }
        }
        best
    }

    fn draw(
        &self,
        rng: &mut impl Rng,
        ready: &[TargetKey],
        excluded: &[TargetKey],
        compared_key: Option<TargetKey>,
    ) -> Option<TargetKey> {
        if ready.is_empty() {
            return None;
        }
        let fits = |key: &TargetKey| {
            Some(*key) != compared_key
                && !excluded.contains(key)
                && !self.targets[*key].is_ejected()
        };
        for _ in 0..DRAWS_MAX {
            let key = ready[rng.random_range(0..ready.len())];
            if fits(&key) {
                return Some(key);
            }
        }
        let (before, after) = ready.split_at(rng.random_range(0..ready.len()));
        after.iter().chain(before).find(|key| fits(key)).copied()
    }
}
