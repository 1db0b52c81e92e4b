//! Starts, signals and measures a real daemon process, and kills it at the end of a test.

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

/// Poll interval for the exit of a process.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A daemon process; killed when dropped.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    /// Thread that copies the standard output after the ready line to the log.
    output: Option<JoinHandle<()>>,
    log: PathBuf,
    ready: Value,
    stopping: AtomicBool,
}

impl Daemon {
    /// Starts `program` with the settings file `settings` and the log file `log`, and waits until
    /// it serves.
    ///
    /// # Errors
    ///
    /// The process can't be started, or it exits before it serves.
    pub async fn start(program: &Path, settings: &Path, log: &Path) -> io::Result<Self> {
        Self::start_with(program, "--settings", settings, log).await
    }

    /// Like [`Daemon::start`], with `option` as the command-line option for the settings file.
    ///
    /// # Errors
    ///
    /// The process can't be started, or it exits before it serves.
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

    /// Returns the ready line, which holds the daemon's addresses.
    pub fn ready(&self) -> &Value {
        &self.ready
    }

    /// Returns the path of the log.
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Returns the peak resident memory, in KiB.
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

    /// Returns the CPU time used by its present threads; exited threads aren't counted.
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn cpu_time(&self) -> io::Result<Duration> {
        let mut run_ns = 0;
        for thread in std::fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let schedule = std::fs::read_to_string(thread?.path().join("schedstat"))?;
            let run_time_ns = schedule.split_whitespace().next().and_then(|word| word.parse().ok());
            run_ns += run_time_ns.unwrap_or(0);
        }
        Ok(Duration::from_nanos(run_ns))
    }

    /// Returns the number of open file descriptors.
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn open_descriptors(&self) -> io::Result<usize> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(output) = self.output.take() {
            // The thread ends with the process, and a failed copy has no consequence.
            let _ = output.join();
        }
    }

    /// Suspends the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Requests a graceful stop with SIGTERM.
    pub fn terminate(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.signal(Signal::TERM);
    }

    /// Requests a reload of the settings with SIGHUP.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Whether a graceful stop has been requested.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits until the process exits.
    ///
    /// # Errors
    ///
    /// The state of the process can't be read.
    pub async fn wait_exit(&mut self) -> io::Result<ExitStatus> {
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            sleep(EXIT_POLL_INTERVAL).await;
        }
    }

    fn signal(&self, signal: Signal) {
        // Signalling an exited process fails without harm: it isn't reaped before `kill` or
        // `wait_exit`, so its id can't belong to another process.
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Reads up to the ready line, which holds the addresses; the lines before it are log lines.
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
    // An incomplete log isn't an error of the test.
    let _ = io::copy(&mut output, &mut log);
}
