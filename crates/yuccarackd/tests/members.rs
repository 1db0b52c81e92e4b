//! Membership by the rows of the members table.

use std::net::SocketAddr;

use yuccarackd::{protocol::peer_update::RoutedMember, state::routed::members::Members};

fn member(instance: &str, address: SocketAddr, service: &str) -> Option<RoutedMember> {
    Some(RoutedMember {
        instance: instance.to_owned(),
        failure_domain: "a".to_owned(),
        gate_address: address,
        service: Some(service.to_owned()),
    })
}

fn instances_of(members: &Members, service: &str) -> Vec<String> {
    members.of_service(service).iter().map(|member| member.instance.clone()).collect()
}

/// Guards against requests for a lost instance that go to the instance which now has its address.
#[test]
fn a_lost_instance_whose_address_is_reused_is_not_a_member() {
    let shared = SocketAddr::from(([10, 0, 0, 1], 8000));
    let orders =
        [[("old", 5, "board"), ("new", 9, "desk")], [("new", 9, "desk"), ("old", 5, "board")]];
    for rows in orders {
        let members = Members::new();
        for (instance, revision, service) in rows {
            members.merge(instance, revision, member(instance, shared, service));
        }
        assert!(instances_of(&members, "board").is_empty());
        assert_eq!(instances_of(&members, "desk"), ["new"]);
        assert_eq!(members.count(), 1);
        assert_eq!(members.others_at_address(shared, "new"), [("old".to_owned(), 5)]);
    }
}

/// Guards against an instance that stays unknown after the later one at its address was removed.
#[test]
fn an_instance_is_a_member_again_once_the_later_one_at_its_address_is_removed() {
    let shared = SocketAddr::from(([10, 0, 0, 1], 8000));
    let members = Members::new();
    members.merge("first", 5, member("first", shared, "board"));
    members.merge("second", 9, member("second", shared, "desk"));
    members.merge("second", 12, None);
    assert_eq!(instances_of(&members, "board"), ["first"]);
    members.merge("second", 13, member("second", SocketAddr::from(([10, 0, 0, 2], 8000)), "desk"));
    assert_eq!(
        (instances_of(&members, "board"), instances_of(&members, "desk")),
        (vec!["first".to_owned()], vec!["second".to_owned()])
    );
    members.drop_unlisted(20, &["second".to_owned()]);
    assert_eq!(members.count(), 1);
}
