//! Macros with the sets of derives that serialized types have in common.

/// Declares plain data that enters or leaves a process: comparable, cloneable and serializable.
///
/// Unknown fields are rejected, so that a misspelled field name never falls back to its default.
#[macro_export]
macro_rules! wire_data {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
            #[serde(deny_unknown_fields)]
            $item
        )*
    };
}

/// Declares data that daemons of several versions exchange: as [`wire_data`], but unknown fields are
/// ignored.
///
/// During a rolling upgrade the newer daemons write fields that the older ones don't know. If those
/// were rejected, the older daemons would lose the rows and updates of the newer ones.
#[macro_export]
macro_rules! shared_data {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
            $item
        )*
    };
}

/// Declares a closed set of values that is copied, compared, hashed and serialized in snake case.
#[macro_export]
macro_rules! wire_kind {
    ($($item:item)*) => {
        $(
            #[derive(
                Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord,
                serde::Serialize, serde::Deserialize,
            )]
            #[serde(rename_all = "snake_case")]
            $item
        )*
    };
}
