//! A real process of the system, started, signalled and never left behind.

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::{Path, PathBuf},
    process::{Child, ChildStdout, Command, ExitStatus, Stdio},
    sync::atomic::{AtomicBool, Ordering},
    thread::{JoinHandle, spawn},
    time::Duration,
};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tokio::{task::spawn_blocking, time::sleep};

/// Time between two looks at whether a process has ended.
const EXIT_LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// A daemon that runs; killed when dropped.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    /// Writes what else it says on its standard output to its log, until it ends.
    output: Option<JoinHandle<()>>,
    log: PathBuf,
    ready: Value,
    stopping: AtomicBool,
}

impl Daemon {
    /// Starts `program` with the settings at `settings`, its log at `log`, and waits until it
    /// serves.
    ///
    /// # Errors
    ///
    /// It can't be started or ended before it served.
    pub async fn start(program: &Path, settings: &Path, log: &Path) -> io::Result<Self> {
        Self::start_with(program, "--settings", settings, log).await
    }

    /// As [`Daemon::start`], with the option that names the settings.
    ///
    /// # Errors
    ///
    /// It can't be started or ended before it served.
    pub async fn start_with(
        program: &Path,
        option: &str,
        settings: &Path,
        log: &Path,
    ) -> io::Result<Self> {
        let log_file = File::options().create(true).append(true).open(log)?;
        let output_file = log_file.try_clone()?;
        let mut child = Command::new(program)
            .arg(option)
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log_file)
            .spawn()?;
        let output = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let (output, ready) = spawn_blocking(move || read_ready_line(output)).await??;
        let ready = serde_json::from_str(&ready).map_err(|_| {
            let _ = child.kill();
            let _ = child.wait();
            io::Error::other(format!("no ready line, see {}", log.display()))
        })?;
        Ok(Self {
            child,
            output: Some(spawn(move || copy_lines(output, output_file))),
            log: log.to_owned(),
            ready,
            stopping: AtomicBool::new(false),
        })
    }

    /// What it said when it was ready.
    pub fn ready(&self) -> &Value {
        &self.ready
    }

    /// Where its log is.
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Most memory that it has had resident so far, in KiB.
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn peak_memory_kib(&self) -> io::Result<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        number.and_then(|number| number.parse().ok()).ok_or(io::ErrorKind::InvalidData.into())
    }

    /// Processor time that its threads have used; that of threads which have ended isn't counted.
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn cpu_time(&self) -> io::Result<Duration> {
        let mut run_ns = 0;
        for thread in std::fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let schedule = std::fs::read_to_string(thread?.path().join("schedstat"))?;
            let first = schedule.split_whitespace().next().and_then(|word| word.parse().ok());
            run_ns += first.unwrap_or(0);
        }
        Ok(Duration::from_nanos(run_ns))
    }

    /// Files and sockets that it holds open.
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn open_descriptors(&self) -> io::Result<usize> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count())
    }

    /// Ends it at once, as a power cut would.
    pub fn kill(&mut self) {
        // It may have ended by itself; then there is nothing to kill.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(output) = self.output.take() {
            // It has nothing to return, and ends with the process.
            let _ = output.join();
        }
    }

    /// Freezes it.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks it to end gracefully.
    pub fn terminate(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.signal(Signal::TERM);
    }

    /// Asks it to read its settings anew.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Whether it was asked to end.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for its end.
    ///
    /// # Errors
    ///
    /// Its state can't be asked.
    pub async fn wait_exit(&mut self) -> io::Result<ExitStatus> {
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            sleep(EXIT_LOOK_INTERVAL).await;
        }
    }

    fn signal(&self, signal: Signal) {
        // A process that has ended takes no signal, and isn't reaped before `kill` or `ended`.
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads lines until the one with the addresses; those before it are log lines of the start.
fn read_ready_line(output: ChildStdout) -> io::Result<(BufReader<ChildStdout>, String)> {
    let mut reader = BufReader::new(output);
    loop {
        let mut line = String::new();
        let is_ended = reader.read_line(&mut line)? == 0;
        if is_ended || line.contains("\"call_address\"") {
            return Ok((reader, line));
        }
    }
}

fn copy_lines(mut output: BufReader<ChildStdout>, mut log: File) {
    // A log that can't be written ends with the test that wanted it.
    let _ = io::copy(&mut output, &mut log);
}
