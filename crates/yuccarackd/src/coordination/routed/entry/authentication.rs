//! Authentication of callers by the keys of their organisations.

use http::HeaderMap;
use yuccarack_config::{
    ids::OrganisationName,
    organisations::{KeyDigest, Organisation},
    routing::{Route, Routing},
};
use yuccarack_platform_wire::authorization;

use crate::protocol::{
    hop::HopOrganisation,
    refusal::{Reason, Refusal},
};

/// Organisation that a call belongs to, and the key by which it was found.
#[derive(Clone, Debug)]
pub struct CallerOrganisation {
    /// Name of the organisation, which is passed to the target.
    pub name: OrganisationName,
    /// The organisation as passed to gates.
    pub hop: HopOrganisation,
    key: KeyDigest,
}

impl CallerOrganisation {
    fn new(organisation: &Organisation, key: KeyDigest) -> Self {
        let hop = HopOrganisation { rank: organisation.rank, id: organisation.id() };
        Self { name: organisation.name.clone(), hop, key }
    }

    /// Checks that the organisation still holds the key, as operators may have removed it since the
    /// call arrived.
    ///
    /// # Errors
    ///
    /// Returns a refusal with [`Reason::Unauthorized`].
    pub fn check(&self, routing: &Routing) -> Result<(), Refusal> {
        let holder = routing.find_organisation(&self.key);
        match holder.is_some_and(|holder| holder.name == self.name) {
            true => Ok(()),
            false => Err(Refusal::not_run(Reason::Unauthorized)),
        }
    }
}

/// Returns the organisation of a request to `route`; `None` if the request needs no key.
///
/// # Errors
///
/// Returns a refusal with [`Reason::Unauthorized`] if the key is missing or not known.
pub fn authenticate(
    routing: &Routing,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<CallerOrganisation>, Refusal> {
    if !routing.requires_key() || route.allows_anonymous {
        return Ok(None);
    }
    let unauthorized = || Refusal::not_run(Reason::Unauthorized);
    let key = authorization::key_digest(headers).ok_or_else(unauthorized)?;
    let organisation = routing.find_organisation(&key).ok_or_else(unauthorized)?;
    Ok(Some(CallerOrganisation::new(organisation, key)))
}
