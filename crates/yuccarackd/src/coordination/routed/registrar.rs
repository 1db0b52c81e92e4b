//! Writes the first rows of the instances of a failure domain together.
//!
//! When a whole fleet starts for the first time, each instance adds a row. One partition of the store
//! handles some 150 transactions a second, so 2,500 single writes would take 17 s, and most of them
//! would be refused and retried meanwhile. The first daemon of a failure domain that finds no list of
//! relays creates it and becomes the registrar, to which the others send their rows.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, timeout_at},
};
use yuccarack_config::ids::{DomainName, Revision};
use yuccarack_platform::feed::{FeedError, FeedWrite};
use yuccarack_policy::relays::relays_of;

use super::{
    departure_store::DEPARTURES_TABLE,
    events::EventLog,
    log_lines::{RegistrationsNotWritten, RegistrationsWritten},
    row_publisher::FIRST_WRITE_SPREAD,
    store_client::{StoreClient, StorePurpose},
    store_follower::MEMBERS_TABLE,
};
use crate::{
    protocol::{
        body::{self, CallBody},
        peer_update::RoutedMember,
        registration::{self, Registration},
        relay_list::{RelayAddress, RelayList, relay_list_key},
    },
    state::routed::{known_relays::KnownRelays, members::Members},
};

/// Rows of one transaction. Each takes three of the 100 conditions and writes that the store accepts
/// together; the list of relays takes two more.
const ROWS_PER_WRITE: usize = 32;

/// Time after the registrar's own start in which rows are collected: all instances start within it.
const COLLECT_TIME: Duration = FIRST_WRITE_SPREAD.saturating_add(Duration::from_millis(500));

/// Time in which rows that arrive later are collected.
const COLLECT_TIME_LATE: Duration = Duration::from_millis(50);

/// Longest wait of an instance for its registration.
pub const REGISTRATION_TIMEOUT: Duration = COLLECT_TIME.saturating_add(Duration::from_secs(1));

/// Most registrations that wait for the registrar; a failure domain has some hundred instances.
const QUEUE_LENGTH: usize = 1_024;

/// Access to the registrar of this daemon; clones share it.
#[derive(Clone)]
pub struct Registrar {
    messages: mpsc::Sender<Message>,
}

/// Dependencies of the registrar.
pub struct RegistrarParts {
    /// Failure domain whose instances register here.
    pub failure_domain: DomainName,
    /// Client of the store.
    pub store: StoreClient,
    /// Members known to this daemon, to which the registered ones are added.
    pub members: Members,
    /// Relays found at the start, which the registrar determines itself.
    pub known_relays: KnownRelays,
    /// Log for written rows.
    pub events: EventLog,
}

/// Task of the registrar.
pub struct RegistrarTask {
    messages: mpsc::Receiver<Message>,
    parts: RegistrarParts,
}

enum Message {
    /// This daemon created the list of relays, at this revision.
    Opened(Revision),
    /// An instance registers.
    Registered(PendingRegistration),
}

struct PendingRegistration {
    member: RoutedMember,
    response: oneshot::Sender<Registration>,
}

impl Registrar {
    /// Creates the registrar, which refuses registrations until it is opened.
    pub fn new(parts: RegistrarParts) -> (Self, RegistrarTask) {
        let (sender, messages) = mpsc::channel(QUEUE_LENGTH);
        (Self { messages: sender }, RegistrarTask { messages, parts })
    }

    /// Starts to register instances; the list of relays was created at `revision`.
    pub async fn open(&self, revision: Revision) {
        // The task ends with the daemon only.
        let _ = self.messages.send(Message::Opened(revision)).await;
    }

    /// Responds to the registration of an instance once its row is written.
    pub async fn respond(&self, body: CallBody) -> Response<CallBody> {
        let registration = match registration::decode_request(body).await {
            Ok(member) => self.register(member).await,
            Err(_) => return status_only(StatusCode::BAD_REQUEST),
        };
        let response = registration.and_then(|it| registration::encode_response(&it).ok());
        response.unwrap_or_else(|| status_only(StatusCode::SERVICE_UNAVAILABLE))
    }

    async fn register(&self, member: RoutedMember) -> Option<Registration> {
        let (response, registration) = oneshot::channel();
        let pending = PendingRegistration { member, response };
        self.messages.try_send(Message::Registered(pending)).ok()?;
        registration.await.ok()
    }
}

impl RegistrarTask {
    /// Runs until it is dropped. Registrations are refused until the registrar is opened.
    pub async fn run(mut self) {
        let list_revision = loop {
            match self.messages.recv().await {
                Some(Message::Opened(revision)) => break revision,
                Some(Message::Registered(refused)) => drop(refused),
                None => return,
            }
        };
        let first = self.collect(Instant::now() + COLLECT_TIME).await;
        self.write(first, Some(list_revision)).await;
        self.parts.known_relays.set(self.relay_list());
        while let Some(message) = self.messages.recv().await {
            let mut late = self.collect(Instant::now() + COLLECT_TIME_LATE).await;
            if let Message::Registered(pending) = message {
                late.push(pending);
            }
            self.write(late, None).await;
        }
    }

    async fn collect(&mut self, until: Instant) -> Vec<PendingRegistration> {
        let mut collected = Vec::new();
        while let Ok(Some(message)) = timeout_at(until, self.messages.recv()).await {
            if let Message::Registered(pending) = message {
                collected.push(pending);
            }
        }
        collected
    }

    /// Writes the rows of `pending`, and the list of relays if its revision is given.
    ///
    /// An instance whose row may not have been written gets no response. It writes the row itself, and
    /// as both writes expect that there is none, only one of them takes effect.
    async fn write(&self, mut pending: Vec<PendingRegistration>, list_revision: Option<Revision>) {
        let mut written = Vec::new();
        while !pending.is_empty() {
            let rest = pending.split_off(pending.len().min(ROWS_PER_WRITE));
            let chunk = std::mem::replace(&mut pending, rest);
            let list = list_revision.filter(|_| pending.is_empty());
            let list = list.map(|revision| self.list_write(revision, &chunk));
            let rows = chunk.iter().map(|it| first_row_write(&it.member)).chain(list);
            let rows: Result<Vec<FeedWrite>, FeedError> = rows.collect();
            let result =
                async { self.parts.store.write_all(StorePurpose::FirstRow, &rows?).await }.await;
            let instances = chunk.len();
            match result {
                Ok(revision) => {
                    self.parts.events.write(|| RegistrationsWritten { instances, revision });
                    for it in &chunk {
                        let (name, member) = (&it.member.instance, it.member.clone());
                        self.parts.members.merge(name, revision, Some(member));
                    }
                    written.extend(chunk.into_iter().map(|it| (it.response, revision)));
                }
                Err(error) => {
                    let cause = error.to_string();
                    self.parts.events.write(|| RegistrationsNotWritten { instances, cause });
                }
            }
        }
        let relays = self.relay_list();
        for (response, revision) in written {
            // An instance that no longer waits writes its row itself.
            let _ = response.send(Registration { revision, relays: relays.clone() });
        }
    }

    fn relay_list(&self) -> RelayList {
        relay_list(&self.parts.members, &self.parts.failure_domain, &[])
    }

    fn list_write(
        &self,
        expected_revision: Revision,
        chunk: &[PendingRegistration],
    ) -> Result<FeedWrite, FeedError> {
        let added: Vec<&RoutedMember> = chunk.iter().map(|it| &it.member).collect();
        let list = relay_list(&self.parts.members, &self.parts.failure_domain, &added);
        relay_list_write(&self.parts.failure_domain, &list, expected_revision)
    }
}

/// Returns the relays of `failure_domain` among `members` and those in `added`.
pub fn relay_list(
    members: &Members,
    failure_domain: &DomainName,
    added: &[&RoutedMember],
) -> RelayList {
    let members = members.all();
    let mut local: Vec<&RoutedMember> = members.iter().map(AsRef::as_ref).collect();
    local.extend(added);
    local.retain(|member| member.failure_domain == *failure_domain);
    let relays = relays_of(local.iter().map(|member| member.instance.as_str()));
    let address = |instance: &str| {
        let member = local.iter().find(|member| member.instance == instance)?;
        let instance = member.instance.clone();
        Some(RelayAddress { instance, gate_address: member.gate_address })
    };
    RelayList { relays: relays.into_iter().filter_map(address).collect() }
}

/// Returns the write of the list of relays of `failure_domain`.
///
/// # Errors
///
/// [`FeedError::Malformed`] if the list can't be encoded.
pub fn relay_list_write(
    failure_domain: &DomainName,
    list: &RelayList,
    expected_revision: Revision,
) -> Result<FeedWrite, FeedError> {
    Ok(FeedWrite {
        table: MEMBERS_TABLE,
        key: relay_list_key(failure_domain),
        expected_revision,
        value: Some(encode(list)?),
        absent_in: None,
    })
}

/// Returns the write of the first row of `member`, which takes effect only if there is no row and no
/// target of the instance ever left.
///
/// # Errors
///
/// [`FeedError::Malformed`] if the row can't be encoded.
pub fn first_row_write(member: &RoutedMember) -> Result<FeedWrite, FeedError> {
    Ok(FeedWrite {
        table: MEMBERS_TABLE,
        key: member.instance.clone(),
        expected_revision: 0,
        value: Some(encode(member)?),
        absent_in: Some(DEPARTURES_TABLE),
    })
}

fn encode(row: &impl serde::Serialize) -> Result<Bytes, FeedError> {
    let json = serde_json::to_vec(row).map_err(|error| FeedError::Malformed(error.to_string()))?;
    Ok(json.into())
}

fn status_only(status: StatusCode) -> Response<CallBody> {
    let mut response = Response::new(body::empty());
    *response.status_mut() = status;
    response
}
