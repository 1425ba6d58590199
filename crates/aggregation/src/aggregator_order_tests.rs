use super::*;

#[test]
fn duty_is_even_and_stable() {
    let mut epochs_as_aggregator = vec![0_u32; 300];
    for epoch in 0..30_000 {
        epochs_as_aggregator[aggregator_order(epoch, 300)[0] as usize] += 1;
    }
    assert!(epochs_as_aggregator.iter().all(|epochs| (50..170).contains(epochs)), "{epochs_as_aggregator:?}");
    let changed_epochs = (0..1_000)
        .filter(|epoch| aggregator_order(*epoch, 300)[0] != aggregator_order(*epoch, 301)[0])
        .count();
    assert!(
        changed_epochs < 15,
        "an additional member changes the aggregator in {changed_epochs} of 1,000 epochs"
    );
    assert_eq!(aggregator_order(7, 3).len(), 3);
    assert!(aggregator_order(7, 0).is_empty());
}
