use super::*;

#[test]
fn lists_every_class_from_the_start() {
    let mut metrics = Metrics::default();
    metrics.set_classes(["look", "edit"].into_iter());
    let gauges = Gauges { in_progress: 3, known_endpoints: 2, skipped_endpoints: 1, ..Gauges::default() };
    let text = metrics.text(gauges.clone(), std::iter::empty());
    assert!(text.starts_with("svc.handled.look.passed:0|c\nsvc.handled.look.dropped:0|c\n"), "{text}");
    assert!(
        text.ends_with("svc.in_progress:3|g\nsvc.known_render_nodes:2|g\nsvc.skipped_render_nodes:1|g\n")
    );
    metrics.served(1);
    metrics.failed(0);
    // The class `edit` is removed, and added again with another number.
    metrics.set_classes(["look", "print"].into_iter());
    metrics.rejected(1);
    metrics.set_classes(["look", "print", "edit"].into_iter());
    metrics.served(2);
    metrics.served(9);
    let text = metrics.text(gauges, std::iter::empty());
    for line in ["look.bad_gateway:1|c", "edit.passed:2|c", "print.dropped:1|c", "print.passed:0|c"] {
        assert!(text.contains(&format!("svc.handled.{line}\n")), "{line}: {text}");
    }
}

#[test]
fn shows_affinity_subsets_where_they_are_on() {
    let affinity = Some(AffinityMetrics {
        groups: 2,
        largest_subset: 205,
        tables_received: 31,
        groups_cut: 4,
        datagrams_dropped: 5,
    });
    let text = Metrics::default().text(Gauges { affinity, ..Gauges::default() }, std::iter::empty());
    let told = "svc.homes.groups:2|g\nsvc.homes.most:205|g\nsvc.homes.told:31|c\nsvc.homes.cut:4|c\nsvc.homes.dropped:5|c\n";
    assert!(text.ends_with(told), "{text}");
    assert!(!Metrics::default().text(Gauges::default(), std::iter::empty()).contains("homes"));
}

#[test]
fn escapes_class_names() {
    let mut metrics = Metrics::default();
    metrics.set_classes(["a:1|c\nsvc.b", "ok-name_2"].into_iter());
    let text = metrics.text(Gauges::default(), std::iter::empty());
    assert!(text.contains("svc.handled.a%3a1%7cc%0asvc%2eb.passed:0|c\n"), "{text}");
    assert!(text.contains("svc.handled.ok-name_2.passed:0|c\n"), "{text}");
    assert!(text.lines().all(|line| line.matches(':').count() == 1 && line.matches('|').count() == 1));
}
