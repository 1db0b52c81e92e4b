//! The target of a gate: its announcement, the rules in force and its slots.

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

/// A target that has announced itself and whose service has rules.
#[derive(Clone)]
pub struct GateTarget {
    /// The target's announcement and state.
    pub view: Arc<TargetView>,
    /// Rules in force for its service.
    pub rules: Arc<ServiceRules>,
    /// Slots and queue of the target.
    pub slots: Slots,
}

impl GateTarget {
    /// Creates a target with free slots, configured by the rules of its service.
    pub fn new(view: Arc<TargetView>, rules: Arc<ServiceRules>) -> Self {
        let slots = Slots::new(admission_config(view.announcement.slots, &rules));
        Self { view, rules, slots }
    }

    /// Returns the same target under a new announcement or new rules; the slots in use stay in use.
    pub fn with_changes(&self, view: Arc<TargetView>, rules: Arc<ServiceRules>) -> Self {
        self.slots.configure(admission_config(view.announcement.slots, &rules));
        Self { view, rules, slots: self.slots.clone() }
    }

    /// Limits the slots to `usable` of the announced ones, until the next announcement or rules.
    pub fn limit_slots(&self, usable: u16) {
        self.slots.configure(admission_config(usable, &self.rules));
    }

    /// Returns whether `view` is of the same process of the same service's target.
    pub fn is_same_process(&self, view: &TargetView) -> bool {
        let (old, new) = (&self.view.announcement, &view.announcement);
        old.service == new.service && old.boot_id == new.boot_id
    }

    /// Returns the address on which the target accepts requests.
    pub fn address(&self) -> SocketAddr {
        self.view.announcement.call_address
    }

    /// Checks that the target belongs to `service` and accepts requests.
    ///
    /// # Errors
    ///
    /// Returns a refusal as not run if it doesn't.
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

    /// Returns the first route that matches a request, with its index in the rules.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no route matches.
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
