//! The target as its gate sees it: where it is, which rules hold, which slots are free.

use std::{net::SocketAddr, sync::Arc};

use http::Method;
use yuccarack_config::rules::{RouteRules, ServiceRules};
use yuccarack_platform::rows::TargetState;
use yuccarack_policy::admission::{AdmissionConfig, RouteShare};

use super::slots::Slots;
use crate::{
    protocol::refusal::{Reason, Refusal},
    state::own_target::TargetView,
};

/// A target that has announced itself and has rules.
#[derive(Clone)]
pub struct GateTarget {
    /// Its announcement.
    pub view: Arc<TargetView>,
    /// The rules in force.
    pub rules: Arc<ServiceRules>,
    /// Its slots.
    pub slots: Slots,
}

impl GateTarget {
    /// Takes a target in under the rules of its service.
    pub fn new(view: Arc<TargetView>, rules: Arc<ServiceRules>) -> Self {
        let slots = Slots::new(admission_config(view.announcement.slots, &rules));
        Self { view, rules, slots }
    }

    /// The same target under a new announcement or new rules, with the same slots in use.
    pub fn with_changes(&self, view: Arc<TargetView>, rules: Arc<ServiceRules>) -> Self {
        self.slots.configure(admission_config(view.announcement.slots, &rules));
        Self { view, rules, slots: self.slots.clone() }
    }

    /// Uses only `usable` of the announced slots, until the next announcement or rules.
    pub fn limit_slots(&self, usable: u16) {
        self.slots.configure(admission_config(usable, &self.rules));
    }

    /// Whether `view` speaks of the same life of the same target.
    pub fn is_same_process(&self, view: &TargetView) -> bool {
        let (old, new) = (&self.view.announcement, &view.announcement);
        old.service == new.service && old.boot_id == new.boot_id
    }

    /// Where the target takes calls.
    pub fn address(&self) -> SocketAddr {
        self.view.announcement.call_address
    }

    /// Says why the target takes no work, if it takes none.
    ///
    /// # Errors
    ///
    /// A refusal with the proof that nothing ran.
    pub fn check_ready(&self, service: &str) -> Result<(), Refusal> {
        if self.view.announcement.service != service {
            return Err(Refusal::not_run(Reason::NotReady));
        }
        match self.view.state() {
            TargetState::Ready => Ok(()),
            TargetState::Starting => Err(Refusal::not_run(Reason::NotReady)),
            TargetState::Draining | TargetState::Gone => Err(Refusal::not_run(Reason::Draining)),
        }
    }

    /// The route that takes a request, with its number.
    ///
    /// # Errors
    ///
    /// A refusal when no route takes it.
    pub fn find_route(&self, method: &Method, path: &str) -> Result<(usize, &RouteRules), Refusal> {
        let mut routes = self.rules.routes.iter().enumerate();
        routes
            .find(|(_, route)| route.matches(method.as_str(), path))
            .ok_or(Refusal::not_run(Reason::UnknownRoute))
    }
}

fn admission_config(slots: u16, rules: &ServiceRules) -> AdmissionConfig {
    let routes = rules.routes.iter();
    AdmissionConfig {
        slots,
        limits: rules.limits.clone(),
        routes: routes
            .map(|route| RouteShare { slot_share_percent: route.slot_share_percent })
            .collect(),
    }
}
