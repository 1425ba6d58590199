use super::*;

const NOW: Micros = 10_000_000;

fn evidence(all: &[(Micros, Observation)]) -> Evidence {
    let mut ledger = Observations::default();
    all.iter().for_each(|(ago, met)| ledger.record(NOW - ago, 'a', *met));
    ledger.forget_old(NOW);
    ledger.evidence(NOW, 'a')
}

#[test]
fn what_is_told_is_what_was_met_since_the_newest_trouble() {
    let told = evidence(&[
        (3_500_000, Observation::Failed),
        (2_500_000, Observation::Served),
        (2_000_000, Observation::Failed),
        (1_500_000, Observation::TimedOut),
        (500_000, Observation::Served),
    ]);
    assert_eq!((told.failed, told.timed_out, told.served, told.age_tenths), (1, 1, 1, 15));
    let well = evidence(&[(900_000, Observation::Served), (200_000, Observation::Served)]);
    assert_eq!((well.faults(), well.served, well.age_tenths), (0, 2, 2));
    assert_eq!(evidence(&[(4_000_000, Observation::Silent)]), Evidence::default());
}

#[test]
fn a_flood_is_kept_in_bounds() {
    let told = evidence(&[(1_000, Observation::Full); 5000]);
    assert_eq!(told.full, 255);
}
