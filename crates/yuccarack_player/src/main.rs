//! Plays every scenario with every policy and prints a table, or a JSON line for each row.

mod chain_table;

use std::{
    io::{self, Write},
    process::ExitCode,
    thread,
};

use bpaf::Bpaf;
use thiserror::Error;
use yuccarack_player::{Policy, Scenario, Summary, Tally, play, scenarios};

/// Simulates load scenarios and compares the project's policies with baseline policies.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Print one JSON object for each row.
    json: bool,
    /// First seed.
    #[bpaf(fallback(1), display_fallback)]
    seed: u64,
    /// Number of seeds played for each row.
    #[bpaf(fallback(1), display_fallback)]
    seeds: u64,
    /// Only this fleet: hok_read, hok_order, kem_read, kem_order or hundred.
    fleet: Option<String>,
    /// Only this scenario.
    #[bpaf(long("story"))]
    scenario: Option<String>,
    /// Only this policy.
    policy: Option<String>,
    /// Play the scenarios of a chain of services, with the policies for routed calls, instead.
    chain: bool,
}

#[derive(Debug, Error)]
enum PlayError {
    #[error("can't write the table: {0}")]
    Write(#[from] io::Error),
    #[error("can't write a row as JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error("a simulation thread panicked; its results are missing")]
    ThreadPanicked,
}

fn main() -> ExitCode {
    match run(&options().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("yuccarack-player: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &Options) -> Result<(), PlayError> {
    let mut out = io::stdout().lock();
    if options.chain {
        return chain_table::write(options.seed, options.seeds, options.json, &mut out);
    }
    if !options.json {
        write_heading(&mut out)?;
    }
    for (fleet, services) in scenarios::FLEETS {
        if !is_selected(&options.fleet, fleet.name) {
            continue;
        }
        for scenario in scenarios::all(fleet) {
            if is_selected(&options.scenario, scenario.name) {
                play_scenario(options, &scenario, services, &mut out)?;
            }
        }
    }
    Ok(())
}

/// Plays one scenario with every selected policy, each on its own thread, and prints their rows.
fn play_scenario(
    options: &Options,
    scenario: &Scenario,
    services: u64,
    out: &mut impl Write,
) -> Result<(), PlayError> {
    let policies = Policy::ALL.into_iter().filter(|p| is_selected(&options.policy, p.as_str()));
    let rows: Vec<_> = thread::scope(|scope| {
        let threads: Vec<_> = policies
            .map(|policy| scope.spawn(move || play_policy(options, scenario, services, policy)))
            .collect();
        threads.into_iter().map(thread::ScopedJoinHandle::join).collect()
    });
    for row in rows {
        let row = row.map_err(|_| PlayError::ThreadPanicked)?;
        write_row(options, &row, out)?;
    }
    Ok(())
}

/// Plays one policy with a different seed for each service of the fleet, and adds up the results.
fn play_policy(options: &Options, scenario: &Scenario, services: u64, policy: Policy) -> Summary {
    let mut sum = Tally::new();
    for seed in options.seed..options.seed + options.seeds * services {
        sum.add(&play(scenario, policy, seed));
    }
    sum.summary(scenario.fleet.name, scenario.name, policy.as_str())
}

fn write_heading(out: &mut impl Write) -> io::Result<()> {
    writeln!(
        out,
        "{:9} {:16} {:15} {:>8} {:>6} {:>7} {:>7} {:>7} {:>7} {:>6} {:>6} {:>6} {:>6} {:>6} {:>7} {:>6} {:>8}",
        "fleet",
        "story",
        "policy",
        "calls",
        "intime",
        "goodput",
        "p50ms",
        "p99ms",
        "p999ms",
        "ref%",
        "fail%",
        "late%",
        "dup%",
        "light%",
        "measB/s",
        "age ms",
        "pollB/s"
    )
}

fn write_row(options: &Options, row: &Summary, out: &mut impl Write) -> Result<(), PlayError> {
    if options.json {
        serde_json::to_writer(&mut *out, row)?;
        writeln!(out)?;
        return Ok(());
    }
    writeln!(
        out,
        "{:9} {:16} {:15} {:8} {:6.2} {:7.1} {:7.1} {:7.1} {:7.1} {:6.2} {:6.2} {:6.2} {:6.2} {:6.2} {:7.0} {:6.1} {:8.0}",
        row.fleet,
        row.scenario,
        row.policy,
        row.offered,
        row.in_time_percent,
        row.goodput_percent,
        row.p50_ms,
        row.p99_ms,
        row.p999_ms,
        row.refused_percent,
        row.failed_percent,
        row.late_percent,
        row.duplicates_percent,
        row.light_in_time_percent,
        row.measuring_bytes_per_target_s,
        row.news_age_ms,
        row.polling_bytes_per_target_s,
    )?;
    out.flush()?;
    Ok(())
}

fn is_selected(only: &Option<String>, name: &str) -> bool {
    only.as_deref().is_none_or(|only| only == name)
}
