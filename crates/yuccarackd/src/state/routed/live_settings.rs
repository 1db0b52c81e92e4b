//! The settings of this process, which may change while it runs.

use std::{path::Path, sync::Arc};

use parking_lot::RwLock;
use yuccarack_config::{faults::FileError, routed_settings::RoutedSettings};

/// The settings of this process; clones share them.
#[derive(Clone, Debug)]
pub struct LiveSettings {
    current: Arc<RwLock<Arc<RoutedSettings>>>,
}

/// What a new reading of the settings changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reloaded {
    /// Nothing.
    Same,
    /// What can change while the process runs.
    Changed,
    /// Something else too, which takes effect at the next start.
    ChangedInPart,
}

impl LiveSettings {
    /// Starts with `settings`.
    pub fn new(settings: RoutedSettings) -> Self {
        Self { current: Arc::new(RwLock::new(Arc::new(settings))) }
    }

    /// The settings in force.
    pub fn current(&self) -> Arc<RoutedSettings> {
        Arc::clone(&self.current.read())
    }

    /// Reads the file at `path` anew; addresses, names and logs stay as they were at the start.
    ///
    /// # Errors
    ///
    /// The file can't be read, or all of its faults; what was in force stays so.
    pub fn reload(&self, path: &Path) -> Result<Reloaded, FileError> {
        let read = RoutedSettings::load(path)?;
        let old = self.current();
        if read == *old {
            return Ok(Reloaded::Same);
        }
        let new = RoutedSettings {
            service: read.service.clone(),
            regions: read.regions.clone(),
            routing_file: read.routing_file.clone(),
            bounds: read.bounds.clone(),
            is_first_start: read.is_first_start,
            ..(*old).clone()
        };
        let is_whole = new == read;
        *self.current.write() = Arc::new(new);
        Ok(if is_whole { Reloaded::Changed } else { Reloaded::ChangedInPart })
    }
}
