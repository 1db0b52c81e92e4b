//! What texts may stand in fields.

use std::net::{IpAddr, SocketAddr};

use super::Kind;

/// Most characters of a name.
pub(super) const NAME_LENGTH_MAX: usize = 64;

/// Most characters of a path prefix.
pub(super) const PATH_LENGTH_MAX: usize = 256;

/// Most characters of a method.
pub(super) const METHOD_LENGTH_MAX: usize = 16;

impl Kind {
    /// Whether `text` may stand in a field of this kind.
    pub(super) fn takes_text(&self, text: &str) -> bool {
        match self {
            Self::Name => is_name(text),
            Self::ServiceName => is_name(text) && !text.bytes().any(|b| b.is_ascii_uppercase()),
            Self::Method => is_method(text),
            Self::PathPrefix => is_path(text),
            Self::OneOf(words) => words.contains(&text),
            Self::Ip => text.parse::<IpAddr>().is_ok(),
            Self::ListenAddress => text.parse::<SocketAddr>().is_ok(),
            Self::AdvertisedAddress => is_address(text, |address| !address.ip().is_unspecified()),
            Self::PeerAddress => {
                is_address(text, |address| !address.ip().is_unspecified() && address.port() != 0)
            }
            Self::Number { .. }
            | Self::Rounded { .. }
            | Self::Flag
            | Self::List { .. }
            | Self::Group(_) => false,
        }
    }
}

fn is_name(text: &str) -> bool {
    let fits = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    text.len() <= NAME_LENGTH_MAX
        && text.bytes().all(fits)
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

fn is_address(text: &str, fits: impl FnOnce(&SocketAddr) -> bool) -> bool {
    text.parse().is_ok_and(|address| fits(&address))
}
