//! Results of the service chain as a table or as JSON lines.

use std::io::Write;

use serde_json::json;
use yuccarack_player::routed::{
    ChainScenario, EarnedValue, Policy, REQUEST_KINDS, SCENARIOS, play_chain,
};

use crate::PlayError;

/// Plays every scenario under every policy with `seeds` seeds starting at `seed`, and writes a row
/// for each request kind of callers.
pub fn write(seed: u64, seeds: u64, as_json: bool, out: &mut impl Write) -> Result<(), PlayError> {
    if !as_json {
        writeln!(
            out,
            "{:10} {:14} {:>6} {:>6} {:>7} {:10} {:>7} {:>6} {:>8} {:>7}",
            "load",
            "policy",
            "credit",
            "worst",
            "wasted%",
            "kind",
            "intime%",
            "late%",
            "refused%",
            "failed%"
        )?;
    }
    for scenario in &SCENARIOS {
        for policy in Policy::ALL {
            let results: Vec<EarnedValue> =
                (seed..seed + seeds).map(|seed| play_chain(scenario, policy, seed)).collect();
            write_rows(scenario, policy, &results, as_json, out)?;
        }
    }
    Ok(())
}

fn write_rows(
    scenario: &ChainScenario,
    policy: Policy,
    results: &[EarnedValue],
    as_json: bool,
    out: &mut impl Write,
) -> Result<(), PlayError> {
    let mean =
        |of: fn(&EarnedValue) -> f64| results.iter().map(of).sum::<f64>() / results.len() as f64;
    let wasted = mean(|earned| 100.0 * earned.wasted_runs as f64 / earned.runs.max(1) as f64);
    let (credit, worst) = (mean(EarnedValue::earned_share), mean(EarnedValue::worst_share));
    for (number, kind) in REQUEST_KINDS.iter().enumerate().filter(|(_, kind)| kind.rate_per_s > 0.0)
    {
        let sum = |of: fn(&yuccarack_player::routed::OutcomeCounts) -> u64| {
            results.iter().map(|earned| of(&earned.outcomes[number])).sum::<u64>() as f64
        };
        let counts = [sum(|e| e.in_time), sum(|e| e.late), sum(|e| e.refused), sum(|e| e.failed)];
        let total = counts.iter().sum::<f64>().max(1.0);
        let [in_time, late, refused, failed] = counts.map(|count| 100.0 * count / total);
        if as_json {
            let row = json!({
                "load": scenario.name, "policy": policy.as_str(), "credit": credit, "worst": worst,
                "wasted_percent": wasted, "kind": kind.name, "in_time_percent": in_time,
                "late_percent": late, "refused_percent": refused, "failed_percent": failed,
            });
            writeln!(out, "{row}")?;
        } else {
            writeln!(
                out,
                "{:10} {:14} {credit:6.3} {worst:6.3} {wasted:7.1} {:10} {in_time:7.1} {late:6.1} {refused:8.1} {failed:7.1}",
                scenario.name,
                policy.as_str(),
                kind.name,
            )?;
        }
    }
    Ok(())
}
