use super::*;

#[test]
fn words_need_one_kind_of_evidence_and_a_fresh_one() {
    let sick = Evidence { failed: 2, age_tenths: 5, ..Evidence::default() };
    assert_eq!(word(&sick), PeerVerdict::Unhealthy);
    assert_eq!(word(&Evidence { served: 1, ..sick }), PeerVerdict::Inconclusive);
    assert_eq!(word(&Evidence { age_tenths: 31, ..sick }), PeerVerdict::Inconclusive);
    assert_eq!(
        word(&Evidence { full: 9, ..Evidence::default() }),
        PeerVerdict::Inconclusive,
        "full is not sick"
    );
    assert_eq!(word(&Evidence { served: 3, ..Evidence::default() }), PeerVerdict::Healthy);
    assert_eq!(word(&Evidence::default()), PeerVerdict::Inconclusive);
}
