//! Order of the metrics in their text form.

use std::time::Duration;

use yuccarackd::state::{counters::Counters, routed::metrics::Metrics};

/// Number of bytes that a scraper with a small buffer reads.
const SCRAPED_BYTES: usize = 4 * 1024;

/// Guards against gauges and counters that a scraper truncates because histograms precede them.
#[test]
fn gauges_and_counters_precede_histograms() {
    let counters = Counters::new();
    counters.add("store.reads_failed");
    let metrics = Metrics::new(counters);
    metrics.register_gauge("routing_version", "Version.", || 7);
    for end in ["answered", "not_run", "unknown", "target_failed"] {
        metrics.observe_call(end, Duration::from_millis(3));
    }
    let text = metrics.encode().expect("text");
    assert!(text.len() > SCRAPED_BYTES, "the text fits into the buffer of the scraper");
    let scraped = &text[..SCRAPED_BYTES];
    assert!(scraped.contains("yuccarack_routing_version 7"), "{scraped}");
    assert!(scraped.contains("yuccarack_store_reads_failed_total 1"), "{scraped}");
    assert!(text.ends_with("# EOF\n"));
}
