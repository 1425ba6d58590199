use super::*;

#[test]
fn verdict_needs_fresh_evidence_of_one_kind() {
    let failing = Evidence { failed: 2, age_tenths: 5, ..Evidence::default() };
    assert_eq!(verdict(&failing), PeerVerdict::Unhealthy);
    assert_eq!(verdict(&Evidence { served: 1, ..failing }), PeerVerdict::Inconclusive);
    assert_eq!(verdict(&Evidence { age_tenths: 31, ..failing }), PeerVerdict::Inconclusive);
    assert_eq!(
        verdict(&Evidence { full: 9, ..Evidence::default() }),
        PeerVerdict::Inconclusive,
        "a full render node is not unhealthy"
    );
    assert_eq!(verdict(&Evidence { served: 3, ..Evidence::default() }), PeerVerdict::Healthy);
    assert_eq!(verdict(&Evidence::default()), PeerVerdict::Inconclusive);
}
