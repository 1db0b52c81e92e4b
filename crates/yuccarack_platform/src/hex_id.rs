//! Serializes 128-bit ids as 32 hex digits, since they exceed the range of JSON numbers.

use serde::{Deserialize, Deserializer, Serializer, de::Error};

/// Serializes an id as 32 hex digits.
pub fn serialize<S: Serializer>(id: &u128, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&format!("{id:032x}"))
}

/// Deserializes an id from hex digits.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u128, D::Error> {
    let text = String::deserialize(deserializer)?;
    u128::from_str_radix(&text, 16).map_err(D::Error::custom)
}

/// The same for optional ids.
pub mod option {
    use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

    /// Serializes an optional id.
    pub fn serialize<S: Serializer>(id: &Option<u128>, serializer: S) -> Result<S::Ok, S::Error> {
        id.map(|id| format!("{id:032x}")).serialize(serializer)
    }

    /// Deserializes an optional id.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<u128>, D::Error> {
        let text = Option::<String>::deserialize(deserializer)?;
        let id = text.map(|text| u128::from_str_radix(&text, 16)).transpose();
        id.map_err(D::Error::custom)
    }
}
