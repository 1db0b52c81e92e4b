//! Every log line of routed calls: its name, text and fields.

use slog::{KV, Level};

use super::events::EventKind;

/// A log line with fields of its own.
pub trait LogLine: KV {
    /// Name of its kind, by which engineers and tools find it.
    const EVENT: &'static str;
    /// Its text.
    const TEXT: &'static str;
    /// Its weight.
    const LEVEL: Level;
    /// Whose share of lines it takes; rare lines take none.
    const RATE_LIMITED_AS: Option<EventKind>;
    /// Names of its fields.
    const FIELDS: &'static [&'static str];
}

/// What of a line is known without its values, for the pages.
#[derive(Clone, Copy, Debug)]
pub struct LineSchema {
    /// Name of its kind.
    pub event: &'static str,
    /// Names of its fields.
    pub fields: &'static [&'static str],
}

/// Defines lines: a struct for each, written field by field under the names of its fields.
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

        /// The forms of these lines.
        pub(super) const SCHEMAS: &[$crate::coordination::routed::log_lines::LineSchema] = &[
            $($crate::coordination::routed::log_lines::LineSchema {
                event: <$name as $crate::coordination::routed::log_lines::LogLine>::EVENT,
                fields: <$name as $crate::coordination::routed::log_lines::LogLine>::FIELDS,
            },)*
        ];
    };
}

// After the macro that they use.
mod calls;
mod cluster_state;
mod process;
mod targets;

pub use self::{calls::*, cluster_state::*, process::*, targets::*};

/// All lines that a daemon for routed calls writes.
pub fn all() -> impl Iterator<Item = &'static LineSchema> {
    [calls::SCHEMAS, targets::SCHEMAS, cluster_state::SCHEMAS, process::SCHEMAS]
        .into_iter()
        .flatten()
}
