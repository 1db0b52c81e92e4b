//! The example files in the repository are valid and have the properties that their page describes.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

use yuccarack_config::{
    routing::Routing,
    routing_file::RoutingFile,
    rules::{MeasuringRules, RulesFile, ServiceRules},
    settings::DaemonSettings,
};

fn folder(deployment: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(deployment)
}

fn rules(deployment: &str) -> RulesFile {
    RulesFile::load(&folder(deployment).join("rules.json")).expect("a valid file")
}

fn settings(deployment: &str) -> Vec<DaemonSettings> {
    let files = fs::read_dir(folder(deployment)).expect("a folder of examples");
    let paths = files.map(|file| file.expect("a readable folder").path());
    paths
        .filter(|path| path.to_string_lossy().contains("settings-"))
        .map(|path| DaemonSettings::load(&path).expect("a valid file"))
        .collect()
}

fn service<'a>(rules: &'a RulesFile, name: &str) -> &'a ServiceRules {
    rules.services.iter().find(|service| service.name == name).expect("a service of the example")
}

/// Returns the name of the route that matches a request, and whether the request is repeatable.
fn route<'a>(service: &'a ServiceRules, method: &str, path: &str) -> (&'a str, bool) {
    let route = service.routes.iter().find(|route| route.matches(method, path));
    let route = route.expect("a route for the request");
    (&route.name, route.is_repeatable(method))
}

#[test]
fn each_deployment_has_three_failure_domains() {
    for (deployment, domains) in [
        ("hokkaido", ["asahikawa", "kushiro", "sapporo"]),
        ("kemiaplus", ["helsinki", "tampere", "turku"]),
    ] {
        let settings = settings(deployment);
        let found: BTreeSet<_> = settings.iter().map(|s| s.failure_domain.as_str()).collect();
        assert_eq!(found, BTreeSet::from(domains));
    }
}

#[test]
fn reads_are_repeatable_and_orders_are_not() {
    let hokkaido = rules("hokkaido");
    let conditions = service(&hokkaido, "conditions");
    assert_eq!(route(conditions, "GET", "/huts/7"), ("read-notes", true));
    assert_eq!(route(conditions, "POST", "/closures"), ("closures", false));
    assert_eq!(route(service(&hokkaido, "repairs"), "POST", "/orders"), ("orders", false));
    assert_eq!(route(service(&hokkaido, "supplies"), "POST", "/deliveries"), ("deliveries", false));
    let kemiaplus = rules("kemiaplus");
    assert_eq!(route(service(&kemiaplus, "contracts"), "GET", "/profiles/3"), ("lookups", true));
    assert_eq!(route(service(&kemiaplus, "refills"), "POST", "/orders"), ("orders", false));
    assert_eq!(route(service(&kemiaplus, "billing"), "POST", "/invoices"), ("invoice-runs", false));
}

#[test]
fn long_checks_leave_slots_to_orders_and_invoices() {
    let kemiaplus = rules("kemiaplus");
    for (name, long, path) in
        [("refills", "stock-checks", "/stock/9"), ("billing", "telemetry", "/pumps/9")]
    {
        let service = service(&kemiaplus, name);
        assert_eq!(route(service, "GET", path), (long, true));
        let route = service.routes.iter().find(|route| route.name == long).unwrap();
        assert!(route.slot_share_percent <= 30);
    }
}

#[test]
fn kemiaplus_measures_at_a_quarter_of_the_default_cost() {
    let default = MeasuringRules::default();
    for service in rules("kemiaplus").services {
        assert_eq!(service.measuring.bytes_per_s_max * 4, default.bytes_per_s_max);
        assert_eq!(service.measuring.requests_per_1000s_max * 4, default.requests_per_1000s_max);
        assert_eq!(service.measuring.time_ms_per_s_max * 4, default.time_ms_per_s_max);
    }
}

#[test]
fn routing_files_let_orders_run_only_once() {
    for (deployment, host, order, service) in [
        ("hokkaido", "huts.example", "/deliveries/4", "supply-desk"),
        ("kemiaplus", "dosing.example", "/invoices/4", "billing"),
    ] {
        let file =
            RoutingFile::load(&folder(deployment).join("routing.json")).expect("a valid file");
        let routing = Routing::new(file.into_table());
        let (_, route) = routing.find_route(host, order).expect("a route");
        assert!(!route.is_repeatable && route.targets_max == 1 && route.rank == 0);
        assert_eq!(route.split[0].service, service);
    }
}
