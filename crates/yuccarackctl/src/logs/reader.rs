//! Reader of log files, plain or gzip, line by line.

use std::{
    fs::File,
    io::{self, BufRead, BufReader, Read},
    path::{Path, PathBuf},
};

use flate2::bufread::MultiGzDecoder;
use thiserror::Error;

use super::Event;

/// Magic number of gzip files.
const GZIP_MAGIC: [u8; 2] = [0x1f, 0x8b];

/// Maximum length of a line; the rest of a longer one is read as another line. Lines of daemons
/// have some 500 bytes, so a longer one is not from a daemon.
const LINE_MAX_BYTES: u64 = 1 << 20;

/// Error of reading a log file.
#[derive(Debug, Error)]
#[error("{path}: {error}")]
pub struct LogError {
    /// Path of the log file.
    pub path: PathBuf,
    /// Underlying error.
    pub error: io::Error,
}

/// Passes each log line of a daemon in `path` to `handle`; returns the number of other lines.
///
/// Only one line is held in memory, whatever the length of the file. Other lines, such as those
/// that a service manager adds, are skipped.
///
/// # Errors
///
/// Returns an error if the file can't be read to its end.
pub fn for_each_event(path: &Path, mut handle: impl FnMut(Event)) -> Result<u64, LogError> {
    let log_error = |error| LogError { path: path.to_owned(), error };
    let mut lines = open(path).map_err(log_error)?;
    let mut line = Vec::new();
    let mut other_lines = 0;
    loop {
        line.clear();
        let bytes_read = lines.as_mut().take(LINE_MAX_BYTES).read_until(b'\n', &mut line);
        if bytes_read.map_err(log_error)? == 0 {
            return Ok(other_lines);
        }
        match serde_json::from_slice(&line) {
            Ok(event) => handle(event),
            Err(_) if line.trim_ascii().is_empty() => {}
            Err(_) => other_lines += 1,
        }
    }
}

fn open(path: &Path) -> io::Result<Box<dyn BufRead>> {
    let mut file = BufReader::new(File::open(path)?);
    let is_gzip = file.fill_buf()?.starts_with(&GZIP_MAGIC);
    Ok(match is_gzip {
        true => Box::new(BufReader::new(MultiGzDecoder::new(file))),
        false => Box::new(file),
    })
}
