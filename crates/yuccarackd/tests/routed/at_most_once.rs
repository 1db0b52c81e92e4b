//! Orders run at most once, and the outcomes reported to callers are true.

use std::{collections::HashMap, time::Duration};

use http::StatusCode;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::task::JoinSet;
use yuccarack_platform_standin::{
    caller::{Call, Told, ask},
    target::Behaviour,
};

use crate::support::{ORDERS, deployed};

/// Number of orders in one random walk.
const ORDERS_PER_WALK: usize = 400;

/// Guards against orders that fail though they haven't run: a target sheds an order, which must
/// then run on another target.
#[tokio::test]
async fn an_order_that_a_target_sheds_runs_on_another_one() {
    let deployment = deployed("shed", &["board", "board"]).await;
    deployment.instances[0].target.behave(Behaviour::Shed);
    for number in 0..6 {
        let call = Call::order(ORDERS, "/o/1", &format!("a{number}"));
        let response =
            ask(deployment.instances[0].call_address(), &call).await.expect("a response");
        assert_eq!(response.status, StatusCode::OK);
    }
    assert!(deployment.instances[0].target.runs().is_empty());
    assert_eq!(deployment.instances[1].target.runs().len(), 6);
}

/// Guards against orders that run twice or are reported falsely: targets lose, cut or garble
/// responses, shed some orders and fail others, while many callers order at once at all daemons. No
/// order runs twice, and none runs that was reported as not run.
#[tokio::test]
async fn no_order_runs_twice_under_target_faults() {
    for seed in [1, 2, 3] {
        run_walk(seed).await;
    }
}

async fn run_walk(seed: u64) {
    let deployment = deployed(&format!("once{seed}"), &["board", "board", "board"]).await;
    let mut rng = StdRng::seed_from_u64(seed);
    let mut calls = JoinSet::new();
    for number in 0..ORDERS_PER_WALK {
        let instance = &deployment.instances[rng.random_range(0..3)];
        instance.target.next(random_behaviour(&mut rng));
        let id = format!("w{seed}-{number}");
        let address = deployment.instances[rng.random_range(0..3)].call_address();
        calls.spawn(async move {
            let response = ask(address, &Call::order(ORDERS, "/o/1", &id)).await;
            (id, response)
        });
        if calls.len() >= 24 {
            calls.join_next().await;
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    let mut responses: HashMap<String, Option<Told>> = HashMap::new();
    while let Some(call) = calls.join_next().await {
        let (id, response) = call.expect("a call that ended");
        responses.insert(id, response);
    }
    let mut runs: HashMap<String, usize> = HashMap::new();
    for run in deployment.instances.iter().flat_map(|instance| instance.target.runs()) {
        *runs.entry(run.id).or_default() += 1;
    }
    for (id, count) in &runs {
        assert_eq!(*count, 1, "seed {seed}: {id} ran {count} times");
    }
    for (id, response) in responses {
        let Some(response) = response else { continue };
        let has_run = runs.contains_key(&id);
        assert!(
            !(response.promises_not_run() && has_run),
            "seed {seed}: {id} ran but was reported as not run"
        );
        if response.status.is_success() {
            assert!(has_run && response.body == format!("page of {id}"), "seed {seed}: {id}");
        }
    }
}

fn random_behaviour(rng: &mut StdRng) -> Behaviour {
    match rng.random_range(0..12) {
        0 => Behaviour::Fail,
        1 => Behaviour::Shed,
        2 => Behaviour::CutBody,
        3 => Behaviour::LoseAnswer,
        4 => Behaviour::AnswerTwice(Duration::from_millis(rng.random_range(0..20))),
        5 => Behaviour::WrongId,
        6 => Behaviour::UnframedReset,
        7 => Behaviour::ResetKept,
        _ => Behaviour::Answer(Duration::from_millis(rng.random_range(1..60))),
    }
}
