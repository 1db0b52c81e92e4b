//! Daemons that are told by others of their failure domain and don't ask the store.

use std::{collections::HashMap, time::Duration};

use futures_util::future::join_all;
use http::{Method, StatusCode};
use yuccarack_platform_standin::{
    caller::{Call, ask},
    deployment::{Deployment, RouteSpec, wait},
    store::DoorMode,
};
use yuccarack_policy::relays::{Standing, standing};
use yuccarack_standins::client::{Asker, Question};

use crate::{
    support::{READS, board_routes, deployed, program},
    tables::scattered,
};

/// Three failure domains of four instances each: two ask the store in each, and two are told.
const SERVICES: [&str; 12] = ["board"; 12];

/// Time within which operators want a change in force.
const IN_FORCE_MAX: Duration = Duration::from_secs(2);

/// Time in which a daemon notices a silent relay and is told by another one.
const RELAY_CHANGED_MAX: Duration = Duration::from_secs(3);

/// Gauge that says whether news come by a relay.
const RELAYED: &str = "yuccarack_news_relayed";

/// An outage of the store.
const OUTAGE: Duration = Duration::from_secs(8);

/// Questions in it by each daemon that is told: one each 2 s at this size, and one at its begin.
const QUESTIONS_IN_OUTAGE_MAX: u64 = 6;

/// The same while the store refuses the relays alone, for which operators allow 5 s more.
const UNSERVED_IN_FORCE_MAX: Duration = Duration::from_secs(7);

/// Who is told, and by whom, by the numbers of the instances; the first one by preference.
fn told() -> HashMap<usize, Vec<usize>> {
    let names: Vec<String> = (0..SERVICES.len()).map(|number| format!("n{number}")).collect();
    let number_of = |name: &String| names.iter().position(|known| known == name);
    let mut told = HashMap::new();
    for (number, own) in names.iter().enumerate() {
        let domain = names.iter().skip(number % 3).step_by(3).map(String::as_str);
        if let Standing::IsTold(relays) = standing(own, domain) {
            told.insert(number, relays.iter().filter_map(number_of).collect());
        }
    }
    assert_eq!(told.len(), 6, "{told:?}");
    told
}

/// A deployment whose daemons have settled on who tells whom.
async fn settled(name: &str) -> Deployment {
    let deployment = deployed(name, &SERVICES).await;
    for number in told().into_keys() {
        let log = deployment.instances[number].log();
        let hears = || async {
            let lines = std::fs::read_to_string(&log).unwrap_or_default();
            lines.contains("\"relay_heard\"")
        };
        wait(&format!("n{number} to be told by a relay"), hears).await;
    }
    deployment
}

/// Whether the daemon of `number` has been told by a relay since it started.
fn is_told(deployment: &Deployment, number: usize) -> bool {
    let log = std::fs::read_to_string(deployment.instances[number].log()).unwrap_or_default();
    log.contains("\"relay_heard\"")
}

fn moved() -> Vec<RouteSpec> {
    vec![RouteSpec::reads(READS, "/new/", "board")]
}

/// Whether `number` has the route of `path`; the call itself may go to a gate that is suspended.
async fn knows(deployment: &Deployment, number: usize, path: &str) -> bool {
    let call = Call::read(READS, path, &format!("k{number}"));
    let answer = ask(deployment.instances[number].call_address(), &call).await;
    answer.is_some_and(|answer| answer.status != StatusCode::NOT_FOUND)
}

/// Waits until `numbers` have the moved routes. None of them has a call before that, which would
/// bring them the news as well.
async fn in_force_at(deployment: &Deployment, numbers: &[usize]) {
    tokio::time::sleep(IN_FORCE_MAX).await;
    for number in numbers {
        assert!(knows(deployment, *number, "/new/1").await, "n{number} goes by old routes");
    }
}

/// Story: each question to the store is paid for, and all daemons ask the same. Most are told by
/// others, ask nothing for as long as they are, and have changes in force in time all the same.
#[tokio::test]
async fn told_daemons_follow_changes_without_a_question() {
    let mut deployment = settled("relays").await;
    let told: Vec<usize> = told().into_keys().collect();
    let questions = |deployment: &Deployment| -> u64 {
        told.iter().map(|number| deployment.instances[*number].door.questions()).sum()
    };
    let before = questions(&deployment);
    deployment.write(&moved());
    in_force_at(&deployment, &told).await;
    assert_eq!(questions(&deployment) - before, 0, "questions of daemons that are told");
}

/// Story: the relays of all failure domains are suspended at the moment of a change. Their
/// connections stand, nothing comes over them, and those that they tell must not wait for it.
#[tokio::test]
async fn a_change_is_in_force_in_time_though_relays_are_suspended() {
    let mut deployment = settled("relays-asleep").await;
    let told = told();
    for first in told.values().map(|relays| relays[0]) {
        deployment.instances[first].daemon.as_ref().expect("a daemon").freeze();
    }
    deployment.write(&moved());
    let awake: Vec<usize> = told.keys().copied().collect();
    in_force_at(&deployment, &awake).await;
    for first in told.values().map(|relays| relays[0]) {
        deployment.instances[first].daemon.as_ref().expect("a daemon").wake();
    }
}

/// Story: relays are killed, and the store turns the other ones away. Those that were told ask the
/// store themselves.
#[tokio::test]
async fn without_relays_the_store_is_asked() {
    let mut deployment = settled("relays-gone").await;
    let told = told();
    for (first, second) in told.values().map(|relays| (relays[0], relays[1])) {
        deployment.instances[first].kill_daemon();
        deployment.instances[second].door.set(DoorMode::Silent);
        deployment.instances[second].kill_daemon();
    }
    deployment.write(&moved());
    let left: Vec<usize> = told.keys().copied().collect();
    in_force_at(&deployment, &left).await;
}

/// Story: the store turns relays away, one in each way that it can. They don't tell others what they
/// no longer hear, and nobody goes by old routes.
#[tokio::test]
async fn a_relay_that_the_store_turns_away_is_left() {
    let mut deployment = settled("relays-away").await;
    let told = told();
    let modes = [DoorMode::Refusing, DoorMode::Cutting, DoorMode::Silent];
    for relays in told.values() {
        for relay in relays {
            deployment.instances[*relay].door.set(modes[relay % 3]);
        }
    }
    deployment.write(&moved());
    let all: Vec<usize> = told.keys().copied().collect();
    wait("a relay that is left", || async {
        all.iter().any(|number| {
            let log = std::fs::read_to_string(deployment.instances[*number].log());
            log.unwrap_or_default().contains("\"relay_lost\"")
        })
    })
    .await;
    for number in all {
        wait("the changed routes", || knows(&deployment, number, "/new/1")).await;
    }
}

/// Story: an instance comes and another one goes while most daemons don't ask the store. Everyone
/// sends work to the new target and nobody asks for the old one.
#[tokio::test]
async fn members_are_told_by_relays_too() {
    let mut deployment = settled("relays-members").await;
    let told: Vec<usize> = told().into_keys().collect();
    let stranger = br#"{"instance":"late","failure_domain":"a","gate_address":"127.0.0.1:9","service":"cellar"}"#;
    let known_members = |deployment: &Deployment, number: usize| {
        let log = std::fs::read_to_string(deployment.instances[number].log()).unwrap_or_default();
        log.lines()
            .filter(|line| line.contains("\"late\"") && line.contains("member_changed"))
            .count()
    };
    deployment.store.put("members", "late", stranger);
    for number in &told {
        wait("the new member", || async { known_members(&deployment, *number) == 1 }).await;
    }
    deployment.store.delete("members", "late");
    for number in &told {
        wait("the end of the member", || async { known_members(&deployment, *number) == 2 }).await;
    }
    deployment.write(&moved());
    in_force_at(&deployment, &told).await;
}

/// Adds `count` routes whose prefixes have no order that compresses well.
fn with_routes_added(count: u64) -> Vec<RouteSpec> {
    let prefix = |number: u64| format!("/added/{number}{}", scattered(number));
    let mut routes = moved();
    routes.extend((0..count).map(|number| RouteSpec::reads(READS, prefix(number), "board")));
    routes
}

/// Questions to the store by one notified daemon until a table with `count` added routes is in force
/// everywhere, though the store refuses another one.
async fn questions_for_added_routes(name: &str, count: u64) -> u64 {
    let mut deployment = settled(name).await;
    let told: Vec<usize> = told().into_keys().collect();
    deployment.instances[told[0]].door.set(DoorMode::Refusing);
    let before = deployment.instances[told[1]].door.questions();
    deployment.write(&with_routes_added(count));
    in_force_at(&deployment, &told).await;
    deployment.instances[told[1]].door.questions() - before
}

/// Guards against a large table that jams a relay's thin link: changes above a bound are fetched.
#[tokio::test]
async fn changes_above_a_bound_are_not_relayed_and_are_in_force_all_the_same() {
    assert_eq!(questions_for_added_routes("relays-large", 4_500).await, 1);
}

/// Guards against a question to the store by each daemon for changes that a relay can pass on.
#[tokio::test]
async fn hundreds_of_added_routes_are_relayed() {
    assert_eq!(questions_for_added_routes("relays-added", 300).await, 0);
}

/// Story: an instance loses its power for good. Nobody takes its row away, and for years each daemon
/// tries it now and then and counts it among those that share the further tries. A relay of its domain
/// ends the row after the time that operators set; one that was ended wrongly stands again at once.
#[tokio::test]
async fn the_row_of_a_lost_instance_goes_and_that_of_a_living_one_comes_back() {
    let mut deployment = deployed("swept", &["board"; 6]).await;
    for instance in &mut deployment.instances {
        instance.set("bounds", serde_json::json!({"gone_after_ms": 1_500})).expect("a file");
        instance.kill_daemon();
        instance.start_daemon().await.expect("a daemon");
    }
    for instance in &deployment.instances {
        wait("the daemon to be ready", || instance.is_ready()).await;
    }
    deployment.instances[4].daemon.as_ref().expect("a daemon").freeze();
    deployment.instances[5].stop_beating();
    deployment.instances[5].kill_daemon();
    wait("the end of the row", || async { !deployment.store.has_row("members", "n5") }).await;
    deployment.store.delete("members", "n0");
    wait("the row again", || async { deployment.store.has_row("members", "n0") }).await;
    assert!(deployment.store.has_row("members", "n4"), "a suspended instance isn't gone");
    deployment.instances[4].daemon.as_ref().expect("a daemon").wake();
}

/// Guards against the row of a lost instance that stands for good because another one has its address.
#[tokio::test]
async fn the_row_of_an_instance_whose_address_another_one_has_goes() {
    let deployment = deployed("address-reused", &["board"; 3]).await;
    let address = deployment.instances[1].address("gate_address");
    let lost = serde_json::json!({
        "instance": "lost", "failure_domain": "a", "gate_address": address, "service": "board",
    });
    deployment.store.put("members", "lost", lost.to_string().as_bytes());
    wait("the end of the row", || async { !deployment.store.has_row("members", "lost") }).await;
    assert!(deployment.store.has_row("members", "n1"), "the row of the one that is there");
}

/// Members that a daemon knows, by its metrics.
async fn members_known(deployment: &Deployment, number: usize) -> Option<usize> {
    gauge(deployment, number, "yuccarack_members").await
}

/// A gauge of a daemon.
async fn gauge(deployment: &Deployment, number: usize, name: &str) -> Option<usize> {
    let address = deployment.instances[number].address("metrics_address");
    let question = Question::new(Method::GET, "/metrics");
    let told = Asker::new(Duration::from_secs(1)).ask(address, question).await.ok()?;
    let text = String::from_utf8_lossy(&told.body).into_owned();
    let line = text.lines().find(|line| line.split(' ').next() == Some(name))?;
    line.split(' ').nth(1)?.parse().ok()
}

/// Story: all daemons but one lose their power, and one of them for good, whose row is taken away. The
/// one that is left hears nothing meanwhile, as the store turns it away. The others come back, have read
/// the table after that, and have never heard of the row, so that no change of it is told. The member
/// must not be kept for good.
#[tokio::test]
async fn a_member_that_went_unheard_is_forgotten() {
    let mut deployment = settled("relays-unheard").await;
    let number = *told().keys().next().expect("one that is told");
    let stranger = br#"{"instance":"late","failure_domain":"d","gate_address":"127.0.0.1:9","service":"cellar"}"#;
    deployment.store.put("members", "late", stranger);
    let with_it = SERVICES.len() + 1;
    let known = || members_known(&deployment, number);
    wait("the new member", || async { known().await == Some(with_it) }).await;
    deployment.instances[number].door.set(DoorMode::Refusing);
    let others: Vec<usize> = (0..SERVICES.len()).filter(|other| *other != number).collect();
    others.iter().for_each(|other| deployment.instances[*other].kill_daemon());
    deployment.store.delete("members", "late");
    for other in others {
        deployment.instances[other].start_daemon().await.expect("a daemon");
    }
    let known = || members_known(&deployment, number);
    wait("the end of the member", || async { known().await == Some(with_it - 1) }).await;
}

/// Guards against a fleet that floods the store at its first start: a notified daemon writes its row and
/// reads the members, and relays tell it the rest.
#[tokio::test]
async fn a_notified_daemon_asks_the_store_twice_at_the_first_start_of_the_fleet() {
    let starting = Deployment::start_first(program(), "first-start", &SERVICES).await;
    let mut deployment = starting.expect("a deployment");
    deployment.apply(&board_routes()).await;
    for number in told().into_keys() {
        wait("a relay", || async { is_told(&deployment, number) }).await;
        let questions = deployment.instances[number].door.questions();
        assert_eq!(questions, 2, "questions of n{number}");
    }
}

/// Guards against a flood of questions when all daemons return after a loss of power: one that is notified
/// reads the members and whether its target had left, and a relay tells it the routes.
#[tokio::test]
async fn a_notified_daemon_asks_the_store_twice_at_a_restart() {
    let mut deployment = settled("relays-restart").await;
    for instance in &mut deployment.instances {
        instance.kill_daemon();
    }
    let before: Vec<u64> =
        deployment.instances.iter().map(|instance| instance.door.questions()).collect();
    let starting = deployment.instances.iter_mut().map(|instance| instance.start_daemon());
    for started in join_all(starting).await {
        started.expect("a daemon");
    }
    for number in told().into_keys() {
        wait("a relay", || async { is_told(&deployment, number) }).await;
        wait("routes", || deployment.instances[number].is_ready()).await;
        let questions = deployment.instances[number].door.questions() - before[number];
        assert_eq!(questions, 2, "questions of n{number}");
    }
}

/// Guards against a fleet that floods a store which is away: relays go on asking, and those that they
/// notify look at it now and then.
#[tokio::test]
async fn notified_daemons_rarely_ask_a_store_that_is_away() {
    let deployment = settled("relays-outage").await;
    let told: Vec<usize> = told().into_keys().collect();
    let questions = || -> u64 {
        told.iter().map(|number| deployment.instances[*number].door.questions()).sum()
    };
    let before = questions();
    deployment.instances.iter().for_each(|instance| instance.door.set(DoorMode::Refusing));
    tokio::time::sleep(OUTAGE).await;
    let asked = questions() - before;
    let most = told.len() as u64 * QUESTIONS_IN_OUTAGE_MAX;
    assert!(asked <= most, "{asked} questions of {} daemons", told.len());
    for number in told {
        deployment.instances[number].door.set(DoorMode::Open);
    }
}

/// Guards against a change that nobody hears of because the store refuses just the relays.
#[tokio::test]
async fn a_change_is_in_force_though_the_store_refuses_all_relays() {
    let mut deployment = settled("relays-refused").await;
    let told = told();
    for relay in told.values().flatten() {
        deployment.instances[*relay].door.set(DoorMode::Refusing);
    }
    deployment.write(&moved());
    tokio::time::sleep(UNSERVED_IN_FORCE_MAX).await;
    for number in 0..SERVICES.len() {
        assert!(knows(&deployment, number, "/new/1").await, "n{number} goes by old routes");
    }
}

/// Guards against a daemon that becomes a relay and says for 25 s that it is none.
#[tokio::test]
async fn a_daemon_that_becomes_a_relay_notifies_others_at_once() {
    let mut deployment = settled("relays-new").await;
    let domain: Vec<usize> = (0..SERVICES.len()).step_by(3).collect();
    let told = told();
    let mut pair = domain.iter().copied().filter(|number| told.contains_key(number));
    let (first, second) = (pair.next().expect("one"), pair.next().expect("another one"));
    let relays = told[&first].clone();
    deployment.instances[relays[0]].kill_daemon();
    deployment.store.delete("members", &format!("n{}", relays[0]));
    let others = [first, second, relays[1]].map(|number| format!("n{number}"));
    let standings = [first, second]
        .map(|number| standing(&format!("n{number}"), others.iter().map(String::as_str)));
    let new = if standings[0] == Standing::Asks { first } else { second };
    let left = if new == first { second } else { first };
    wait("the new relay", || async { gauge(&deployment, new, RELAYED).await == Some(0) }).await;
    deployment.instances[relays[1]].daemon.as_ref().expect("a daemon").freeze();
    tokio::time::sleep(RELAY_CHANGED_MAX).await;
    assert_eq!(gauge(&deployment, left, RELAYED).await, Some(1), "n{left} is told by n{new}");
    deployment.instances[relays[1]].daemon.as_ref().expect("a daemon").wake();
}

/// Guards against a first start that takes a target for new which had said that it leaves.
#[tokio::test]
async fn a_leave_is_known_though_settings_speak_of_a_first_start() {
    let starting = Deployment::start_first(program(), "first-leave", &["board"; 2]).await;
    let mut deployment = starting.expect("a deployment");
    deployment.apply(&board_routes()).await;
    let instance = &mut deployment.instances[0];
    assert_eq!(instance.leave().await, Some(StatusCode::OK));
    wait("the leave in the store", || async { deployment.store.has_row("leaving", "n0") }).await;
    let instance = &mut deployment.instances[0];
    instance.kill_daemon();
    instance.start_daemon().await.expect("a daemon");
    let is_settled = || async {
        let log = std::fs::read_to_string(deployment.instances[0].log()).unwrap_or_default();
        log.contains("\"row_not_written\"")
    };
    wait("the refused row", is_settled).await;
    wait("routes", || deployment.instances[0].is_ready()).await;
    deployment.instances[0].say_again("ready").await;
    let metric = gauge(&deployment, 0, "yuccarack_target_ready").await;
    assert_eq!(metric, Some(0), "a target that leaves takes no work");
}
