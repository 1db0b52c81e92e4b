//! Loggers for structured logs of state changes, as JSON or for a terminal.

use slog::{Drain, Level, Logger, o};
use yuccarack_config::settings::{LogFormat, LogLevel, LogSettings};

/// Most log lines that are queued for writing. Further lines are dropped and counted, so that a
/// slow reader of the log never delays a call.
const QUEUED_LINES_MAX: usize = 1_024;

/// Creates the logger of a daemon for routed calls, which writes JSON lines to standard output.
pub fn routed_logger(settings: &LogSettings, instance: &str) -> Logger {
    let json =
        slog_json::Json::new(std::io::stdout()).add_default_keys().set_flush(true).build().fuse();
    let lines = slog_async::Async::new(json)
        .chan_size(QUEUED_LINES_MAX)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .filter_level(level(settings.level))
        .fuse();
    Logger::root(lines, o!("instance" => instance.to_owned()))
}

/// Creates the logger of a daemon in the format of the settings; it writes to standard error.
pub fn logger(settings: &LogSettings, instance: &str) -> Logger {
    let level = level(settings.level);
    let drain = match settings.format {
        LogFormat::Json => {
            let json = slog_json::Json::default(std::io::stderr()).fuse();
            slog_async::Async::new(json).build().filter_level(level).fuse()
        }
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let terminal = slog_term::FullFormat::new(decorator).build().fuse();
            slog_async::Async::new(terminal).build().filter_level(level).fuse()
        }
    };
    Logger::root(drain, o!("instance" => instance.to_owned()))
}

fn level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}
