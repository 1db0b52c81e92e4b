//! Slots that something else than the gate fills.

use quickcheck::quickcheck;
use yuccarack_policy::hidden_load::{AGREEING_REPORTS, HiddenLoad};

// A batch job on the target's instance takes four of its ten slots. The gate went on handing over
// ten requests, of which four waited inside the target where nobody could refuse them any more.
#[test]
fn work_that_the_gate_did_not_hand_over_lowers_the_slots() {
    let mut hidden = HiddenLoad::new();
    for _ in 0..AGREEING_REPORTS {
        assert_eq!(hidden.usable_slots(10), 10);
        hidden.record(9, 5);
    }
    assert_eq!(hidden.usable_slots(10), 6);
}

// A report lags by half a second: it shows a burst that has just ended. One such look must not
// take slots away.
#[test]
fn one_late_report_changes_nothing() {
    let mut hidden = HiddenLoad::new();
    hidden.record(5, 5);
    hidden.record(10, 0);
    hidden.record(5, 5);
    assert_eq!(hidden.usable_slots(10), 10);
}

quickcheck! {
    /// Whatever a target says, half of its slots stay in use and none are added.
    fn a_liar_takes_at_most_half(reports: Vec<(u16, u16)>, slots: u16) -> bool {
        let mut hidden = HiddenLoad::new();
        reports.iter().all(|(reported, handed_over)| {
            hidden.record(*reported, *handed_over);
            let usable = hidden.usable_slots(slots);
            usable <= slots && usable >= slots - slots / 2
        })
    }
}
