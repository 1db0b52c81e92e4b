//! Every log line of routed calls with its event, text and fields.

use slog::{KV, Level};

use super::events::EventKind;

/// A log line with a fixed set of fields.
pub trait LogLine: KV {
    /// Name of the event, by which engineers and tools find the line.
    const EVENT: &'static str;
    /// Message of the line.
    const TEXT: &'static str;
    /// Severity of the line.
    const LEVEL: Level;
    /// Kind whose rate limit applies; rare lines have none.
    const RATE_LIMITED_AS: Option<EventKind>;
    /// Names of the fields.
    const FIELDS: &'static [&'static str];
}

/// The event and fields of a line without its values, to check the documentation against.
#[derive(Clone, Copy, Debug)]
pub struct LineSchema {
    /// Name of the event.
    pub event: &'static str,
    /// Names of the fields.
    pub fields: &'static [&'static str],
}

/// Defines log lines: a struct for each, whose fields are written under their own names.
macro_rules! log_lines {
    ($(
        $(#[$about:meta])*
        $name:ident = $event:literal, $text:literal, $level:ident, $bounded_as:expr;
        { $($(#[$field_about:meta])* $field:ident: $kind:ty,)* }
    )*) => {
        $(
            $(#[$about])*
            #[derive(Clone, Debug)]
            pub struct $name {
                $($(#[$field_about])* pub $field: $kind,)*
            }

            impl slog::KV for $name {
                fn serialize(
                    &self,
                    record: &slog::Record<'_>,
                    serializer: &mut dyn slog::Serializer,
                ) -> slog::Result {
                    use slog::Value;

                    $event.serialize(record, "event", serializer)?;
                    $(self.$field.serialize(record, stringify!($field), serializer)?;)*
                    Ok(())
                }
            }

            impl $crate::coordination::routed::log_lines::LogLine for $name {
                const EVENT: &'static str = $event;
                const TEXT: &'static str = $text;
                const LEVEL: slog::Level = slog::Level::$level;
                const RATE_LIMITED_AS: Option<$crate::coordination::routed::events::EventKind> =
                    $bounded_as;
                const FIELDS: &'static [&'static str] = &[$(stringify!($field)),*];
            }
        )*

        /// Schemas of these lines.
        pub(super) const SCHEMAS: &[$crate::coordination::routed::log_lines::LineSchema] = &[
            $($crate::coordination::routed::log_lines::LineSchema {
                event: <$name as $crate::coordination::routed::log_lines::LogLine>::EVENT,
                fields: <$name as $crate::coordination::routed::log_lines::LogLine>::FIELDS,
            },)*
        ];
    };
}

// Below the macro that they use.
mod calls;
mod cluster_state;
mod process;
mod quota;
mod targets;

pub use self::{calls::*, cluster_state::*, process::*, quota::*, targets::*};

/// Returns the schemas of all lines that a daemon for routed calls writes.
pub fn all() -> impl Iterator<Item = &'static LineSchema> {
    [calls::SCHEMAS, targets::SCHEMAS, cluster_state::SCHEMAS, process::SCHEMAS, quota::SCHEMAS]
        .into_iter()
        .flatten()
}
