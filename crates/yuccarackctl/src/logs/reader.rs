//! Reads log files of any length, plain or packed by gzip, line by line.

use std::{
    fs::File,
    io::{self, BufRead, BufReader, Read},
    path::{Path, PathBuf},
};

use flate2::bufread::MultiGzDecoder;
use thiserror::Error;

use super::Event;

/// First bytes of a file that gzip packed.
const GZIP_MAGIC: [u8; 2] = [0x1f, 0x8b];

/// Longest line that is read; a daemon's have some 500 bytes, and what is longer is no line of one.
const LINE_MAX_BYTES: u64 = 1 << 20;

/// A log that can't be read.
#[derive(Debug, Error)]
#[error("{path}: {error}")]
pub struct LogError {
    /// The file.
    pub path: PathBuf,
    /// Why.
    pub error: io::Error,
}

/// Hands each line of `path` that a daemon wrote to `take`; the number of other lines.
///
/// Memory is that of one line, whatever the length of the file. Lines of others, as a service
/// manager may add, are counted and left out.
///
/// # Errors
///
/// The file can't be read to its end.
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
