//! Lists of relays as stored in the members table.

use std::{collections::HashMap, sync::Arc};

use parking_lot::Mutex;
use yuccarack_config::ids::{DomainName, Revision};

use crate::protocol::relay_list::RelayList;

/// Latest known list of each failure domain; clones share them.
#[derive(Clone, Debug, Default)]
pub struct RelayLists {
    lists: Arc<Mutex<HashMap<DomainName, (Revision, RelayList)>>>,
}

impl RelayLists {
    /// Starts without lists.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a row unless a newer one is known; `None` stands for a removed or unreadable one.
    pub fn merge(&self, failure_domain: &str, revision: Revision, list: Option<RelayList>) {
        let mut lists = self.lists.lock();
        let known = lists.get(failure_domain).map_or(0, |(revision, _)| *revision);
        if revision > known {
            lists.insert(failure_domain.to_owned(), (revision, list.unwrap_or_default()));
        }
    }

    /// Returns the list of `failure_domain` and its revision.
    pub fn get(&self, failure_domain: &str) -> Option<(Revision, RelayList)> {
        self.lists.lock().get(failure_domain).cloned()
    }
}
