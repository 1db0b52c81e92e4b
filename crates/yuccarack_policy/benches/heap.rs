//! Prints the heap size of a chooser, in total and per target.

use std::time::Instant;

use yuccarack_policy::choice::{Chooser, ChooserConfig, Member, MemberState};

#[global_allocator]
static ALLOCATOR: dhat::Alloc = dhat::Alloc;

fn members(count: usize) -> Vec<Member> {
    let member = |number: usize| Member {
        instance: format!("target-{number:04}"),
        incarnation: 1,
        failure_domain: format!("domain-{}", number % 3),
        slots: 10,
        state: MemberState::Ready,
    };
    (0..count).map(member).collect()
}

fn main() {
    let _profiler = dhat::Profiler::builder().testing().build();
    let now = Instant::now();
    for size in [6, 100, 2_500] {
        let members = members(size);
        let before = dhat::HeapStats::get().curr_bytes;
        let mut chooser = Chooser::new(ChooserConfig::default(), "domain-0".into());
        chooser.set_members(now, &members);
        let bytes = dhat::HeapStats::get().curr_bytes - before;
        println!(
            "heap of a chooser: {size:5} targets {bytes:8} bytes {:5} per target",
            bytes / size
        );
        drop(chooser);
    }
}
