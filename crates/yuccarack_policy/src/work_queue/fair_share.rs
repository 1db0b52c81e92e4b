//! Fair shares of a gate's capacity among organisations.
//!
//! Used for routed calls of tables with organisations.
//!
//! Load: one of 72 organisations sends nine times its usual rate for some seconds, while the target
//! is busy to seven tenths. Ordered by rank and soft deadline alone, its requests would take their
//! part of every queue and the others would lose as large a share of theirs as it does.
//!
//! Requests only wait when more service time is demanded than the target provides. The service time
//! that has been provided lately is then divided by weighted max-min fairness, so an organisation
//! that demands no more than its share loses nothing to those that do. No slot is reserved: the
//! shares only order the requests that wait.
//!
//! The rank of an organisation goes before its share, so a surge of the highest rank would still
//! displace all organisations of lower ranks. Therefore an organisation that demands far more than
//! usual, and more so than the others, goes last whatever its rank. A rise of all organisations is
//! no surge; then their ranks decide.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use yuccarack_config::organisations::OrganisationId;

use super::OrganisationShare;

/// Time constant of the demanded and the provided service time. A surge of nine times the usual rate
/// exceeds its share after a tenth of it.
const SHARE_WINDOW: Duration = Duration::from_secs(1);

/// Time constant of the usual demand, by which shares are weighted; several times the duration of a
/// surge, which is 5 to 7 s.
const USUAL_WINDOW: Duration = Duration::from_secs(30);

/// Time constant of the served share, within which the rarest organisations send a few requests.
const SERVED_WINDOW: Duration = Duration::from_secs(5);

/// Smallest weight as a part of the whole demand, unless there are fewer organisations than that.
/// A rare organisation may then send several requests at once without exceeding its share.
const SMALLEST_WEIGHT_PARTS: usize = 8;

/// Factor beyond the common rise of the demand from which an organisation is surging. Surges are
/// four to nine times the usual rate, and random arrivals of a large organisation stay within
/// twice its rate.
const SURGE_FACTOR: f64 = 2.0;

/// Number of requests beyond that from which an organisation is surging. At a gate with ten requests a
/// second, two or three of one organisation often arrive at once.
const SURGE_SLACK_REQUESTS: f64 = 2.0;

/// Weight of a request in the mean service time.
const MEAN_WEIGHT: f64 = 0.05;

/// Factor beyond the common rise up to which the demand of an organisation counts in it. Three
/// surging organisations that usually send half of the demand then are no common rise.
const RISE_FACTOR: f64 = 1.5;

/// Iterations of the common rise of the demand, each of which halves its error at least.
const RISE_ITERATIONS: usize = 8;

/// Part of the overall served share below which an organisation goes first. No organisation may get
/// less than a quarter, and half leaves time for the order to take effect.
const STARVED_PART: f64 = 0.5;

/// Largest number of organisations that are told apart at one gate.
const ORGANISATIONS_MAX: usize = 256;

/// Shortest time between two computations of the shares, which bounds their cost.
const UPDATE_INTERVAL: Duration = Duration::from_millis(20);

/// Demand below which an organisation counts as absent, in seconds of service time.
const ABSENT_BELOW_S: f64 = 0.001;

/// Use of an organisation's fair share; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShareUse {
    /// It demands no more than its share.
    Within,
    /// It demands more, but has not got as much.
    Demanded,
    /// It has got its share.
    Exhausted,
}

/// What decides on the order of an organisation's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Whether its served share is below half of the overall one.
    pub is_starved: bool,
    /// Whether it demands far more than usual.
    pub is_surging: bool,
    /// Priority of the organisation; 0 is the most urgent.
    pub rank: u8,
    /// Use of its fair share.
    pub share_use: ShareUse,
}

/// Recent load of one organisation; the sums decay exponentially.
#[derive(Clone, Copy, Debug)]
struct OrganisationLoad {
    rank: u8,
    demanded_s: f64,
    served_s: f64,
    usual_s: f64,
    /// Demand beyond which the organisation is surging.
    surge_limit_s: f64,
    runs: f64,
    refusals: f64,
    is_starved: bool,
    is_surging: bool,
    share_use: ShareUse,
}

impl OrganisationLoad {
    fn new(rank: u8) -> Self {
        Self {
            rank,
            demanded_s: 0.0,
            served_s: 0.0,
            usual_s: 0.0,
            surge_limit_s: f64::INFINITY,
            runs: 0.0,
            refusals: 0.0,
            is_starved: false,
            is_surging: false,
            share_use: ShareUse::Within,
        }
    }

    fn decay(&mut self, elapsed: Duration) {
        let factor = |window: Duration| (-elapsed.div_duration_f64(window)).exp();
        self.demanded_s *= factor(SHARE_WINDOW);
        self.served_s *= factor(SHARE_WINDOW);
        self.usual_s *= factor(USUAL_WINDOW);
        self.runs *= factor(SERVED_WINDOW);
        self.refusals *= factor(SERVED_WINDOW);
    }

    /// Returns the served share, with one more request at the served share `of_rank` of its rank. A
    /// rare organisation, of which little is known, is judged by its rank.
    fn served_share(&self, of_rank: f64) -> f64 {
        (self.runs + of_rank) / (self.runs + self.refusals + 1.0)
    }

    fn use_of(&self, share_s: f64) -> ShareUse {
        match (self.demanded_s > share_s, self.served_s > share_s) {
            (false, _) => ShareUse::Within,
            (true, false) => ShareUse::Demanded,
            (true, true) => ShareUse::Exhausted,
        }
    }
}

/// Recent load of the organisations at one gate, and their shares.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    by_id: HashMap<OrganisationId, OrganisationLoad>,
    updated_at: Option<Instant>,
    /// Mean service time of a request, in seconds.
    mean_s: f64,
    highest_rank: u8,
}

impl FairShares {
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request that needs `service_time` and may wait or runs at once.
    pub fn record_demand(
        &mut self,
        now: Instant,
        organisation: Option<OrganisationShare>,
        service_time: Duration,
    ) {
        let Some(organisation) = organisation else { return };
        self.update(now);
        let service_s = service_time.as_secs_f64();
        self.mean_s += MEAN_WEIGHT * (service_s - self.mean_s);
        let load = self.load_mut(organisation);
        load.rank = organisation.rank;
        load.demanded_s += service_s;
        // A surge must not raise the weight of its organisation.
        let usual_part = (load.surge_limit_s / load.demanded_s).min(1.0);
        load.usual_s += usual_part * service_s;
    }

    /// Records the start of a request that needs `service_time`.
    pub fn record_run(&mut self, organisation: Option<OrganisationShare>, service_time: Duration) {
        let load = organisation.and_then(|organisation| self.by_id.get_mut(&organisation.id));
        if let Some(load) = load {
            load.served_s += service_time.as_secs_f64();
            load.runs += 1.0;
        }
    }

    /// Records the rejection of a request that was allowed to wait.
    pub fn record_refusal(&mut self, organisation: Option<OrganisationShare>) {
        let load = organisation.and_then(|organisation| self.by_id.get_mut(&organisation.id));
        if let Some(load) = load {
            load.refusals += 1.0;
        }
    }

    /// Returns the standing of an organisation. A request without one has the highest rank of the
    /// organisations here.
    pub fn standing(&self, organisation: Option<OrganisationShare>) -> Standing {
        let within = |rank| Standing {
            is_starved: false,
            is_surging: false,
            rank,
            share_use: ShareUse::Within,
        };
        let Some(organisation) = organisation else { return within(self.highest_rank) };
        let load = self.by_id.get(&organisation.id);
        load.map_or(within(organisation.rank), |load| Standing {
            is_starved: load.is_starved,
            is_surging: load.is_surging,
            rank: organisation.rank,
            share_use: load.share_use,
        })
    }

    /// Computes the shares anew if they are out of date.
    pub fn update(&mut self, now: Instant) {
        if self.by_id.is_empty() {
            return;
        }
        let updated_at = *self.updated_at.get_or_insert(now);
        let elapsed = now.saturating_duration_since(updated_at);
        if elapsed < UPDATE_INTERVAL {
            return;
        }
        self.updated_at = Some(now);
        self.by_id.values_mut().for_each(|load| load.decay(elapsed));
        self.by_id.retain(|_, load| load.usual_s >= ABSENT_BELOW_S);
        self.update_standings();
    }

    fn update_standings(&mut self) {
        let loads = self.by_id.values();
        let present = loads.filter(|load| load.demanded_s >= ABSENT_BELOW_S);
        self.highest_rank = present.map(|load| load.rank).min().unwrap_or(0);
        let (overall, by_rank) = self.served_shares();
        let smallest_weight = self.smallest_weight();
        let level = self.water_level(smallest_weight);
        let surge_level = SURGE_FACTOR * self.common_rise();
        let surge_slack_s = SURGE_SLACK_REQUESTS * self.mean_s;
        for load in self.by_id.values_mut() {
            load.is_starved = load.served_share(by_rank[&load.rank]) < STARVED_PART * overall;
            let weight = load.usual_s.max(smallest_weight);
            load.share_use = load.use_of(level * weight);
            load.surge_limit_s = surge_level * weight + surge_slack_s;
            load.is_surging = load.demanded_s > load.surge_limit_s;
        }
    }

    /// Returns the served share of all organisations, and that of each rank.
    fn served_shares(&self) -> (f64, BTreeMap<u8, f64>) {
        let mut counts: BTreeMap<u8, (f64, f64)> = BTreeMap::new();
        for load in self.by_id.values() {
            let (runs, requests) = counts.entry(load.rank).or_default();
            *runs += load.runs;
            *requests += load.runs + load.refusals;
        }
        let share = |(runs, requests): (f64, f64)| runs / requests.max(f64::MIN_POSITIVE);
        let sum = counts.values().fold((0.0, 0.0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
        (share(sum), counts.into_iter().map(|(rank, count)| (rank, share(count))).collect())
    }

    fn smallest_weight(&self) -> f64 {
        let usual_s: f64 = self.by_id.values().map(|load| load.usual_s).sum();
        usual_s / self.by_id.len().clamp(1, SMALLEST_WEIGHT_PARTS) as f64
    }

    /// Returns the fair share of an organisation of weight 1 in the service time provided, in
    /// seconds; infinite if all demands are met.
    fn water_level(&self, smallest_weight: f64) -> f64 {
        let mut provided_s: f64 = self.by_id.values().map(|load| load.served_s).sum();
        let weighted =
            |load: &OrganisationLoad| (load.usual_s.max(smallest_weight), load.demanded_s);
        let mut demands: Vec<(f64, f64)> = self.by_id.values().map(weighted).collect();
        demands.sort_unstable_by(|a, b| (a.1 / a.0).total_cmp(&(b.1 / b.0)));
        let mut weights: f64 = demands.iter().map(|(weight, _)| weight).sum();
        for (weight, demanded_s) in demands {
            let level = provided_s / weights;
            if demanded_s > level * weight + ABSENT_BELOW_S {
                return level;
            }
            provided_s -= demanded_s;
            weights -= weight;
        }
        f64::INFINITY
    }

    /// Returns the ratio of the demand to the usual one, both in their windows, with each
    /// organisation's demand counted up to [`RISE_FACTOR`] times that ratio.
    ///
    /// In an overload by all organisations none is surging, and their ranks decide.
    fn common_rise(&self) -> f64 {
        let usual_s: f64 = self.by_id.values().map(|load| load.usual_s).sum();
        let counted = |rise: f64| {
            let loads = self.by_id.values();
            let demands = loads.map(|load| load.demanded_s.min(RISE_FACTOR * rise * load.usual_s));
            demands.sum::<f64>() / usual_s.max(f64::MIN_POSITIVE)
        };
        (0..RISE_ITERATIONS).fold(f64::INFINITY, |rise, _| counted(rise))
    }

    fn load_mut(&mut self, organisation: OrganisationShare) -> &mut OrganisationLoad {
        self.highest_rank = match self.by_id.is_empty() {
            true => organisation.rank,
            false => self.highest_rank.min(organisation.rank),
        };
        if self.by_id.len() >= ORGANISATIONS_MAX && !self.by_id.contains_key(&organisation.id) {
            let smallest = self.by_id.iter().min_by(|a, b| a.1.usual_s.total_cmp(&b.1.usual_s));
            if let Some(id) = smallest.map(|(id, _)| *id) {
                self.by_id.remove(&id);
            }
        }
        self.by_id
            .entry(organisation.id)
            .or_insert_with(|| OrganisationLoad::new(organisation.rank))
    }
}
