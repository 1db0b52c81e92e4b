//! Plan of a fleet: its programs, targets and settings.

use std::path::PathBuf;

use yuccarack_config::settings::BudgetSettings;

use crate::target::TargetOptions;

/// Failure domains; instances are assigned to them in turn.
pub const DOMAINS: [&str; 3] = ["sapporo", "asahikawa", "kushiro"];

/// Plan of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Path of the daemon's program.
    pub program: PathBuf,
    /// Path of the operators' program.
    pub operator_program: PathBuf,
    /// Seed of all random choices; printed at the start.
    pub seed: u64,
    /// Budgets in the settings of all daemons.
    pub budgets: BudgetSettings,
    /// Targets; each gets its own daemon.
    pub targets: Vec<TargetOptions>,
    /// Whether daemons reach their targets through a proxy. Without one, a target that is down
    /// refuses connections, as a dead process does; a proxy still accepts them.
    pub has_target_links: bool,
}

impl FleetPlan {
    /// Makes a plan for the daemon at `program` without targets; the operators' program is in the
    /// same folder, and is built there if it is missing.
    pub fn new(program: &str, seed: u64) -> Self {
        let program = PathBuf::from(program);
        Self {
            operator_program: program.with_file_name("yuccarackctl"),
            program,
            seed,
            budgets: BudgetSettings::default(),
            targets: Vec::new(),
            has_target_links: true,
        }
    }

    /// Removes the proxies between daemons and their targets.
    pub fn without_target_links(mut self) -> Self {
        self.has_target_links = false;
        self
    }

    /// Adds `count` targets of `service`.
    pub fn with_service(self, service: &str, count: usize) -> Self {
        self.with_targets(service, count, |_| {})
    }

    /// Adds `count` targets of `service`, with `change` applied to the options of each.
    pub fn with_targets(
        mut self,
        service: &str,
        count: usize,
        change: impl Fn(&mut TargetOptions),
    ) -> Self {
        for number in 1..=count {
            let mut options = TargetOptions::new(&format!("{service}-{number}"), service);
            options.seed = self.seed.wrapping_add(number as u64);
            options.announce_interval_ms = 200;
            change(&mut options);
            self.targets.push(options);
        }
        self
    }

    /// Changes the daemons' budgets.
    pub fn with_budgets(mut self, change: impl Fn(&mut BudgetSettings)) -> Self {
        change(&mut self.budgets);
        self
    }
}
