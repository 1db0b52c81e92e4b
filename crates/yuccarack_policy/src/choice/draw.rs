//! The draw of candidates and the better of them.

use std::time::Instant;

use rand::Rng;

use super::{Candidate, Chooser, TargetKey};

/// Random candidates compared in the entry's own failure domain.
pub const LOCAL_CANDIDATES: usize = 2;

/// Random candidates compared in the other failure domains when the own one is strained.
pub const REMOTE_CANDIDATES: usize = 2;

/// Share of the best expectation below which another one is better and not just different.
///
/// Expectations are never equal to the last digit. Without it a remainder of old news, however
/// small, would keep a target from any request while traffic is thin.
const CLEARLY_BETTER: f32 = 0.95;

/// Draws for one candidate before the list is walked instead.
const DRAWS_MAX: usize = 4;

/// Share of choices that try a target whose ejection has run out: one in so many.
pub const PROBE_ONE_IN: u32 = 16;

impl Chooser {
    /// Now and then sends one request to a target whose ejection has run out.
    ///
    /// Without it an ejected target would never be seen to have recovered, since nothing else
    /// is sent there; one at a time keeps a target that still fails from hurting more callers.
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
        let due = self.targets.get(key).is_some_and(|target| target.is_due_for_probe(now));
        (due && !excluded.contains(&key)).then_some(key)
    }

    /// The better candidate, of the own failure domain unless that is strained.
    pub(super) fn best_candidate(
        &self,
        now: Instant,
        rng: &mut impl Rng,
        excluded: &[TargetKey],
        weighed: &mut Vec<Candidate>,
    ) -> Option<TargetKey> {
        let home = self.best_of(now, rng, &self.ready_local, LOCAL_CANDIDATES, excluded, weighed);
        if let Some((key, _)) = home
            && !self.targets[key].is_overloaded(now, &self.mean)
        {
            return Some(key);
        }
        let away = self.best_of(now, rng, &self.ready_remote, REMOTE_CANDIDATES, excluded, weighed);
        match (home, away) {
            (Some((home, home_us)), Some((away, away_us))) => {
                let penalty_us = self.config.remote_penalty.as_micros() as f32;
                Some(if home_us <= away_us + penalty_us { home } else { away })
            }
            (home, away) => home.or(away).map(|(key, _)| key),
        }
    }

    fn best_of(
        &self,
        now: Instant,
        rng: &mut impl Rng,
        ready: &[TargetKey],
        candidates: usize,
        excluded: &[TargetKey],
        weighed: &mut Vec<Candidate>,
    ) -> Option<(TargetKey, f32)> {
        let mut best: Option<(TargetKey, f32)> = None;
        for _ in 0..candidates {
            let seen = best.map(|(key, _)| key);
            let Some(key) = self.draw(rng, ready, excluded, seen) else { break };
            let expected_us = self.targets[key].expected_us(now, &self.mean);
            weighed.push(Candidate { key, expected_us });
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
        seen: Option<TargetKey>,
    ) -> Option<TargetKey> {
        if ready.is_empty() {
            return None;
        }
        let fits = |key: &TargetKey| {
            Some(*key) != seen && !excluded.contains(key) && !self.targets[*key].is_ejected()
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
