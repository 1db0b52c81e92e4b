//! Tests the detection of load that the gate did not dispatch.

use quickcheck::quickcheck;
use yuccarack_policy::hidden_load::{HiddenLoad, REPORTS_COMPARED};

// A batch job on the target's instance uses four of its ten slots. If the gate kept dispatching ten
// requests, four of them would wait inside the target, where they can no longer be rejected.
#[test]
fn load_that_the_gate_did_not_dispatch_lowers_the_slots() {
    let mut hidden = HiddenLoad::new();
    for _ in 0..REPORTS_COMPARED {
        assert_eq!(hidden.slots_without_hidden_load(10), 10);
        hidden.record(9, 5);
    }
    assert_eq!(hidden.slots_without_hidden_load(10), 6);
}

// A report that lags by half a second shows a burst that has just ended. A single such report must
// not lower the slots.
#[test]
fn one_late_report_changes_nothing() {
    let mut hidden = HiddenLoad::new();
    hidden.record(5, 5);
    hidden.record(10, 0);
    hidden.record(5, 5);
    assert_eq!(hidden.slots_without_hidden_load(10), 10);
}

quickcheck! {
    /// Whatever a target reports, half of its slots stay in use and none are added.
    fn a_false_report_takes_at_most_half(reports: Vec<(u16, u16)>, slots: u16) -> bool {
        let mut hidden = HiddenLoad::new();
        reports.iter().all(|(reported, dispatched)| {
            hidden.record(*reported, *dispatched);
            let usable = hidden.slots_without_hidden_load(slots);
            usable <= slots && usable >= slots - slots / 2
        })
    }
}
