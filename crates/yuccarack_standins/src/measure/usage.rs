//! Reads the resource usage of daemons from the operating system and from their counters.

use std::{collections::BTreeMap, fs};

use super::daemons::{Daemon, Daemons};

/// Name prefixes of the threads that do control work.
const CONTROL_THREADS: [&str; 2] = ["control", "nng:"];
/// Name prefixes of the threads that serve the admin endpoint.
const ADMIN_THREADS: [&str; 2] = ["admin", "xitca"];

/// Resource usage of one daemon since its start.
#[derive(Clone, Debug, Default)]
pub(super) struct Usage {
    pub(super) sent_bytes: u64,
    pub(super) received_bytes: u64,
    pub(super) skipped_exchanges: u64,
    pub(super) control_us: u64,
    pub(super) admin_us: u64,
    pub(super) other_us: u64,
    pub(super) resident_kib: u64,
    pub(super) threads: u64,
}

impl Usage {
    /// Returns the usage since `before`; memory and threads keep their current values.
    pub(super) fn since(&self, before: &Self) -> Self {
        Self {
            sent_bytes: self.sent_bytes.saturating_sub(before.sent_bytes),
            received_bytes: self.received_bytes.saturating_sub(before.received_bytes),
            skipped_exchanges: self.skipped_exchanges.saturating_sub(before.skipped_exchanges),
            control_us: self.control_us.saturating_sub(before.control_us),
            admin_us: self.admin_us.saturating_sub(before.admin_us),
            other_us: self.other_us.saturating_sub(before.other_us),
            resident_kib: self.resident_kib,
            threads: self.threads,
        }
    }

    fn add_thread(&mut self, name: &str, run_us: u64) {
        self.threads += 1;
        let is_one_of = |names: &[&str]| names.iter().any(|start| name.starts_with(start));
        if is_one_of(&CONTROL_THREADS) {
            self.control_us += run_us;
        } else if is_one_of(&ADMIN_THREADS) {
            self.admin_us += run_us;
        } else {
            self.other_us += run_us;
        }
    }
}

/// Returns the usage of each running daemon.
pub(super) async fn sample(daemons: &Daemons) -> Vec<Usage> {
    let mut usages = Vec::new();
    for daemon in daemons.running() {
        usages.push(usage(daemons, daemon).await);
    }
    usages
}

async fn usage(daemons: &Daemons, daemon: &Daemon) -> Usage {
    let mut usage = Usage::default();
    let counters: BTreeMap<String, u64> =
        daemons.client().get_json(daemon.admin, "/counters").await.unwrap_or_default();
    let counter = |name: &str| counters.get(name).copied().unwrap_or(0);
    usage.sent_bytes = counter("control.sent_bytes");
    usage.received_bytes = counter("control.received_bytes");
    usage.skipped_exchanges = counter("gossip.skipped");
    usage.resident_kib = resident_kib(daemon.process.id());
    let folder = format!("/proc/{}/task", daemon.process.id());
    for thread in fs::read_dir(folder).into_iter().flatten().flatten() {
        let name = fs::read_to_string(thread.path().join("comm")).unwrap_or_default();
        let schedule = fs::read_to_string(thread.path().join("schedstat")).unwrap_or_default();
        let run_ns: u64 = first_number(&schedule);
        usage.add_thread(&name, run_ns / 1_000);
    }
    usage
}

fn resident_kib(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.map_or(0, first_number)
}

fn first_number(text: &str) -> u64 {
    text.split_whitespace().next().and_then(|word| word.parse().ok()).unwrap_or(0)
}
