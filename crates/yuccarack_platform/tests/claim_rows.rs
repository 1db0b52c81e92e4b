//! JSON form of claim rows.

use yuccarack_platform::rows::{ClaimRow, ClaimState};

/// Guards against attempt ids that are written as JSON numbers. These can't represent 128 bits, so
/// no claim row could be written, and every claim was refused as if the store were unavailable.
#[test]
fn a_claim_of_any_attempt_id_survives_a_json_round_trip() {
    let row = ClaimRow {
        service: "repairs".to_owned(),
        key: "order-1".to_owned(),
        attempt: u128::MAX - 1,
        instance: "kushiro-1".to_owned(),
        fingerprint: u64::MAX,
        state: ClaimState::Open,
        claimed_at_unix_ms: 0,
        outcome: None,
    };
    let value = serde_json::to_value(&row).unwrap();
    assert_eq!(serde_json::from_value::<ClaimRow>(value).unwrap(), row);
}
