//! Predefined scenarios, and the fleets for which they are played.

use std::time::Duration;

use crate::scenario::{Burst, Callers, Fault, Fleet, Scenario, Workload};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const fn fleet(name: &'static str, targets: usize, entries: usize, link_delay_us: u64) -> Fleet {
    let link_delay = Duration::from_micros(link_delay_us);
    Fleet { name, targets, entries, domains: 3, link_delay, is_repeatable: true }
}

/// Read service of the example deployment Hokkaido: 6 targets, 12 entries, repeatable requests.
pub const HOKKAIDO_READ: Fleet = fleet("hok_read", 6, 12, 1_500);

/// Each of Hokkaido's two services of 3 targets, whose requests must not run twice.
pub const HOKKAIDO_ORDER: Fleet =
    Fleet { is_repeatable: false, ..fleet("hok_order", 3, 12, 1_500) };

/// Read service of the example deployment Kemiaplus: 5 targets, 11 entries, repeatable requests.
pub const KEMIAPLUS_READ: Fleet = fleet("kem_read", 5, 11, 500);

/// Each of Kemiaplus' two services of 3 targets, whose requests must not run twice.
pub const KEMIAPLUS_ORDER: Fleet = Fleet { is_repeatable: false, ..fleet("kem_order", 3, 11, 500) };

/// A service of 100 targets with 100 entries.
pub const HUNDRED: Fleet = fleet("hundred", 100, 100, 1_500);

/// All fleets, each with the number of such services in its deployment.
pub const FLEETS: [(Fleet, u64); 5] = [
    (HOKKAIDO_READ, 1),
    (HOKKAIDO_ORDER, 2),
    (KEMIAPLUS_READ, 1),
    (KEMIAPLUS_ORDER, 2),
    (HUNDRED, 1),
];

/// Steady load on healthy targets: the basis of all other scenarios.
pub fn steady(fleet: Fleet, load: f64) -> Scenario {
    Scenario {
        name: "steady",
        fleet,
        load,
        duration: if fleet.targets > 20 { ms(3_000) } else { ms(20_000) },
        deadline: ms(500),
        callers: Callers { count: 200, heavy: 0, heavy_share: 0.0 },
        workload: Workload {
            mean: ms(10),
            long_share: 0.0,
            long_factor: 1.0,
            long_slots_percent: 100,
        },
        burst: None,
        faults: Vec::new(),
    }
}

/// Targets stall at random times for 20 to 300 ms.
pub fn stragglers(fleet: Fleet) -> Scenario {
    let stalls = Fault::Stalls {
        mean_interval: ms(3_000),
        shortest: ms(20),
        longest: ms(300),
        factor: 10.0,
    };
    Scenario { name: "stragglers", faults: vec![stalls], ..steady(fleet, 0.6) }
}

/// A noisy neighbour moves to the next target every 300 ms and slows it down by a factor of four.
pub fn noisy_neighbour(fleet: Fleet) -> Scenario {
    let neighbour = Fault::NoisyNeighbour { duration: ms(300), factor: 4.0 };
    Scenario { name: "shifts", faults: vec![neighbour], ..steady(fleet, 0.6) }
}

/// Load rises by a factor of 2.5 for 100 ms every second, beyond the capacity of the targets.
pub fn bursts(fleet: Fleet) -> Scenario {
    let burst = Burst { interval: ms(1_000), duration: ms(100), factor: 2.5 };
    Scenario { name: "bursts", burst: Some(burst), ..steady(fleet, 0.6) }
}

/// One target is five times slower than the others for most of the run.
pub fn slow_target(fleet: Fleet) -> Scenario {
    let slow = Fault::Slow { from: ms(500), until: ms(15_000), factor: 5.0 };
    Scenario { name: "slow_target", faults: vec![slow], ..steady(fleet, 0.5) }
}

/// One target slows down for 20 ms and recovers.
pub fn blip(fleet: Fleet) -> Scenario {
    let slow = Fault::Slow { from: ms(500), until: ms(520), factor: 20.0 };
    Scenario { name: "blip", faults: vec![slow], duration: ms(2_000), ..steady(fleet, 0.6) }
}

/// Two of 200 callers make 80 % of the calls, at 150 % of capacity.
pub fn heavy_callers(fleet: Fleet) -> Scenario {
    let callers = Callers { count: 200, heavy: 2, heavy_share: 0.8 };
    Scenario { name: "heavy_callers", callers, ..steady(fleet, 1.5) }
}

/// One call in 20 takes 30 times as long, on a route of its own.
pub fn long_among_short(fleet: Fleet) -> Scenario {
    let workload =
        Workload { mean: ms(5), long_share: 0.05, long_factor: 30.0, long_slots_percent: 60 };
    Scenario { name: "long_among_short", workload, ..steady(fleet, 0.8) }
}

/// One target fails every request at once.
pub fn fails_fast(fleet: Fleet) -> Scenario {
    let fails = Fault::FailsFast { from: ms(500), until: ms(10_000) };
    Scenario { name: "fails_fast", faults: vec![fails], ..steady(fleet, 0.5) }
}

/// One target reports that it is idle and fast, but is five times slower than the others.
pub fn false_reports(fleet: Fleet) -> Scenario {
    let slow = Fault::Slow { from: ms(0), until: ms(30_000), factor: 5.0 };
    Scenario { name: "liar", faults: vec![slow, Fault::FalseReports], ..steady(fleet, 0.5) }
}

/// Every target has just started and is slow until it has served some requests.
pub fn all_cold(fleet: Fleet) -> Scenario {
    Scenario { name: "all_cold", faults: vec![Fault::ColdStart], ..steady(fleet, 0.5) }
}

/// A third of the targets is lost with its failure domain.
pub fn domain_loss(fleet: Fleet) -> Scenario {
    let loss = Fault::DomainLoss { from: ms(1_000) };
    Scenario { name: "domain_gone", faults: vec![loss], ..steady(fleet, 0.5) }
}

/// Targets announce 10 slots but slow down above 4 concurrent requests.
pub fn overstated_slots(fleet: Fleet) -> Scenario {
    let fault = Fault::OverstatedSlots { real_slots: 4 };
    Scenario { name: "overpromised", faults: vec![fault], ..steady(fleet, 0.6) }
}

/// Healthy targets under `load` times their capacity.
pub fn saturation(fleet: Fleet, name: &'static str, load: f64) -> Scenario {
    Scenario { name, ..steady(fleet, load) }
}

/// Load at twice the capacity, with deadlines shorter than the wait in a target's full connection
/// queue: a policy that queues all calls answers most of them too late.
pub fn tight_deadlines(fleet: Fleet) -> Scenario {
    Scenario { name: "tight_2", deadline: ms(200), ..steady(fleet, 2.0) }
}

/// Returns all scenarios for one fleet, in the order of the table.
pub fn all(fleet: Fleet) -> Vec<Scenario> {
    vec![
        stragglers(fleet),
        noisy_neighbour(fleet),
        bursts(fleet),
        slow_target(fleet),
        blip(fleet),
        heavy_callers(fleet),
        long_among_short(fleet),
        fails_fast(fleet),
        false_reports(fleet),
        all_cold(fleet),
        domain_loss(fleet),
        overstated_slots(fleet),
        saturation(fleet, "load_0.5", 0.5),
        saturation(fleet, "load_0.9", 0.9),
        saturation(fleet, "load_1.2", 1.2),
        saturation(fleet, "load_2", 2.0),
        saturation(fleet, "load_5", 5.0),
        tight_deadlines(fleet),
    ]
}
