use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

proptest! {
    #[test]
    fn accepts_each_counter_once(counters in prop::collection::vec(1u64..200, 1..300)) {
        let (mut window, mut seen) = (ReplayWindow::default(), BTreeSet::new());
        for counter in counters {
            let newest = seen.last().copied().unwrap_or(0);
            let wanted = !seen.contains(&counter) && counter + WIDTH > newest;
            prop_assert_eq!(window.accepts(counter), wanted, "{} after {}", counter, newest);
            if wanted {
                window.record(counter);
                seen.insert(counter);
            }
        }
    }
}
