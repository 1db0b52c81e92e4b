//! Commands that list, show and release the claims of non-repeatable requests.

mod common;

use serde_json::json;
use yuccarack_config::ids::Revision;
use yuccarack_platform::{
    messages::{Commit, Write},
    rows::{ClaimRow, ClaimState, RecordedOutcome, claim_key},
};
use yuccarack_standins::platform::{Platform, PlatformFaults};
use yuccarackctl::{CtlError, ExitStatus};

use common::{ctl, platform};

fn put_claim(platform: &Platform, key: &str, state: ClaimState) -> Revision {
    let outcome = RecordedOutcome { status: 201, content_type: None, body: Some(vec![1, 2, 3]) };
    let row = ClaimRow {
        service: "supplies".to_owned(),
        key: key.to_owned(),
        attempt: 0xabc,
        instance: "kushiro-2".to_owned(),
        fingerprint: 1,
        state,
        claimed_at_unix_ms: 5,
        outcome: (state == ClaimState::Done).then_some(outcome),
    };
    let value = serde_json::to_value(row).expect("a serializable row");
    let write = Write::put(claim_key("supplies", key), value);
    let commit = Commit { conditions: vec![], writes: vec![write] };
    platform.with_table(|table| table.commit(commit)).expect("a commit without conditions").revision
}

fn has_claim(platform: &Platform, key: &str) -> bool {
    platform.with_table(|table| table.row(&claim_key("supplies", key))).is_some()
}

#[tokio::test]
async fn list_and_show_report_claims() {
    let platform = platform().await;
    let address = platform.address();
    put_claim(&platform, "order-1", ClaimState::Open);
    put_claim(&platform, "order-2", ClaimState::Done);
    let all_claims = ctl(&format!("claim list supplies --platform {address}")).await.unwrap();
    assert_eq!(all_claims.json.as_array().unwrap().len(), 2);
    let open_claims =
        ctl(&format!("claim list supplies --open --platform {address}")).await.unwrap();
    assert_eq!(open_claims.json[0]["claim"]["key"], json!("order-1"));
    let args = format!("claim list supplies --instance sapporo-1 --platform {address}");
    assert_eq!(ctl(&args).await.unwrap().json, json!([]));

    let shown_claim =
        ctl(&format!("claim show supplies order-2 --platform {address}")).await.unwrap();
    assert_eq!(shown_claim.json["claim"]["attempt"], json!(format!("{:032x}", 0xabc)));
    assert_eq!(shown_claim.json["claim"]["outcome"]["body_bytes"], json!(3));
    let missing_claim = ctl(&format!("claim show supplies order-3 --platform {address}")).await;
    assert!(matches!(missing_claim, Err(CtlError::NotFound { .. })));
    platform.stop().await;
}

#[tokio::test]
async fn release_requires_confirmation() {
    let platform = platform().await;
    let address = platform.address();
    put_claim(&platform, "order-1", ClaimState::Open);
    let args = format!("claim release supplies order-1 --platform {address}");
    let error = ctl(&args).await.unwrap_err();
    assert_eq!(error.exit_status(), ExitStatus::Usage);
    assert!(error.to_string().contains("kushiro-2"), "{error}");
    assert!(has_claim(&platform, "order-1"));
    ctl(&format!("{args} --yes")).await.unwrap();
    assert!(!has_claim(&platform, "order-1"));
    platform.stop().await;
}

// Guards against running a request twice: its outcome is recorded, and after a release the caller's
// retry would run it again. Not even `--yes` may release such a claim.
#[tokio::test]
async fn claim_with_an_outcome_is_not_released() {
    let platform = platform().await;
    put_claim(&platform, "order-1", ClaimState::Done);
    let args = format!("claim release supplies order-1 --yes --platform {}", platform.address());
    assert!(matches!(ctl(&args).await, Err(CtlError::ClaimDone)));
    assert!(has_claim(&platform, "order-1"));
    platform.stop().await;
}

// Guards against releasing a newer claim of the same key: between reading the claim and releasing
// it, the key was released by somebody else and claimed again, and that attempt may be running.
#[tokio::test]
async fn claim_at_another_revision_is_not_released() {
    let platform = platform().await;
    let old_revision = put_claim(&platform, "order-1", ClaimState::Open);
    let new_revision = put_claim(&platform, "order-1", ClaimState::Open);
    let args = format!(
        "claim release supplies order-1 --yes --revision {old_revision} --platform {}",
        platform.address()
    );
    let error = ctl(&args).await.unwrap_err();
    assert!(
        matches!(error, CtlError::ClaimChanged { revision } if revision == new_revision),
        "{error}"
    );
    assert_eq!(error.exit_status(), ExitStatus::Conflict);
    assert!(has_claim(&platform, "order-1"));
    platform.stop().await;
}

#[tokio::test]
async fn release_with_a_lost_response_is_reported_as_released() {
    let platform = platform().await;
    put_claim(&platform, "order-1", ClaimState::Open);
    platform.set_faults(PlatformFaults { lose_answers: 1, ..Default::default() });
    let args = format!("claim release supplies order-1 --yes --platform {}", platform.address());
    let report = ctl(&args).await.unwrap();
    assert_eq!(report.json["result"], json!("released"));
    assert!(!has_claim(&platform, "order-1"));
    platform.stop().await;
}
