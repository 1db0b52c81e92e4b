//! The capacity that gates report with their responses.

use std::time::Duration;

use yuccarackd::protocol::gate_capacity::GateCapacity;

/// Guards against a report that entries can't read, and against daemons that reject the fields of a
/// newer one.
#[test]
fn a_report_is_read_as_it_was_written() {
    let capacity = GateCapacity {
        link_backlog: Some(Duration::from_millis(340)),
        link_kbit_per_s: Some(11_000),
    };
    assert_eq!(capacity.to_string().parse(), Ok(capacity));
    let newer = format!("{capacity}colour=blue;");
    assert_eq!(newer.parse(), Ok(capacity));
    assert!(GateCapacity::default().is_empty() && !capacity.is_empty());
}
