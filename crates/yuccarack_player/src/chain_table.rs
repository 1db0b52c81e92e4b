//! Results of the service chain as a table or as JSON lines.

use std::io::Write;

use serde_json::json;
use yuccarack_player::routed::{Credit, LOADS, Load, Policy, REQUEST_KINDS, play_chain};

use crate::PlayError;

/// Plays every load under every policy with `seeds` seeds starting at `seed`, and writes a row for
/// each request kind of callers.
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
    for load in &LOADS {
        for policy in Policy::ALL {
            let credits: Vec<Credit> =
                (seed..seed + seeds).map(|seed| play_chain(load, policy, seed)).collect();
            write_rows(load, policy, &credits, as_json, out)?;
        }
    }
    Ok(())
}

fn write_rows(
    load: &Load,
    policy: Policy,
    credits: &[Credit],
    as_json: bool,
    out: &mut impl Write,
) -> Result<(), PlayError> {
    let mean = |of: fn(&Credit) -> f64| credits.iter().map(of).sum::<f64>() / credits.len() as f64;
    let wasted = mean(|credit| 100.0 * credit.wasted_runs as f64 / credit.runs.max(1) as f64);
    let (credit, worst) = (mean(Credit::earned_share), mean(Credit::worst_share));
    for (number, kind) in REQUEST_KINDS.iter().enumerate().filter(|(_, kind)| kind.rate_per_s > 0.0)
    {
        let sum = |of: fn(&yuccarack_player::routed::OutcomeCounts) -> u64| {
            credits.iter().map(|credit| of(&credit.outcomes[number])).sum::<u64>() as f64
        };
        let counts = [sum(|e| e.in_time), sum(|e| e.late), sum(|e| e.refused), sum(|e| e.failed)];
        let total = counts.iter().sum::<f64>().max(1.0);
        let [in_time, late, refused, failed] = counts.map(|count| 100.0 * count / total);
        if as_json {
            let row = json!({
                "load": load.name, "policy": policy.as_str(), "credit": credit, "worst": worst,
                "wasted_percent": wasted, "kind": kind.name, "in_time_percent": in_time,
                "late_percent": late, "refused_percent": refused, "failed_percent": failed,
            });
            writeln!(out, "{row}")?;
        } else {
            writeln!(
                out,
                "{:10} {:14} {credit:6.3} {worst:6.3} {wasted:7.1} {:10} {in_time:7.1} {late:6.1} {refused:8.1} {failed:7.1}",
                load.name,
                policy.as_str(),
                kind.name,
            )?;
        }
    }
    Ok(())
}
