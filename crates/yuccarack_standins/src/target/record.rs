//! The record of every request that began to run on a target, kept past the target's death.

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
    /// How a run went on.
    pub enum RunState {
        /// It began and has not ended.
        Running,
        /// It has had its whole effect.
        Finished,
        /// It was given up, since the connection was gone.
        Cancelled,
        /// It was given up at its deadline.
        Late,
        /// Its target died with it.
        Crashed,
    }
}

wire_data! {
    /// One request that began to run.
    pub struct Run {
        /// Instance or service that ran it, as the target names itself.
        pub target: String,
        /// Life of the target.
        pub boot_id: u64,
        /// The request's name, as the daemon said it.
        pub request: String,
        /// The attempt's name, as the daemon said it.
        pub attempt: String,
        /// The caller's key, empty without one.
        pub key: String,
        /// Method of the request.
        pub method: String,
        /// Path and query of the request.
        pub path: String,
        /// Hash over path and body as far as it was read when the run began.
        pub body_hash: u64,
        /// Wall clock at the begin, in ms since 1970.
        pub began_at_unix_ms: u64,
        /// How it went on.
        pub state: RunState,
    }
}

/// Runs of one or more targets; clones share them.
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
    /// Makes a log that also writes a line for each begin and each end to the file at `path`.
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

    /// All runs so far, in the order of their begin.
    pub fn runs(&self) -> Vec<Run> {
        self.shared.runs.lock().iter().map(|(run, _)| run.clone()).collect()
    }

    /// The runs of the request with the caller's `key`.
    pub fn runs_of_key(&self, key: &str) -> Vec<Run> {
        self.runs_that(|run| run.key == key)
    }

    /// The runs of the attempts of the request named `request`.
    pub fn runs_of_request(&self, request: &str) -> Vec<Run> {
        self.runs_that(|run| run.request == request)
    }

    /// The runs whose path contains `part`.
    pub fn runs_of_path(&self, part: &str) -> Vec<Run> {
        self.runs_that(|run| run.path.contains(part))
    }

    /// The runs that began after `instant`.
    pub fn runs_since(&self, instant: Instant) -> Vec<Run> {
        let runs = self.shared.runs.lock();
        let later = runs.iter().filter(|(_, began_at)| *began_at > instant);
        later.map(|(run, _)| run.clone()).collect()
    }

    /// Writes down that `run` begins, before any of it does.
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

    fn runs_that(&self, fits: impl Fn(&Run) -> bool) -> Vec<Run> {
        let runs = self.shared.runs.lock();
        runs.iter().map(|(run, _)| run).filter(|run| fits(run)).cloned().collect()
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
        // A record that can't be kept makes every proof void, so the stand-in ends.
        file.write_all(&line).expect("the record's file takes no more");
    }
}

/// A run that has begun; dropped without an end, it counts as cancelled.
#[derive(Debug)]
pub struct RunGuard {
    run_log: RunLog,
    index: usize,
    state_on_drop: RunState,
}

impl RunGuard {
    /// Writes down how the run ended; only the first end counts.
    pub fn end(&self, state: RunState) {
        self.run_log.end(self.index, state);
    }

    /// Says what a drop without an end stands for.
    pub fn set_state_on_drop(&mut self, state: RunState) {
        self.state_on_drop = state;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.end(self.state_on_drop);
    }
}

/// The wall clock, in ms since 1970.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
