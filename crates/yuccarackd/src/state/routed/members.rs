//! Membership table: all instances and the services that they serve.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

use parking_lot::RwLock;
use tokio::sync::watch;
use yuccarack_config::ids::{InstanceId, Revision};

use crate::protocol::peer_update::{RoutedMember, VersionedMember};

/// All instances and the services that they serve; clones share the table.
#[derive(Clone, Debug, Default)]
pub struct Members {
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    table: RwLock<Table>,
    generation: watch::Sender<u64>,
    /// Whether the full table has been read once.
    is_loaded: watch::Sender<bool>,
}

/// The rows, and the instance at each gate address.
#[derive(Debug, Default)]
struct Table {
    rows: HashMap<InstanceId, TableRow>,
    /// The instance with the latest row among those whose rows name the address.
    ///
    /// Guards against an instance that is lost while its row remains, and whose address is then
    /// assigned to an instance of another service. The gate there would refuse all requests sent by
    /// the old row.
    at_address: HashMap<SocketAddr, InstanceId>,
}

/// Latest known row of an instance; without a member once the row is removed from the store.
#[derive(Clone, Debug)]
struct TableRow {
    revision: Revision,
    member: Option<Arc<RoutedMember>>,
}

impl Members {
    /// Starts without members.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a number that rises with each change.
    pub fn generation(&self) -> u64 {
        *self.inner.generation.borrow()
    }

    /// Applies a row unless a newer one is known; `None` stands for a removed row. Returns whether
    /// it was applied.
    pub fn merge(&self, instance: &str, revision: Revision, member: Option<RoutedMember>) -> bool {
        let mut table = self.inner.table.write();
        if table.rows.get(instance).is_some_and(|row| row.revision >= revision) {
            return false;
        }
        table.set(instance, TableRow { revision, member: member.map(Arc::new) });
        drop(table);
        self.inner.generation.send_modify(|generation| *generation += 1);
        true
    }

    /// Removes the members that are missing from `listed`, a full read of the table at
    /// `revision`.
    pub fn drop_unlisted(&self, revision: Revision, listed: &[InstanceId]) {
        let listed: HashSet<&InstanceId> = listed.iter().collect();
        let mut table = self.inner.table.write();
        let is_removed = |instance: &InstanceId, row: &TableRow| {
            row.member.is_some() && row.revision <= revision && !listed.contains(instance)
        };
        let removed: Vec<InstanceId> = table
            .rows
            .iter()
            .filter(|(instance, row)| is_removed(instance, row))
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in &removed {
            table.set(instance, TableRow { revision, member: None });
        }
        drop(table);
        if !removed.is_empty() {
            self.inner.generation.send_modify(|generation| *generation += 1);
        }
    }

    /// Notes that the full table has been read.
    pub fn mark_loaded(&self) {
        self.inner.is_loaded.send_replace(true);
    }

    /// Returns whether the full table has been read once.
    pub fn is_loaded(&self) -> bool {
        *self.inner.is_loaded.borrow()
    }

    /// Waits until the full table has been read once.
    pub async fn wait_loaded(&self) {
        // The sender lives as long as `self`, so this can't fail.
        let _ = self.inner.is_loaded.subscribe().wait_for(|is_loaded| *is_loaded).await;
    }

    /// Returns the row of `instance` and its revision; 0 and `None` without a row.
    pub fn row(&self, instance: &str) -> (Revision, Option<Arc<RoutedMember>>) {
        let table = self.inner.table.read();
        match table.rows.get(instance) {
            Some(TableRow { revision, member: Some(member) }) => (*revision, Some(member.clone())),
            _ => (0, None),
        }
    }

    /// Returns the members that serve `service`.
    pub fn of_service(&self, service: &str) -> Vec<Arc<RoutedMember>> {
        let serves = |member: &Arc<RoutedMember>| member.service.as_deref() == Some(service);
        self.all().into_iter().filter(serves).collect()
    }

    /// Returns all members, except those whose address belongs to another instance by a later row.
    pub fn all(&self) -> Vec<Arc<RoutedMember>> {
        self.inner.table.read().present().cloned().collect()
    }

    /// Returns the number of members.
    pub fn count(&self) -> usize {
        self.inner.table.read().present().count()
    }

    /// Returns the instances other than `own` whose rows name the gate address `address`, with the
    /// revisions of the rows.
    pub fn others_at_address(&self, address: SocketAddr, own: &str) -> Vec<(InstanceId, Revision)> {
        let table = self.inner.table.read();
        let is_at_address = |row: &TableRow| {
            row.member.as_ref().is_some_and(|member| member.gate_address == address)
        };
        let others = table.rows.iter().filter(|(instance, _)| *instance != own);
        let matching = others.filter(|(_, row)| is_at_address(row));
        matching.map(|(instance, row)| (instance.clone(), row.revision)).collect()
    }

    /// Returns the number of members that have a service.
    pub fn serving_count(&self) -> usize {
        self.all().iter().filter(|member| member.service.is_some()).count()
    }

    /// Returns all rows that changed after `revision`, as sent to other daemons.
    pub fn changed_after(&self, revision: Revision) -> Vec<VersionedMember> {
        let table = self.inner.table.read();
        let changed = table.rows.iter().filter(|(_, row)| row.revision > revision);
        let versioned = changed.map(|(instance, row)| VersionedMember {
            instance: instance.clone(),
            revision: row.revision,
            member: row.member.as_deref().cloned(),
        });
        versioned.collect()
    }

    /// Subscribes to changes of the generation.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.inner.generation.subscribe()
    }
}

impl Table {
    fn set(&mut self, instance: &str, row: TableRow) {
        let new_address = row.member.as_ref().map(|member| member.gate_address);
        let revision = row.revision;
        let old = self.rows.insert(instance.to_owned(), row);
        let old_address = old.and_then(|old| old.member).map(|member| member.gate_address);
        if let Some(address) = old_address.filter(|address| Some(*address) != new_address)
            && self.at_address.get(&address).is_some_and(|occupant| occupant == instance)
        {
            self.find_latest_at(address);
        }
        let Some(address) = new_address else { return };
        let occupant = self.at_address.get(&address).and_then(|occupant| self.rows.get(occupant));
        if occupant.is_none_or(|occupant| occupant.revision <= revision) {
            self.at_address.insert(address, instance.to_owned());
        }
    }

    fn find_latest_at(&mut self, address: SocketAddr) {
        let is_at_address = |row: &TableRow| {
            row.member.as_ref().is_some_and(|member| member.gate_address == address)
        };
        let matching = self.rows.iter().filter(|(_, row)| is_at_address(row));
        match matching.max_by_key(|(_, row)| row.revision) {
            Some((instance, _)) => self.at_address.insert(address, instance.clone()),
            None => self.at_address.remove(&address),
        };
    }

    fn present(&self) -> impl Iterator<Item = &Arc<RoutedMember>> {
        let members = self.rows.values().filter_map(|row| row.member.as_ref());
        members.filter(|member| {
            self.at_address.get(&member.gate_address).is_none_or(|found| *found == member.instance)
        })
    }
}
