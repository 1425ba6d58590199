use super::*;

const NOW: Micros = 10_000_000;

fn evidence(all: &[(Micros, Observation)]) -> Evidence {
    let mut observations = Observations::default();
    all.iter().for_each(|(ago, observation)| observations.record(NOW - ago, 'a', *observation));
    observations.forget_old(NOW);
    observations.evidence(NOW, 'a')
}

#[test]
fn evidence_counts_since_newest_fault() {
    let evidence_now = evidence(&[
        (3_500_000, Observation::Failed),
        (2_500_000, Observation::Served),
        (2_000_000, Observation::Failed),
        (1_500_000, Observation::TimedOut),
        (500_000, Observation::Served),
    ]);
    assert_eq!(
        (evidence_now.failed, evidence_now.timed_out, evidence_now.served, evidence_now.age_tenths),
        (1, 1, 1, 15)
    );
    let well = evidence(&[(900_000, Observation::Served), (200_000, Observation::Served)]);
    assert_eq!((well.faults(), well.served, well.age_tenths), (0, 2, 2));
    assert_eq!(evidence(&[(4_000_000, Observation::Silent)]), Evidence::default());
}

#[test]
fn counts_saturate() {
    let evidence_now = evidence(&[(1_000, Observation::Full); 5000]);
    assert_eq!(evidence_now.full, 255);
}
