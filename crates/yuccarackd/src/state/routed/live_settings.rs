//! Settings of this process, which may be reloaded while it runs.

use std::{path::Path, sync::Arc};

use parking_lot::RwLock;
use yuccarack_config::{faults::FileError, routed_settings::RoutedSettings};

/// The settings of this process; clones share them.
#[derive(Clone, Debug)]
pub struct LiveSettings {
    current: Arc<RwLock<Arc<RoutedSettings>>>,
}

/// Effect of reloading the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReloadOutcome {
    /// The settings are the same as before.
    Same,
    /// All changes are in force.
    Changed,
    /// Some changes take effect only at the next start.
    ChangedInPart,
}

impl LiveSettings {
    /// Starts with `settings`.
    pub fn new(settings: RoutedSettings) -> Self {
        Self { current: Arc::new(RwLock::new(Arc::new(settings))) }
    }

    /// Returns the settings in force.
    pub fn current(&self) -> Arc<RoutedSettings> {
        Arc::clone(&self.current.read())
    }

    /// Reloads the file at `path`. Addresses, names and log settings stay as they were at the
    /// start.
    ///
    /// # Errors
    ///
    /// Returns a [`FileError`] if the file can't be read or is invalid; the settings in force stay.
    pub fn reload(&self, path: &Path) -> Result<ReloadOutcome, FileError> {
        let loaded = RoutedSettings::load(path)?;
        let old = self.current();
        if loaded == *old {
            return Ok(ReloadOutcome::Same);
        }
        let new = RoutedSettings {
            service: loaded.service.clone(),
            regions: loaded.regions.clone(),
            routing_file: loaded.routing_file.clone(),
            bounds: loaded.bounds.clone(),
            is_first_start: loaded.is_first_start,
            ..(*old).clone()
        };
        let is_fully_applied = new == loaded;
        *self.current.write() = Arc::new(new);
        Ok(if is_fully_applied { ReloadOutcome::Changed } else { ReloadOutcome::ChangedInPart })
    }
}
