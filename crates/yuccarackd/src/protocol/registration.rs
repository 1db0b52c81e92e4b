//! Registration of an instance at the first start of the whole fleet.
//!
//! One daemon of each failure domain, the registrar, writes the rows of the others together.

use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use thiserror::Error;
use yuccarack_config::{ids::Revision, shared_data};

use super::{
    body::{self, BodyError, CallBody, limited},
    peer_update::RoutedMember,
    relay_list::RelayList,
};

/// Header of a request with a [`RoutedMember`] as its JSON body; the value has no meaning. The JSON
/// body of the response is a [`Registration`].
const REGISTRATION: &str = "yuccarack-registration";

/// Largest accepted message. A list of 20 relays has some 2 kB.
const MESSAGE_MAX_BYTES: u64 = 64 * 1024;

shared_data! {
    /// Response to an instance that registers.
    pub struct Registration {
        /// Revision of the row that was written for the instance.
        pub revision: Revision,
        /// Relays of the failure domain.
        pub relays: RelayList,
    }
}

/// Why a message can't be read or written.
#[derive(Debug, Error)]
pub enum RegistrationError {
    /// The body was cut off or is too long.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The body is not the expected JSON.
    #[error("malformed registration: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The other daemon did not write the row.
    #[error("response with status {0}")]
    Status(StatusCode),
}

/// Returns whether a request registers an instance.
pub fn is_registration(headers: &HeaderMap) -> bool {
    headers.contains_key(REGISTRATION)
}

/// Builds the request that registers `member`.
///
/// # Errors
///
/// Returns [`RegistrationError::Malformed`] if the member can't be encoded.
pub fn encode_request(member: &RoutedMember) -> Result<Request<CallBody>, RegistrationError> {
    let mut request = Request::new(body::full(serde_json::to_vec(member)?.into()));
    *request.method_mut() = Method::POST;
    let map = request.headers_mut();
    map.insert(REGISTRATION, HeaderValue::from_static("1"));
    map.insert(header::HOST, HeaderValue::from_static("peer"));
    Ok(request)
}

/// Reads the member of a request.
///
/// # Errors
///
/// Returns a [`RegistrationError`] if the body ends early, is too long or is no member.
pub async fn decode_request(body: CallBody) -> Result<RoutedMember, RegistrationError> {
    let bytes = limited(body, MESSAGE_MAX_BYTES).collect().await?.to_bytes();
    Ok(serde_json::from_slice(&bytes)?)
}

/// Builds the response that carries `registration`.
///
/// # Errors
///
/// Returns [`RegistrationError::Malformed`] if it can't be encoded.
pub fn encode_response(
    registration: &Registration,
) -> Result<Response<CallBody>, RegistrationError> {
    Ok(Response::new(body::full(serde_json::to_vec(registration)?.into())))
}

/// Reads the registration of a response.
///
/// # Errors
///
/// Returns a [`RegistrationError`] if the row was not written or the body is no registration.
pub async fn decode_response(
    response: Response<CallBody>,
) -> Result<Registration, RegistrationError> {
    if response.status() != StatusCode::OK {
        return Err(RegistrationError::Status(response.status()));
    }
    let bytes = limited(response.into_body(), MESSAGE_MAX_BYTES).collect().await?.to_bytes();
    Ok(serde_json::from_slice(&bytes)?)
}
