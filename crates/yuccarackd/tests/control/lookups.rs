//! Lookups of services are shared and bounded.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use yuccarack_platform::rows::TargetState;
use yuccarack_standins::platform::PlatformMode;
use yuccarackd::state::directory::DirectoryError;

use crate::peers::{Peer, platform, put_rules, set_mode, settings, stop_all, until};

/// A gossip interval that is longer than any test.
const LONG_INTERVAL_MS: u32 = 600_000;

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(20)
}

/// Guards against one lookup for each call when a daemon starts under load and many calls need the
/// same service.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_lookup_serves_all_waiting_calls() {
    let platform = platform().await;
    put_rules(&platform, "huts", 100);
    let peer = Peer::start(platform.address(), "hut-1", Vec::new()).await;
    let directory = &peer.control.directory;
    let views = join_all((0..100).map(|_| directory.get_or_load("huts", deadline()))).await;
    assert!(views.iter().all(Result::is_ok));
    assert_eq!(peer.count("rules.lookups"), 1);
    stop_all(vec![peer]).await;
    platform.stop().await;
}

/// Guards against unbounded requests to the store and long waits when a caller uses a new service
/// name that doesn't exist for each call.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lookups_of_unknown_names_are_bounded() {
    let platform = platform().await;
    let peer = Peer::start(platform.address(), "hut-1", Vec::new()).await;
    let directory = &peer.control.directory;
    let names: Vec<String> = (0..1_000).map(|number| format!("made-up-{number}")).collect();
    let results = join_all(names.iter().map(|name| directory.get_or_load(name, deadline()))).await;
    let count =
        |error| results.iter().filter(|result| result.as_ref().err() == Some(&error)).count();
    let unknown = count(DirectoryError::UnknownService);
    let refused = count(DirectoryError::TooManyLookups);
    assert_eq!(unknown + refused, names.len());
    assert!(refused > 0, "no lookup was refused");
    assert!(directory.views().is_empty(), "unknown names are in the directory");
    stop_all(vec![peer]).await;
    platform.stop().await;
}

/// Guards against a call that waits until its deadline while the store is unavailable and no peer
/// knows the service.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lookup_without_store_and_peers_fails_early() {
    let platform = platform().await;
    set_mode(&platform, PlatformMode::BlackHole);
    let peer = Peer::start(platform.address(), "hut-1", Vec::new()).await;
    let result = peer.control.directory.get_or_load("huts", deadline()).await;
    assert_eq!(result.unwrap_err(), DirectoryError::StoreUnavailable);
    set_mode(&platform, PlatformMode::Up);
    put_rules(&platform, "huts", 100);
    let directory = peer.control.directory.clone();
    tokio::time::timeout(Duration::from_secs(20), async {
        while directory.get_or_load("huts", deadline()).await.is_err() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    })
    .await
    .expect("the service is loaded after the outage");
    stop_all(vec![peer]).await;
    platform.stop().await;
}

/// Guards against outdated rules that stay in force until the next exchange although the header of
/// a response names a newer version.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn newer_rules_named_in_a_response_are_fetched() {
    let platform = platform().await;
    put_rules(&platform, "huts", 100);
    let member = Peer::ready(platform.address(), "hut-1", "huts").await;
    until("the member's row is written", || {
        platform.with_table(|table| table.row("members/huts/hut-1")).is_some()
    })
    .await;
    let mut settings = settings(platform.address(), "repair-1", Vec::new());
    settings.budgets.gossip_interval_ms = LONG_INTERVAL_MS;
    let caller = Peer::with_settings(settings).await;
    caller.announce("repairs", TargetState::Ready);
    caller.control.directory.get_or_load("huts", deadline()).await.unwrap();
    let second = put_rules(&platform, "huts", 200);
    until("the member has the second version", || member.rules_revision("huts") == second).await;
    caller.control.directory.note_rules_revision("huts", second);
    until("the caller has the second version", || caller.rules_revision("huts") == second).await;
    assert_eq!(caller.count("rules.from_peer"), 1);
    stop_all(vec![member, caller]).await;
    platform.stop().await;
}

/// Guards against a call of the own service that is refused as unknown, so that its caller gives
/// up: the target has announced itself, but the store hasn't responded yet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_own_service_is_never_unknown_while_it_loads() {
    let platform = platform().await;
    put_rules(&platform, "huts", 100);
    set_mode(&platform, PlatformMode::BlackHole);
    let peer = Peer::ready(platform.address(), "hut-1", "huts").await;
    let directory = &peer.control.directory;
    until("the target is announced", || directory.own_service().is_some()).await;
    assert!(directory.view("huts").is_none());
    assert_ne!(
        directory.get_or_load("huts", deadline()).await.err(),
        Some(DirectoryError::UnknownService)
    );
    set_mode(&platform, PlatformMode::Up);
    until("its rules are loaded", || directory.view("huts").is_some()).await;
    stop_all(vec![peer]).await;
    platform.stop().await;
}
