//! Chooses the service of a call and keeps the services that an entry knows.

use std::sync::Arc;

use yuccarack_config::{ids::ServiceName, routing::Route};
use yuccarack_policy::split::WeightedRoundRobin;

use super::{
    RoutedEntry,
    returns::uses_returns,
    service::{MembershipUpdate, RoutedService},
};
use crate::protocol::refusal::{Reason, Refusal};

impl RoutedEntry {
    pub(super) fn choose_service(&self, route: &Route) -> Result<ServiceName, Refusal> {
        if let [only] = route.split.as_slice() {
            return Ok(only.service.clone());
        }
        let weights: Vec<u32> = route.split.iter().map(|share| share.weight).collect();
        let mut splits = self.splits.lock();
        let is_known = splits.get(&route.name).is_some_and(|split| split.has_weights(&weights));
        if !is_known {
            splits.insert(route.name.clone(), WeightedRoundRobin::new(weights, &mut rand::rng()));
        }
        let share_index = splits.get_mut(&route.name).and_then(WeightedRoundRobin::next_part);
        let share = share_index.and_then(|index| route.split.get(index));
        share.map(|share| share.service.clone()).ok_or(Refusal::not_run(Reason::NoTarget))
    }

    pub(super) fn service(&self, name: &str) -> Arc<RoutedService> {
        // Both generations only increase, so a change of either increases their sum.
        let generation = self.parts.members.generation() + self.parts.evacuations.generation();
        let mut services = self.services.lock();
        let service = match services.get(name) {
            Some(service) => Arc::clone(service),
            None => {
                let entries = self.parts.members.count();
                let settings = self.parts.settings.current();
                let has_exact_reserve = uses_returns(&self.parts.routing);
                let service = Arc::new(RoutedService::new(&settings, entries, has_exact_reserve));
                services.insert(name.to_owned(), Arc::clone(&service));
                service
            }
        };
        drop(services);
        if !service.has_synced(generation) {
            let mut members = self.parts.members.of_service(name);
            members.retain(|it| !self.parts.evacuations.is_evacuated(&it.failure_domain));
            let local_domain = &self.parts.settings.current().failure_domain;
            let entries = self.parts.members.count();
            service.sync_members(generation, MembershipUpdate { local_domain, members, entries });
        }
        service
    }
}
