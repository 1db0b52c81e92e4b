//! Validation of the kinds of values that are strings.

use std::net::{IpAddr, SocketAddr};

use super::Kind;

/// Maximum length of a name in characters.
pub(super) const NAME_LENGTH_MAX: usize = 64;

/// Maximum length of a path prefix in characters.
pub(super) const PATH_LENGTH_MAX: usize = 256;

/// Maximum length of an HTTP method in characters.
pub(super) const METHOD_LENGTH_MAX: usize = 16;

impl Kind {
    /// Returns whether `text` is a valid value of this kind.
    pub(super) fn accepts_text(&self, text: &str) -> bool {
        match self {
            Self::Name => is_name(text),
            Self::ServiceName => is_name(text) && !text.bytes().any(|b| b.is_ascii_uppercase()),
            Self::Method => is_method(text),
            Self::PathPrefix => is_path(text),
            Self::OneOf(values) => values.contains(&text),
            Self::IpAddress => text.parse::<IpAddr>().is_ok(),
            Self::ListenAddress => text.parse::<SocketAddr>().is_ok(),
            Self::AdvertisedAddress => is_address(text, |address| !address.ip().is_unspecified()),
            Self::PeerAddress => {
                is_address(text, |address| !address.ip().is_unspecified() && address.port() != 0)
            }
            Self::Number { .. }
            | Self::Rounded { .. }
            | Self::Bool
            | Self::List { .. }
            | Self::Object(_) => false,
        }
    }
}

fn is_name(text: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    text.len() <= NAME_LENGTH_MAX
        && text.bytes().all(is_allowed)
        && text.bytes().next().is_some_and(|byte| byte.is_ascii_alphanumeric())
}

fn is_method(text: &str) -> bool {
    (1..=METHOD_LENGTH_MAX).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_uppercase())
}

fn is_path(text: &str) -> bool {
    text.starts_with('/')
        && text.len() <= PATH_LENGTH_MAX
        && text.bytes().all(|byte| byte.is_ascii_graphic() && !matches!(byte, b'?' | b'#'))
}

fn is_address(text: &str, is_allowed: impl FnOnce(&SocketAddr) -> bool) -> bool {
    text.parse().is_ok_and(|address| is_allowed(&address))
}
