//! Tests all policies together under simulated loads with fixed seeds: what callers get.

use std::time::Duration;

use yuccarack_player::{
    Fleet, Policy, Scenario, Tally, play,
    scenario::Fault,
    scenarios::{self, HOKKAIDO_ORDER, HOKKAIDO_READ},
};

const SEED: u64 = 42;

fn shortened(scenario: Scenario) -> Scenario {
    Scenario { duration: Duration::from_secs(4), ..scenario }
}

fn simulate(scenario: &Scenario) -> Tally {
    play(scenario, Policy::Yuccarack, SEED)
}

/// Returns the best 99.9th percentile of those baselines whose share of requests answered in time
/// is at most 0.01 below `in_time`.
fn best_baseline(scenario: &Scenario, in_time: f64) -> Duration {
    let tallies = Policy::ALL[1..].iter().map(|&policy| play(scenario, policy, SEED));
    let comparable = tallies.filter(|tally| tally.in_time() > in_time - 0.01);
    comparable.map(|tally| tally.percentile(99.9)).min().unwrap_or(Duration::MAX)
}

fn light_callers_in_time(tally: &Tally) -> f64 {
    tally.light.1 as f64 / tally.light.0 as f64
}

/// Targets stall for 20 to 300 ms at random. A read that meets a stall is hedged; the slowest reads
/// must take at most half the time of the best baseline.
#[test]
fn stragglers() {
    let scenario = shortened(scenarios::stragglers(HOKKAIDO_READ));
    let tally = simulate(&scenario);
    let best = best_baseline(&scenario, tally.in_time());
    let p999 = tally.percentile(99.9);
    assert!(p999 * 2 <= best, "{p999:?} against {best:?}");
    assert!(tally.in_time() > 0.999);
    assert!(tally.duplicates * 100 <= tally.offered * 7, "{} runs twice", tally.duplicates);
}

/// Other load moves from target to target and makes each slow for 300 ms. The target must be
/// avoided and chosen again within that time, or the others are overloaded.
#[test]
fn shifts() {
    let scenario = shortened(scenarios::noisy_neighbour(HOKKAIDO_READ));
    let tally = simulate(&scenario);
    let best = best_baseline(&scenario, tally.in_time());
    let p999 = tally.percentile(99.9);
    assert!(p999 * 2 <= best, "{p999:?} against {best:?}");
    assert!(tally.in_time() > 0.999);
}

/// Orders are sent to a service of three whose targets stall. They can't be hedged; still none may
/// run twice, and hardly any may be rejected while there is capacity.
#[test]
fn orders_among_stragglers_run_once() {
    let tally = simulate(&shortened(scenarios::stragglers(HOKKAIDO_ORDER)));
    assert_eq!(tally.duplicates, 0);
    assert!(tally.in_time() > 0.995, "{} in time", tally.in_time());
}

/// Load rises to 150 % for 100 ms each second. It can be served within the deadlines if it may
/// wait, so nothing may be rejected.
#[test]
fn bursts_are_absorbed() {
    let tally = simulate(&shortened(scenarios::bursts(HOKKAIDO_READ)));
    assert!(tally.in_time() > 0.999, "{} in time", tally.in_time());
    assert!(tally.percentile(99.9) < Duration::from_millis(150));
}

/// One target is slow for 20 ms and recovers. Callers must not notice, neither then nor later.
#[test]
fn a_blip_passes_unnoticed() {
    let tally = simulate(&scenarios::blip(HOKKAIDO_READ));
    assert!(tally.in_time() > 0.999);
    assert!(tally.percentile(99.0) < Duration::from_millis(40));
}

/// One target is five times slower than the others. Its share of calls would miss their deadlines;
/// nearly all must be answered by the others.
#[test]
fn a_slow_target_is_avoided() {
    let tally = simulate(&shortened(scenarios::slow_target(HOKKAIDO_ORDER)));
    assert!(tally.in_time() > 0.999);
    assert!(tally.percentile(99.0) < Duration::from_millis(100));
}

/// Two callers send four fifths of a load of 150 % of capacity. The others send little and must get
/// all of it; the two must bear the rejections.
#[test]
fn heavy_callers_bear_the_rejections() {
    let tally = simulate(&shortened(scenarios::heavy_callers(HOKKAIDO_READ)));
    assert!(light_callers_in_time(&tally) > 0.99, "{}", light_callers_in_time(&tally));
    assert!(tally.goodput() > 0.95);
}

/// One call in twenty takes thirty times as long. Short calls must not queue behind long ones.
#[test]
fn long_requests_do_not_block_short_ones() {
    let tally = simulate(&shortened(scenarios::long_among_short(HOKKAIDO_READ)));
    let short = tally.short_response_times.value_at_percentile(99.0);
    assert!(short < 40_000, "99 % of short calls within {short} µs");
    assert!(tally.in_time() > 0.99);
}

/// Offered load goes from half of capacity to five times that. Below capacity everything must be
/// answered; above, targets must stay busy with calls that are answered in time, and the rest must
/// be rejected at once.
#[test]
fn saturation_keeps_goodput() {
    for (load, name) in [(0.5, "0.5"), (0.9, "0.9"), (1.2, "1.2"), (2.0, "2"), (5.0, "5")] {
        let scenario = shortened(scenarios::saturation(HOKKAIDO_ORDER, name, load));
        let tally = simulate(&scenario);
        let goodput_min = if load < 1.0 { load * 0.95 } else { 0.95 };
        assert!(tally.goodput() >= goodput_min, "{} at {load} times capacity", tally.goodput());
        assert!(tally.late * 1_000 <= tally.offered, "{} late at {load}", tally.late);
        assert_eq!(tally.duplicates, 0);
    }
}

/// A target fails every order at once. It looks idle and fast, and must not attract more than a few
/// orders.
#[test]
fn a_target_that_fails_fast_attracts_little_load() {
    let tally = simulate(&shortened(scenarios::fails_fast(HOKKAIDO_ORDER)));
    assert!(tally.failed * 200 <= tally.offered, "{} of {}", tally.failed, tally.offered);
}

/// A slow target reports that it is idle and fast. If it were trusted, it would attract most of the
/// load.
#[test]
fn a_target_with_false_reports_attracts_little_load() {
    let tally = simulate(&shortened(scenarios::false_reports(HOKKAIDO_READ)));
    assert!(tally.in_time() > 0.999, "{} in time", tally.in_time());
}

/// All targets have just started and are five times slower until warm. They must not collapse: most
/// calls are answered in time, the rest is rejected, and none is left without a response.
#[test]
fn all_cold() {
    let tally = simulate(&shortened(scenarios::all_cold(HOKKAIDO_READ)));
    assert!(tally.in_time() > 0.93, "{} in time", tally.in_time());
    assert!(tally.late * 1_000 <= tally.offered);
}

/// A failure domain is lost with two of six targets, and for 3 s the membership doesn't show it.
/// Calls in flight there are lost; all later ones must be served by the other targets.
#[test]
fn a_failure_domain_is_lost() {
    let scenario = shortened(scenarios::domain_loss(HOKKAIDO_READ));
    let tally = simulate(&scenario);
    assert!(tally.in_time() > 0.995, "{} in time", tally.in_time());
}

/// Every target fails everything for a second under a load of 90 % of capacity. Extra attempts must
/// stay within the budgets, so that the service recovers once the cause is gone.
#[test]
fn a_retry_storm_stays_small() {
    let fleet = Fleet { targets: 1, ..HOKKAIDO_READ };
    let from = Duration::from_secs(1);
    let fails = Fault::FailsFast { from, until: from * 2 };
    let scenario = Scenario { faults: vec![fails], ..shortened(scenarios::steady(fleet, 0.9)) };
    let tally = simulate(&scenario);
    let most = tally.offered / 10 + 12 * 20;
    assert!(tally.duplicates <= most, "{} of {} calls", tally.duplicates, tally.offered);
    assert!(tally.in_time() > 0.70, "{} in time", tally.in_time());
}

/// The same seed must give the same run, so that results can be reproduced.
#[test]
fn a_run_can_be_repeated() {
    let scenario =
        Scenario { duration: Duration::from_secs(1), ..scenarios::noisy_neighbour(HOKKAIDO_READ) };
    let [first, second] = [simulate(&scenario), simulate(&scenario)];
    assert_eq!(first.response_times, second.response_times);
    assert_eq!(first.measuring_bytes, second.measuring_bytes);
}
