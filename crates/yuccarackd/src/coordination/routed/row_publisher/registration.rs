//! Registers an instance at the first start of the whole fleet.

use std::net::SocketAddr;

use thiserror::Error;
use tokio::time::{error::Elapsed, timeout};
use yuccarack_config::ids::Revision;
use yuccarack_platform::feed::FeedError;

use super::{RowPublisher, START_TIMEOUT};
use crate::{
    coordination::routed::{
        log_lines::RowNotWritten,
        registrar::{REGISTRATION_TIMEOUT, first_row_write, relay_list_write},
        store_client::StorePurpose,
        store_follower::MEMBERS_TABLE,
    },
    protocol::{
        peer_update::RoutedMember,
        registration::{self, RegistrationError},
        relay_list::{RelayAddress, RelayList, relay_list_key},
    },
    transport::{connection::SendError, upstream::Freshness},
};

/// Why an instance could not be registered.
#[derive(Debug, Error)]
pub(super) enum RegisterError {
    /// The store did not respond as expected.
    #[error(transparent)]
    Store(#[from] FeedError),
    /// The registrar could not be queried.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The registrar did not write the row.
    #[error(transparent)]
    Registration(#[from] RegistrationError),
    /// The list of relays can't be parsed.
    #[error("malformed list of relays: {0}")]
    MalformedList(#[from] serde_json::Error),
    /// The list of relays is empty although it exists.
    #[error("no registrar in the list of relays")]
    NoRegistrar,
    /// The store did not respond in time.
    #[error("no response from the store in time")]
    StoreTimeout(#[from] Elapsed),
    /// The registrar did not respond in time.
    #[error("no response from the registrar in time")]
    RegistrarTimeout(#[source] Elapsed),
}

impl RowPublisher {
    /// Registers this instance, or becomes the registrar of the failure domain.
    pub(super) async fn register(&self, member: &RoutedMember) -> Result<(), RegisterError> {
        let result = self.register_once(member).await;
        match &result {
            Ok(revision) => self.record_own_row(*revision, member.clone()),
            Err(error) => {
                self.events.write(|| RowNotWritten { seen_at: 0, cause: error.to_string() });
            }
        }
        result.map(|_| ())
    }

    async fn register_once(&self, member: &RoutedMember) -> Result<Revision, RegisterError> {
        if let Some(registrar) = self.find_registrar().await? {
            return self.register_at(registrar, member).await;
        }
        match timeout(START_TIMEOUT, self.become_registrar(member)).await? {
            Err(FeedError::Conflict { .. }) => {}
            result => return Ok(result?),
        }
        let registrar = self.find_registrar().await?.ok_or(RegisterError::NoRegistrar)?;
        self.register_at(registrar, member).await
    }

    /// Returns the gate of the registrar, which is the only relay until it has written its list.
    async fn find_registrar(&self) -> Result<Option<SocketAddr>, RegisterError> {
        let key = relay_list_key(&self.member.failure_domain);
        let row = self.store.row(StorePurpose::RelayList, MEMBERS_TABLE, &key);
        let value = timeout(START_TIMEOUT, row).await??.and_then(|row| row.value);
        let list = value.map(|value| serde_json::from_slice::<RelayList>(&value)).transpose()?;
        Ok(list.and_then(|list| Some(list.relays.first()?.gate_address)))
    }

    async fn register_at(
        &self,
        registrar: SocketAddr,
        member: &RoutedMember,
    ) -> Result<Revision, RegisterError> {
        let request = registration::encode_request(member)?;
        let response = async {
            let response = self.upstream.send(registrar, request, Freshness::New).await?;
            Ok::<_, RegisterError>(registration::decode_response(response).await?)
        };
        let registration = timeout(REGISTRATION_TIMEOUT, response).await;
        let registration = registration.map_err(RegisterError::RegistrarTimeout)??;
        self.known_relays.set(registration.relays);
        Ok(registration.revision)
    }

    /// Creates the list of relays, with this instance as the only one, together with its row.
    async fn become_registrar(&self, member: &RoutedMember) -> Result<Revision, FeedError> {
        let own =
            RelayAddress { instance: member.instance.clone(), gate_address: member.gate_address };
        let list = relay_list_write(&member.failure_domain, &RelayList { relays: vec![own] }, 0)?;
        let writes = [list, first_row_write(member)?];
        let revision = self.store.write_all(StorePurpose::FirstRow, &writes).await?;
        self.record_own_row(revision, member.clone());
        self.registrar.open(revision).await;
        Ok(revision)
    }
}
