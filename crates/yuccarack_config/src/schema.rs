//! Fields, kinds and ranges of a file.

mod text;
mod walk;

use std::fmt;

use text::{METHOD_LENGTH_MAX, NAME_LENGTH_MAX, PATH_LENGTH_MAX};
pub(crate) use walk::excerpt;

/// One field of a group.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Name of the field.
    pub name: &'static str,
    /// What may stand in it.
    pub kind: Kind,
    /// Whether it must be there.
    pub presence: Presence,
}

/// Whether a field must be there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It has no default.
    Required,
    /// It has a default.
    Defaulted,
    /// It has a default, and `null` stands for it too.
    Nullable,
}

/// What may stand in a field.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// A whole number from `min` to `max`.
    Number {
        /// Least value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// A number from `min` to `max` that is rounded down.
    Rounded {
        /// Least value.
        min: u32,
        /// Largest value.
        max: u32,
    },
    /// `true` or `false`.
    Flag,
    /// Name of an instance, a failure domain or a route.
    Name,
    /// Name of a service, as in a `Host` header.
    ServiceName,
    /// An HTTP method.
    Method,
    /// Start of a path.
    PathPrefix,
    /// One of some words.
    OneOf(&'static [&'static str]),
    /// An IP number.
    Ip,
    /// An IP number with a port to listen on; port 0 lets the kernel choose.
    ListenAddress,
    /// An [`Kind::ListenAddress`] that others are told, so its IP number must be a single one.
    AdvertisedAddress,
    /// An IP number with the port of somebody else.
    PeerAddress,
    /// A list of at least `length_min` and at most `length_max`.
    List {
        /// What may stand in it.
        of: &'static Kind,
        /// Least length.
        length_min: usize,
        /// Largest length.
        length_max: usize,
        /// What no two items may share.
        unique: Unique,
    },
    /// An object with these fields and no others.
    Group(&'static [Field]),
}

/// What no two items of a list may share.
#[derive(Clone, Copy, Debug)]
pub enum Unique {
    /// Their value.
    Value,
    /// The value of this field of theirs.
    Field(&'static str),
}

impl Field {
    /// A field without a default.
    pub const fn required(name: &'static str, kind: Kind) -> Self {
        Self { name, kind, presence: Presence::Required }
    }

    /// A field with a default.
    pub const fn defaulted(name: &'static str, kind: Kind) -> Self {
        Self { name, kind, presence: Presence::Defaulted }
    }

    /// A field that may be `null`.
    pub const fn nullable(name: &'static str, kind: Kind) -> Self {
        Self { name, kind, presence: Presence::Nullable }
    }
}

impl Kind {
    /// A whole number from `min` to `max`.
    pub const fn number(min: u64, max: u64) -> Self {
        Self::Number { min, max }
    }

    /// A number from `min` to `max` that is rounded down.
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
            Self::Flag => write!(f, "true or false"),
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
            Self::OneOf(words) => write!(f, "one of {}", words.join(", ")),
            Self::Ip => write!(f, "an IP number"),
            Self::ListenAddress => write!(f, "an IP number and a port"),
            Self::AdvertisedAddress => write!(f, "the instance's own IP number and a port"),
            Self::PeerAddress => write!(f, "another's IP number and a port from 1 to 65535"),
            Self::List { of, length_min, length_max, .. } => {
                write!(f, "a list of {length_min} to {length_max}, each {of}")
            }
            Self::Group(fields) => write!(f, "an object of {}", names(fields)),
        }
    }
}

fn names(fields: &[Field]) -> String {
    fields.iter().map(|field| field.name).collect::<Vec<_>>().join(", ")
}
