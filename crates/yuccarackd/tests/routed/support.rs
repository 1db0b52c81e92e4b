//! Shared deployments and routes of the tests of routed calls.

use std::path::Path;

use yuccarack_platform_standin::deployment::{Deployment, RouteSpec};

/// Host of the routes for reads.
pub const READS: &str = "reads.example";

/// Host of the routes for orders.
pub const ORDERS: &str = "orders.example";

/// Path of the daemon's executable.
pub fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_yuccarackd"))
}

/// Returns the routes of reads and orders to the service `board`.
pub fn board_routes() -> Vec<RouteSpec> {
    vec![RouteSpec::reads(READS, "/r/", "board"), RouteSpec::orders(ORDERS, "/o/", "board")]
}

/// Starts a deployment of one instance for each of `services`, with reads and orders routed to
/// `board`.
pub async fn deployed(name: &str, services: &[&str]) -> Deployment {
    let mut deployment = Deployment::start(program(), name, services).await.expect("a deployment");
    deployment.apply(&board_routes()).await;
    deployment
}
