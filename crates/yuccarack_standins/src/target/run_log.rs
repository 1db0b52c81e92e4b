//! Log of every request that started to run on a target; it outlives the target.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::Arc,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use parking_lot::Mutex;
use yuccarack_config::{wire_data, wire_kind};

wire_kind! {
    /// State of a run.
    pub enum RunState {
        /// Started and not yet ended.
        Running,
        /// Completed; it has had its full effect.
        Finished,
        /// Cancelled because the connection was closed.
        Cancelled,
        /// Cancelled at its deadline.
        Late,
        /// Interrupted by a crash of the target.
        Crashed,
    }
}

wire_data! {
    /// One request that started to run.
    pub struct Run {
        /// Name of the target that ran it.
        pub target: String,
        /// Incarnation of the target.
        pub boot_id: u64,
        /// Request id that the daemon sent.
        pub request: String,
        /// Attempt id that the daemon sent.
        pub attempt: String,
        /// Idempotency key; empty without one.
        pub key: String,
        /// HTTP method.
        pub method: String,
        /// Path and query.
        pub path: String,
        /// Hash over the path and the part of the body that had been read when the run started.
        pub body_hash: u64,
        /// Wall clock time of the start, in ms since 1970.
        pub began_at_unix_ms: u64,
        /// State of the run.
        pub state: RunState,
    }
}

/// Runs of one or more targets; clones share the log.
#[derive(Clone, Debug, Default)]
pub struct RunLog {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    runs: Mutex<Vec<(Run, Instant)>>,
    file: Mutex<Option<File>>,
}

impl RunLog {
    /// Makes a log that also appends a line for the start and the end of each run to the file at
    /// `path`.
    ///
    /// # Errors
    ///
    /// The file can't be opened.
    pub fn with_file(path: &Path) -> io::Result<Self> {
        let run_log = Self::default();
        let file = File::options().create(true).append(true).open(path)?;
        *run_log.shared.file.lock() = Some(file);
        Ok(run_log)
    }

    /// Returns all runs so far, in the order of their starts.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().iter().map(|(run, _)| run.clone()).collect()
    }

    /// Returns the runs with the idempotency key `key`.
    pub fn runs_of_key(&self, key: &str) -> Vec<Run> {
        self.filter_runs(|run| run.key == key)
    }

    /// Returns the runs of all attempts of the request with the id `request`.
    pub fn runs_of_request(&self, request: &str) -> Vec<Run> {
        self.filter_runs(|run| run.request == request)
    }

    /// Returns the runs whose path contains `part`.
    pub fn runs_of_path(&self, part: &str) -> Vec<Run> {
        self.filter_runs(|run| run.path.contains(part))
    }

    /// Returns the runs that started after `instant`.
    pub fn runs_since(&self, instant: Instant) -> Vec<Run> {
        let runs = self.shared.runs.lock();
        let later = runs.iter().filter(|(_, began_at)| *began_at > instant);
        later.map(|(run, _)| run.clone()).collect()
    }

    /// Logs the start of `run`; to be called before the run has any effect.
    pub fn begin(&self, run: Run) -> RunGuard {
        self.write_line(&run);
        let mut runs = self.shared.runs.lock();
        runs.push((run, Instant::now()));
        RunGuard {
            run_log: self.clone(),
            index: runs.len() - 1,
            state_on_drop: RunState::Cancelled,
        }
    }

    fn filter_runs(&self, matches_run: impl Fn(&Run) -> bool) -> Vec<Run> {
        let runs = self.shared.runs.lock();
        runs.iter().map(|(run, _)| run).filter(|run| matches_run(run)).cloned().collect()
    }

    fn end(&self, place: usize, state: RunState) {
        let mut runs = self.shared.runs.lock();
        let run = &mut runs[place].0;
        if run.state != RunState::Running {
            return;
        }
        run.state = state;
        self.write_line(run);
    }

    fn write_line(&self, run: &Run) {
        let mut file = self.shared.file.lock();
        let Some(file) = file.as_mut() else { return };
        let Ok(mut line) = serde_json::to_vec(run) else { return };
        line.push(b'\n');
        // Tests can't be checked against an incomplete log, so the stand-in panics.
        file.write_all(&line).expect("the run log's file can't be written");
    }
}

/// A started run; dropped without an end, it counts as cancelled.
#[derive(Debug)]
pub struct RunGuard {
    run_log: RunLog,
    index: usize,
    state_on_drop: RunState,
}

impl RunGuard {
    /// Logs how the run ended; only the first end counts.
    pub fn end(&self, state: RunState) {
        self.run_log.end(self.index, state);
    }

    /// Sets the state that a drop without an end logs.
    pub fn set_state_on_drop(&mut self, state: RunState) {
        self.state_on_drop = state;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.end(self.state_on_drop);
    }
}

/// Returns the wall clock time, in ms since 1970.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
