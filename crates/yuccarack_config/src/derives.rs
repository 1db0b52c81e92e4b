//! The common sets of derives, in one place.

/// Declares plain data that crosses a process's edge: comparable, cloneable, serializable.
///
/// Unknown fields are refused, so that a misspelt name never passes as a default.
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
/// passed over.
///
/// Failure: daemons are replaced one after the other, the newer ones write a field that the older
/// ones don't know, and those keep out each other's rows and news.
#[macro_export]
macro_rules! shared_data {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
            $item
        )*
    };
}

/// Declares a small closed set that is copied, compared, hashed and spelt in snake case.
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
