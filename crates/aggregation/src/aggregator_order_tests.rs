use super::*;

#[test]
fn duty_is_even_and_stable() {
    let mut duty = vec![0_u32; 300];
    for epoch in 0..30_000 {
        duty[aggregator_order(epoch, 300)[0] as usize] += 1;
    }
    assert!(duty.iter().all(|times| (50..170).contains(times)), "{duty:?}");
    let differ = (0..1_000)
        .filter(|epoch| aggregator_order(*epoch, 300)[0] != aggregator_order(*epoch, 301)[0])
        .count();
    assert!(differ < 15, "an additional member changes the aggregator in {differ} of 1,000 epochs");
    assert_eq!(aggregator_order(7, 3).len(), 3);
    assert!(aggregator_order(7, 0).is_empty());
}
