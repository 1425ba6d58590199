//! After a step of the wall clock, epochs follow the new time, since all members must agree on them. No other time follows the
//! step.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_aggregation::{
    EPOCH, FleetSection, Input, Member, Micros, Output, Settings, aggregator_order,
};

const SECOND: Micros = 1_000_000;
const MEMBERS: u32 = 12;
const UNIX: Micros = 90_000 * EPOCH + SECOND;

fn settings() -> Settings {
    FleetSection { members_from: Some(4), ..FleetSection::default() }.check().unwrap().unwrap()
}

fn report_receivers(member: &mut Member, now: Micros) -> Vec<u32> {
    member.handle(now, Input::Tick);
    let outputs = std::iter::from_fn(|| member.poll());
    outputs.filter_map(|output| if let Output::Send { to, .. } = output { Some(to) } else { None }).collect()
}

/// A member started before a step of the wall clock and a member started after it report to the same aggregator.
#[test]
fn epoch_follows_stepped_wall_clock() {
    for step in [-3600 * SECOND, -7 * SECOND, 7 * SECOND, 3600 * SECOND] {
        let unix = UNIX + 2 * SECOND + step;
        let aggregator = aggregator_order((unix / EPOCH) as u64, MEMBERS)[0];
        let ordinal = (aggregator + 1) % MEMBERS;
        // One member starts before the step, and one after it.
        let mut before = Member::new(settings(), ordinal, MEMBERS, 1, 0, UNIX);
        before.set_wall_clock(2 * SECOND, unix);
        let mut after = Member::new(settings(), ordinal, MEMBERS, 2, 2 * SECOND, unix);
        for member in [&mut before, &mut after] {
            let at = member.next_timeout().max(2 * SECOND);
            let receivers = report_receivers(member, at);
            assert_eq!(receivers.first(), Some(&aggregator), "step of {step} us: reported to {receivers:?}");
            assert!(member.next_timeout() < at + 10 * SECOND, "the timeout does not follow the step");
        }
    }
}
