//! Look-ups of services are few, and bounded.

use std::time::{Duration, Instant};

use futures_util::future::join_all;
use yuccarack_platform::rows::TargetState;
use yuccarack_standins::platform::PlatformMode;
use yuccarackd::state::directory::DirectoryError;

use crate::peers::{Peer, platform, put_rules, set_mode, settings, stop_all, until};

/// A gossip interval that no test lives to see.
const NEVER_MS: u32 = 600_000;

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(20)
}

/// A daemon starts under load and a hundred calls want the same service at once. One look-up has
/// to serve them all.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_lookup_serves_all_that_wait() {
    let platform = platform().await;
    put_rules(&platform, "huts", 100);
    let peer = Peer::start(platform.address(), "hut-1", Vec::new()).await;
    let directory = &peer.control.directory;
    let views = join_all((0..100).map(|_| directory.get_or_load("huts", soon()))).await;
    assert!(views.iter().all(Result::is_ok));
    assert_eq!(peer.count("rules.lookups"), 1);
    stop_all(vec![peer]).await;
    platform.stop().await;
}

/// A caller makes up a new service name for each call. The store must not be asked for all of them,
/// and nobody may wait for long.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn made_up_names_are_bounded() {
    let platform = platform().await;
    let peer = Peer::start(platform.address(), "hut-1", Vec::new()).await;
    let directory = &peer.control.directory;
    let names: Vec<String> = (0..1_000).map(|number| format!("made-up-{number}")).collect();
    let answers = join_all(names.iter().map(|name| directory.get_or_load(name, soon()))).await;
    let count =
        |error| answers.iter().filter(|answer| answer.as_ref().err() == Some(&error)).count();
    let unknown = count(DirectoryError::UnknownService);
    let refused = count(DirectoryError::TooManyLookups);
    assert_eq!(unknown + refused, names.len());
    assert!(refused > 0, "all were looked up");
    assert!(directory.views().is_empty(), "names that nobody has are remembered");
    stop_all(vec![peer]).await;
    platform.stop().await;
}

/// The store is away and nobody knows the service. The call must learn so, not wait for its end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lookup_without_store_and_peers_fails_soon() {
    let platform = platform().await;
    set_mode(&platform, PlatformMode::BlackHole);
    let peer = Peer::start(platform.address(), "hut-1", Vec::new()).await;
    let answer = peer.control.directory.get_or_load("huts", soon()).await;
    assert_eq!(answer.unwrap_err(), DirectoryError::StoreUnavailable);
    set_mode(&platform, PlatformMode::Up);
    put_rules(&platform, "huts", 100);
    let directory = peer.control.directory.clone();
    tokio::time::timeout(Duration::from_secs(20), async {
        while directory.get_or_load("huts", soon()).await.is_err() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    })
    .await
    .expect("the service is known once the store is back");
    stop_all(vec![peer]).await;
    platform.stop().await;
}

/// An answer's header names rules that are newer than those in force here. They have to be fetched
/// at once, not at the next exchange.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn word_of_newer_rules_is_followed() {
    let platform = platform().await;
    put_rules(&platform, "huts", 100);
    let member = Peer::ready(platform.address(), "hut-1", "huts").await;
    until("the member is written", || {
        platform.with_table(|table| table.row("members/huts/hut-1")).is_some()
    })
    .await;
    let mut settings = settings(platform.address(), "repair-1", Vec::new());
    settings.budgets.gossip_interval_ms = NEVER_MS;
    let caller = Peer::with_settings(settings).await;
    caller.announce("repairs", TargetState::Ready);
    caller.control.directory.get_or_load("huts", soon()).await.unwrap();
    let second = put_rules(&platform, "huts", 200);
    until("the member has the second", || member.rules_revision("huts") == second).await;
    caller.control.directory.note_rules_revision("huts", second);
    until("the caller has the second", || caller.rules_revision("huts") == second).await;
    assert_eq!(caller.count("rules.from_peer"), 1);
    stop_all(vec![member, caller]).await;
    platform.stop().await;
}

/// A daemon has just started and its target announces itself, before the store has answered. A call
/// of that service must wait for the rules; told that nobody knows the service, its caller would
/// give up.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_own_service_is_not_unknown_while_it_loads() {
    let platform = platform().await;
    put_rules(&platform, "huts", 100);
    set_mode(&platform, PlatformMode::BlackHole);
    let peer = Peer::ready(platform.address(), "hut-1", "huts").await;
    let directory = &peer.control.directory;
    until("the target is taken in", || directory.own_service().is_some()).await;
    assert!(directory.view("huts").is_none());
    assert_ne!(
        directory.get_or_load("huts", soon()).await.err(),
        Some(DirectoryError::UnknownService)
    );
    set_mode(&platform, PlatformMode::Up);
    until("its rules are there", || directory.view("huts").is_some()).await;
    stop_all(vec![peer]).await;
    platform.stop().await;
}
