//! Schema of a file: fields, the kinds of their values, and ranges.

mod text;
mod validate;

use std::fmt;

use text::{METHOD_LENGTH_MAX, NAME_LENGTH_MAX, PATH_LENGTH_MAX};
pub(crate) use validate::excerpt;

/// A field of a JSON object.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Name of the field.
    pub name: &'static str,
    /// Kind of the accepted values.
    pub kind: Kind,
    /// Whether the field is required.
    pub presence: Presence,
}

/// Whether a field is required.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The field has no default.
    Required,
    /// The field may be missing and then has a default.
    Optional,
    /// As [`Presence::Optional`], and `null` also selects the default.
    Nullable,
}

/// The kind of value that a field accepts.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// An integer from `min` to `max`.
    Number {
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// A number from `min` to `max` that is rounded down.
    Rounded {
        /// Smallest value.
        min: u32,
        /// Largest value.
        max: u32,
    },
    /// `true` or `false`.
    Bool,
    /// Name of an instance, a failure domain or a route.
    Name,
    /// Name of a service, as in a `Host` header.
    ServiceName,
    /// An HTTP method.
    Method,
    /// Prefix of a URL path.
    PathPrefix,
    /// One of these strings.
    OneOf(&'static [&'static str]),
    /// An IP address.
    IpAddress,
    /// IP address and port to listen on; with port 0 the kernel chooses the port.
    ListenAddress,
    /// A [`Kind::ListenAddress`] that is advertised to peers, so the unspecified IP address isn't
    /// accepted.
    AdvertisedAddress,
    /// IP address and port of another process.
    PeerAddress,
    /// A list of `length_min` to `length_max` items.
    List {
        /// Kind of the items.
        of: &'static Kind,
        /// Smallest length.
        length_min: usize,
        /// Largest length.
        length_max: usize,
        /// What has to be unique among the items.
        unique: Unique,
    },
    /// A JSON object with these fields and no others.
    Object(&'static [Field]),
}

/// What has to be unique among the items of a list.
#[derive(Clone, Copy, Debug)]
pub enum Unique {
    /// The value of the item.
    Value,
    /// The value of this field of the item.
    Field(&'static str),
}

impl Field {
    /// Creates a field without a default.
    pub const fn required(name: &'static str, kind: Kind) -> Self {
        Self { name, kind, presence: Presence::Required }
    }

    /// Creates a field with a default.
    pub const fn optional(name: &'static str, kind: Kind) -> Self {
        Self { name, kind, presence: Presence::Optional }
    }

    /// Creates a field with a default that may also be `null`.
    pub const fn nullable(name: &'static str, kind: Kind) -> Self {
        Self { name, kind, presence: Presence::Nullable }
    }
}

impl Kind {
    /// Returns the kind of integers from `min` to `max`.
    pub const fn number(min: u64, max: u64) -> Self {
        Self::Number { min, max }
    }

    /// Returns the kind of numbers from `min` to `max` that are rounded down.
    pub const fn rounded(min: u32, max: u32) -> Self {
        Self::Rounded { min, max }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Number { min, max } if min == max => write!(f, "{min}"),
            Self::Number { min, max } => write!(f, "a whole number from {min} to {max}"),
            Self::Rounded { min, max } => {
                write!(f, "a number from {min} to {max}, rounded down")
            }
            Self::Bool => write!(f, "true or false"),
            Self::Name => write!(
                f,
                "1 to {NAME_LENGTH_MAX} letters, digits, '-', '_' or '.', a letter or digit first"
            ),
            Self::ServiceName => write!(
                f,
                "1 to {NAME_LENGTH_MAX} lower-case letters, digits, '-', '_' or '.', a letter or \
                 digit first"
            ),
            Self::Method => write!(f, "1 to {METHOD_LENGTH_MAX} upper-case letters"),
            Self::PathPrefix => write!(
                f,
                "a path that starts with '/', of at most {PATH_LENGTH_MAX} visible ASCII \
                 characters, without '?' and '#'"
            ),
            Self::OneOf(values) => write!(f, "one of {}", values.join(", ")),
            Self::IpAddress => write!(f, "an IP number"),
            Self::ListenAddress => write!(f, "an IP number and a port"),
            Self::AdvertisedAddress => write!(f, "the instance's own IP number and a port"),
            Self::PeerAddress => write!(f, "another's IP number and a port from 1 to 65535"),
            Self::List { of, length_min, length_max, .. } => {
                write!(f, "a list of {length_min} to {length_max}, each {of}")
            }
            Self::Object(fields) => write!(f, "an object of {}", field_names(fields)),
        }
    }
}

fn field_names(fields: &[Field]) -> String {
    fields.iter().map(|field| field.name).collect::<Vec<_>>().join(", ")
}
