//! Which updates the directory accepts.

use yuccarack_platform::rows::{MemberRow, RulesRow, TargetState};
use yuccarackd::state::directory::Directory;

use crate::peers::rules;

fn member(incarnation: u64, sequence: u64, state: TargetState) -> MemberRow {
    let address = "127.0.0.1:9".parse().expect("it is an address");
    MemberRow {
        instance: "hut-1".to_owned(),
        incarnation,
        sequence,
        service: "huts".to_owned(),
        failure_domain: "sapporo".to_owned(),
        gate_address: address,
        control_address: address,
        admin_address: address,
        state,
        slots: 10,
    }
}

/// Guards against outdated rules that come back into force, when a peer that was frozen during a
/// change of the rules resumes and sends the version it has.
#[test]
fn older_rules_never_replace_newer() {
    let directory = Directory::new();
    assert!(directory.merge_rules("huts", 7, &RulesRow::InForce(rules("huts", 700))));
    assert!(!directory.merge_rules("huts", 6, &RulesRow::InForce(rules("huts", 600))));
    let view = directory.view("huts").unwrap();
    assert_eq!(view.rules_revision, 7);
    assert_eq!(view.rules.as_ref().unwrap().routes[0].deadline_ms, 700);
}

/// Guards against a removed service that comes back because a peer still has its rules and sends
/// them.
#[test]
fn removed_rules_stay_removed() {
    let directory = Directory::new();
    directory.merge_rules("huts", 7, &RulesRow::InForce(rules("huts", 700)));
    assert!(directory.merge_rules("huts", 8, &RulesRow::Removed));
    assert!(!directory.merge_rules("huts", 7, &RulesRow::InForce(rules("huts", 700))));
    assert!(directory.view("huts").unwrap().rules.is_none());
}

/// Guards against requests to a target that has drained and left, because an outdated update says
/// that it is ready.
#[test]
fn outdated_updates_of_a_member_are_ignored() {
    let directory = Directory::new();
    let merge = |row| !directory.merge_members("huts", vec![row]).is_empty();
    assert!(merge(member(5, 1, TargetState::Ready)));
    assert!(merge(member(5, 2, TargetState::Draining)));
    assert!(!merge(member(5, 1, TargetState::Ready)));
    assert!(!merge(member(4, 9, TargetState::Ready)));
    assert!(merge(member(5, 2, TargetState::Gone)));
    assert!(!merge(member(5, 2, TargetState::Draining)));
    assert!(directory.peek("huts").unwrap().members.is_empty());
    assert!(merge(member(6, 1, TargetState::Ready)));
    assert_eq!(directory.peek("huts").unwrap().members.len(), 1);
}

/// Guards against the removal of a forgotten member that daemons send to each other without end. It
/// must not be accepted as a change.
#[test]
fn the_removal_of_an_unknown_member_changes_nothing() {
    let directory = Directory::new();
    let merged = directory.merge_members("huts", vec![member(5, 2, TargetState::Gone)]);
    assert!(merged.is_empty());
    assert!(directory.member_rows("huts").is_empty());
}

#[test]
fn equal_members_have_the_same_digest() {
    let (one, other) = (Directory::new(), Directory::new());
    one.merge_members("huts", vec![member(5, 1, TargetState::Ready)]);
    assert_ne!(one.members_digest("huts"), other.members_digest("huts"));
    other.merge_members("huts", vec![member(5, 1, TargetState::Ready)]);
    assert_eq!(one.members_digest("huts"), other.members_digest("huts"));
    one.merge_members("huts", vec![member(5, 2, TargetState::Gone)]);
    assert_eq!(one.members_digest("huts"), 0);
}
