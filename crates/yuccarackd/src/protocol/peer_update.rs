//! Updates that daemons for routed calls exchange, so that few of them have to query the store.

use std::{fmt, net::SocketAddr, str::FromStr};

use http::{HeaderMap, HeaderValue};
use thiserror::Error;
use yuccarack_config::{
    ids::{DomainName, InstanceId, Revision, ServiceName},
    routing::{RoutingTable, RoutingVersion},
    shared_data,
};

use super::{
    forwarding,
    packed_changes::PackedChanges,
    packed_json::{PackError, unpack},
};

/// Header of a request for updates; its value is an [`UpdateRequest`].
pub const UPDATE_REQUEST: &str = "yuccarack-news";

/// Header of a request whose sender accepts changes of the routing table instead of the full table;
/// its value is an [`AcceptedChanges`].
pub const ACCEPTED_CHANGES: &str = "yuccarack-news-changes";

/// Header of a request whose sender accepts members in packed form; the value has no meaning.
pub const ACCEPTS_PACKED_MEMBERS: &str = "yuccarack-news-packed";

/// Largest packed changes that count as small, in bytes. Sent to ten daemons at once, they occupy a
/// link of 10 Mbit/s for half a second.
pub const SMALL_CHANGES_MAX_BYTES: usize = 64 * 1024;

/// Header in which a gate reports requests that were running when its target died, as a
/// comma-separated list of hex fingerprints.
pub const CRASH_SUSPECTS: &str = "yuccarack-crashed";

/// Header of a request that warns another daemon of a late response of the store, which may have lost
/// polls; the value has no meaning.
pub const STORE_WARNING: &str = "yuccarack-store-late";

/// Request of a daemon for updates from another daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpdateRequest {
    /// Version of the requester's routing table; only a newer table is sent.
    pub routing_version: RoutingVersion,
    /// Revision after which changed members are requested too; `None` requests no members.
    pub members_after: Option<Revision>,
    /// Whether the response is a stream with one line of JSON per change, until either side ends
    /// it.
    pub is_streaming: bool,
    /// Changes of the routing table that the requester accepts.
    pub changes: AcceptedChanges,
    /// Whether the requester accepts members in packed form.
    pub accepts_packed_members: bool,
}

/// Changes of the routing table that a daemon accepts instead of a full table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AcceptedChanges {
    /// No changes, only full tables.
    #[default]
    None,
    /// Changes of up to [`SMALL_CHANGES_MAX_BYTES`]. Larger ones are omitted without a replacement.
    Small,
    /// Changes of any size, or all routes if the base version is no longer known.
    All,
}

impl AcceptedChanges {
    /// Formats the header value; `None` if the header is omitted.
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
            // A value defined by a later version gets a full table as the response.
            _ => Self::None,
        }
    }
}

impl UpdateRequest {
    /// Parses the request from `headers`; returns `None` if they contain no request.
    ///
    /// # Errors
    ///
    /// Returns [`UpdateRequestError`] for a malformed header.
    pub fn from_headers(headers: &HeaderMap) -> Option<Result<Self, UpdateRequestError>> {
        let text = headers.get(UPDATE_REQUEST)?.to_str().map_err(|_| UpdateRequestError);
        let changes = AcceptedChanges::from_header(headers.get(ACCEPTED_CHANGES));
        let accepts_packed_members = headers.contains_key(ACCEPTS_PACKED_MEMBERS);
        let complete = |request: Self| Self { changes, accepts_packed_members, ..request };
        Some(text.and_then(str::parse).map(complete))
    }

    /// Writes the request into `headers`.
    pub fn write_to(&self, headers: &mut HeaderMap) {
        forwarding::set_header(headers, UPDATE_REQUEST, &self.to_string());
        if let Some(value) = self.changes.as_header() {
            forwarding::set_header(headers, ACCEPTED_CHANGES, value);
        }
        if self.accepts_packed_members {
            forwarding::set_header(headers, ACCEPTS_PACKED_MEMBERS, "1");
        }
    }
}

/// A malformed request for updates.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the update request header is malformed")]
pub struct UpdateRequestError;

impl fmt::Display for UpdateRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { routing_version, members_after, is_streaming, .. } = self;
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
                let accepts_packed_members = false;
                Ok(Self {
                    routing_version,
                    members_after,
                    is_streaming,
                    changes,
                    accepts_packed_members,
                })
            }
            Some(_) => Err(UpdateRequestError),
        }
    }
}

shared_data! {
    /// One instance and the service of its target; a row of the members table.
    pub struct RoutedMember {
        /// The instance.
        pub instance: InstanceId,
        /// Failure domain of the instance.
        pub failure_domain: DomainName,
        /// Address of the instance's gate.
        pub gate_address: SocketAddr,
        /// Service of its target; `None` while the instance has no target.
        pub service: Option<ServiceName>,
    }

    /// A row of the members table, or its removal, with a revision.
    pub struct VersionedMember {
        /// Key of the row: the instance.
        pub instance: InstanceId,
        /// Revision that wrote or removed the row.
        pub revision: Revision,
        /// The member; `None` once its row is removed.
        pub member: Option<RoutedMember>,
    }

    /// Evacuation state of a failure domain. Targets of an evacuated one receive no requests.
    pub struct VersionedEvacuation {
        /// The failure domain.
        pub failure_domain: DomainName,
        /// Revision that started or cancelled the evacuation.
        pub revision: Revision,
        /// Whether it is evacuated.
        pub is_evacuated: bool,
    }

    /// Revisions up to which the tables of the store are synced.
    pub struct SyncedRevisions {
        /// Revision up to which all changes of the operators' document, which contains the
        /// routing table, are known.
        pub routing: Revision,
        /// Revision up to which all changes of the members are known.
        pub members: Revision,
    }

    /// State that a daemon sends to another one.
    pub struct PeerUpdate {
        /// Version of the sender's routing table, 0 without one.
        pub routing_version: RoutingVersion,
        /// The table, if it is newer than the requester's and the requester doesn't accept changes.
        /// A streamed response omits large tables.
        pub routing: Option<RoutingTable>,
        /// Changes that the requester's table lacks, as far as the requester accepts changes.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub changes: Option<PackedChanges>,
        /// The members that were requested.
        pub members: Vec<VersionedMember>,
        /// The same in packed form instead, if there are many and the requester accepts that.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub packed_members: Option<String>,
        /// Whether these are all members, so that any other one has been removed.
        pub is_whole: bool,
        /// All evacuations known to the sender, including cancelled ones.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub evacuations: Vec<VersionedEvacuation>,
        /// Revisions up to which the sender is synced with the store; `None` while the store
        /// doesn't respond to it.
        pub known: Option<SyncedRevisions>,
    }
}

impl PeerUpdate {
    /// Unpacks the members.
    ///
    /// # Errors
    ///
    /// Returns a [`PackError`] if the packed form is invalid.
    pub fn unpack_members(&mut self) -> Result<(), PackError> {
        if let Some(packed) = self.packed_members.take() {
            self.members = unpack(&packed)?;
        }
        Ok(())
    }

    /// Returns the ids of all members and the revision of that list; `None` if the list is
    /// incomplete.
    pub fn complete_as_of(&self) -> Option<(Revision, Vec<InstanceId>)> {
        let synced = self.known.as_ref().filter(|_| self.is_whole)?;
        let listed = self.members.iter().filter(|row| row.member.is_some());
        Some((synced.members, listed.map(|row| row.instance.clone()).collect()))
    }
}
