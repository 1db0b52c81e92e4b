//! What daemons for routed calls tell each other, so that few of them need ask the store.

use std::{fmt, net::SocketAddr, str::FromStr};

use http::{HeaderMap, HeaderValue};
use thiserror::Error;
use yuccarack_config::{
    ids::{DomainName, InstanceId, Revision, ServiceName},
    routing::{RoutingTable, RoutingVersion},
    shared_data,
};

use super::{forwarding, packed_changes::PackedChanges};

/// Header of a question for news; its value is a [`UpdateRequest`].
pub const UPDATE_REQUEST: &str = "yuccarack-news";

/// Header of a question whose asker takes changes of the routing table instead of the whole; its value
/// says which, as in [`AcceptedChanges`].
pub const ACCEPTED_CHANGES: &str = "yuccarack-news-changes";

/// Largest packed changes that count as small, in bytes: sent to ten daemons at once, they keep a link of
/// 10 Mbit/s busy for half a second.
pub const SMALL_CHANGES_MAX_BYTES: usize = 64 * 1024;

/// Header by which a gate tells others of requests that were running when its target died: their
/// fingerprints in hex, with commas between.
pub const CRASH_SUSPECTS: &str = "yuccarack-crashed";

/// What a daemon asks another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpdateRequest {
    /// Routing table of the asker; only a newer one is told.
    pub routing_version: RoutingVersion,
    /// Whether members are wanted too: those whose rows are newer than this.
    pub members_after: Option<Revision>,
    /// Whether the answer goes on with each change, a line of JSON for each, until one side ends it.
    pub is_streaming: bool,
    /// Changes of the routing table that the asker takes.
    pub changes: AcceptedChanges,
}

/// Changes of the routing table that a daemon takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AcceptedChanges {
    /// None: it takes whole tables only.
    #[default]
    None,
    /// Changes of up to [`SMALL_CHANGES_MAX_BYTES`], and nothing instead of larger ones.
    Small,
    /// Changes of any size; of a version that isn't known any more, all routes.
    All,
}

impl AcceptedChanges {
    /// How the header spells it; none where the header is left out.
    fn as_header(self) -> Option<&'static str> {
        match self {
            Self::None => None,
            Self::Small => Some("small"),
            Self::All => Some("all"),
        }
    }

    fn from_header(value: Option<&HeaderValue>) -> Self {
        match value.map(HeaderValue::as_bytes) {
            Some(b"small") => Self::Small,
            Some(b"all") => Self::All,
            // What a later version means by another word is answered with a whole table.
            _ => Self::None,
        }
    }
}

impl UpdateRequest {
    /// Reads the question from `headers`; none if there is no question.
    ///
    /// # Errors
    ///
    /// [`UpdateRequestError`].
    pub fn from_headers(headers: &HeaderMap) -> Option<Result<Self, UpdateRequestError>> {
        let text = headers.get(UPDATE_REQUEST)?.to_str().map_err(|_| UpdateRequestError);
        let changes = AcceptedChanges::from_header(headers.get(ACCEPTED_CHANGES));
        Some(text.and_then(str::parse).map(|question: Self| Self { changes, ..question }))
    }

    /// Writes the question into `headers`.
    pub fn write_to(&self, headers: &mut HeaderMap) {
        forwarding::set_header(headers, UPDATE_REQUEST, &self.to_string());
        if let Some(value) = self.changes.as_header() {
            forwarding::set_header(headers, ACCEPTED_CHANGES, value);
        }
    }
}

/// A question for news in another form.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the question for news can't be read")]
pub struct UpdateRequestError;

impl fmt::Display for UpdateRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { routing_version, members_after, is_streaming, changes: _ } = self;
        match members_after {
            Some(revision) => write!(f, "{routing_version};{revision};{}", u8::from(*is_streaming)),
            None => write!(f, "{routing_version};-;{}", u8::from(*is_streaming)),
        }
    }
}

impl FromStr for UpdateRequest {
    type Err = UpdateRequestError;

    fn from_str(text: &str) -> Result<Self, UpdateRequestError> {
        let mut fields = text.split(';');
        let mut next = || fields.next().ok_or(UpdateRequestError);
        let routing_version = next()?.parse().map_err(|_| UpdateRequestError)?;
        let members_after = match next()? {
            "-" => None,
            revision => Some(revision.parse().map_err(|_| UpdateRequestError)?),
        };
        let is_streaming = match next()? {
            "0" => false,
            "1" => true,
            _ => return Err(UpdateRequestError),
        };
        match fields.next() {
            None => {
                let changes = AcceptedChanges::None;
                Ok(Self { routing_version, members_after, is_streaming, changes })
            }
            Some(_) => Err(UpdateRequestError),
        }
    }
}

shared_data! {
    /// One instance and what it serves; a row of the members' table.
    pub struct RoutedMember {
        /// The instance.
        pub instance: InstanceId,
        /// Failure domain of the instance.
        pub failure_domain: DomainName,
        /// Where its gate is reached.
        pub gate_address: SocketAddr,
        /// Service that its target serves; none while it has no target.
        pub service: Option<ServiceName>,
    }

    /// A row of the members' table as it stands or as it went.
    pub struct VersionedMember {
        /// Key of the row: the instance.
        pub instance: InstanceId,
        /// Revision that wrote it or took it away.
        pub revision: Revision,
        /// The member; none once its row was taken away.
        pub member: Option<RoutedMember>,
    }

    /// Whether a failure domain is evacuated: nothing more is sent to its targets.
    pub struct VersionedEvacuation {
        /// The failure domain.
        pub failure_domain: DomainName,
        /// Revision that evacuated it or took that back.
        pub revision: Revision,
        /// Whether it is evacuated.
        pub is_evacuated: bool,
    }

    /// Up to where the store's tables are known.
    pub struct SyncedRevisions {
        /// Revision up to which all changes of the operators' document are known.
        pub routing: Revision,
        /// Revision up to which all changes of the members are known.
        pub members: Revision,
    }

    /// What a daemon knows.
    pub struct PeerUpdate {
        /// Version of its routing table, 0 without one.
        pub routing_version: RoutingVersion,
        /// The table, if it is newer than the asker's and that one doesn't take changes; an answer that
        /// goes on leaves large ones out.
        pub routing: Option<RoutingTable>,
        /// What the asker's table lacks, as far as it takes changes.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub changes: Option<PackedChanges>,
        /// The members that were asked for.
        pub members: Vec<VersionedMember>,
        /// Whether those are all that there are; others have gone.
        pub is_whole: bool,
        /// All evacuations that it knows, with those that were taken back.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub evacuations: Vec<VersionedEvacuation>,
        /// Up to where it knows the store's tables; none while the store doesn't answer it.
        pub known: Option<SyncedRevisions>,
    }
}

impl PeerUpdate {
    /// All members that there are, and the revision as of which that is so; none if not all are told.
    pub fn complete_as_of(&self) -> Option<(Revision, Vec<InstanceId>)> {
        let known = self.known.as_ref().filter(|_| self.is_whole)?;
        let listed = self.members.iter().filter(|dated| dated.member.is_some());
        Some((known.members, listed.map(|dated| dated.instance.clone()).collect()))
    }
}
