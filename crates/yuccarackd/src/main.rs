//! Entry point of the daemon: checks settings or serves until a stop signal.

use std::{path::Path, process::ExitCode};

use yuccarack_config::{
    errors::FileError, routed_settings::RoutedSettings, settings::DaemonSettings,
};
use yuccarackd::{
    daemon::{Daemon, DaemonError, routed::RoutedDaemon},
    logging,
    options::{Options, options},
    stop_signal,
};

/// Exit code for invalid settings; nothing was started.
const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    match options().run() {
        Options::Check { check } => report_check(DaemonSettings::load(&check)),
        Options::CheckRouted { check_routed } => report_check(RoutedSettings::load(&check_routed)),
        Options::Serve { settings } => serve(DaemonSettings::load(&settings), run),
        Options::Routed { routed_settings } => {
            let settings = RoutedSettings::load(&routed_settings);
            serve(settings, |settings| run_routed(settings, &routed_settings))
        }
    }
}

fn report_check<T>(settings: Result<T, FileError>) -> ExitCode {
    match settings {
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => reject_settings(&error),
    }
}

fn serve<T>(
    settings: Result<T, FileError>,
    run: impl FnOnce(T) -> Result<(), DaemonError>,
) -> ExitCode {
    let settings = match settings {
        Ok(settings) => settings,
        Err(error) => return reject_settings(&error),
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn reject_settings(error: &FileError) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(EXIT_INVALID_SETTINGS)
}

fn run(settings: DaemonSettings) -> Result<(), DaemonError> {
    let logger = logging::logger(&settings.log, &settings.instance);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(usize::from(settings.call_threads))
        .enable_all()
        .build()
        .map_err(DaemonError::Runtime)?;
    runtime.block_on(async {
        let daemon = Daemon::start(settings, logger).await?;
        println!("{}", daemon.ready_line());
        stop_signal::wait().await.map_err(DaemonError::Signal)?;
        daemon.stop().await
    })
}

/// Runs a daemon for routed calls on a single thread: it has a fifth of a core, where passing work
/// between threads costs more than it gains.
fn run_routed(settings: RoutedSettings, file: &Path) -> Result<(), DaemonError> {
    let logger = logging::routed_logger(&settings.log, &settings.instance);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(DaemonError::Runtime)?;
    runtime.block_on(async {
        let daemon = RoutedDaemon::start(settings, logger).await?;
        let mut reloads = stop_signal::reload_signals().map_err(DaemonError::Signal)?;
        let stop = stop_signal::wait();
        tokio::pin!(stop);
        loop {
            tokio::select! {
                stopped = &mut stop => {
                    stopped.map_err(DaemonError::Signal)?;
                    return daemon.stop().await;
                }
                _ = reloads.recv() => daemon.reload(file),
            }
        }
    })
}
