//! Reads settings in the form in which the platform sends them. Valid values are accepted; invalid ones are
//! rejected with an error that states the key, the value found and the values allowed.
#![allow(
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::too_many_lines,
    reason = "a test panics, and reads from top to bottom"
)]

use cottonnotch_decision::settings::{InvalidSetting, Pairs, Profile, read};
use cottonnotch_decision::*;

/// The example from the simulator's documentation.
const EXAMPLE: &str = "balancers=5 \
    clients.marksRetry=true \
    familyInfo.groups=true \
    familyInfo.hint=usual_load_of_the_connection:_work_a_second__in_the_unit_of_time_of_the_hint_field \
    familyInfo.messageAim=150000.0,60000.0,250000.0 \
    familyInfo.mode=proxy \
    familyInfo.notes=1_the_load_of_the_connection_now__always_in_microseconds_of_work_a_second;_2_milliseconds_that_a_message_takes_at_its_server_now \
    familyInfo.park=0 \
    familyInfo.reportX0=load_asked_of_the_server_over_what_it_can_do \
    familyInfo.reportX1=seconds_of_work_piled_up \
    familyInfo.tellsDelay=true \
    familyInfo.tellsLoad=true \
    familyInfo.tenantQuotaConnections=221.0,182.0,89.0 \
    ordinal=0 \
    overShareWorth=0.05 \
    policyLimits.cancel=true \
    policyLimits.connIdle=10000000 \
    policyLimits.connectTimeout=250000 \
    policyLimits.cpuUsPerRequest=0.0 \
    policyLimits.cpuUsPerS=800000 \
    policyLimits.maxOpen=1000000 \
    policyLimits.maxRetryAfter=1000000 \
    policyLimits.maxStreams=1048576 \
    policyLimits.mayTell=true \
    policyLimits.mostTries=3 \
    policyLimits.parallelTries=false \
    policyLimits.probes=true \
    policyLimits.retryAfter=true \
    prices.connection=0.0 \
    prices.crossZone=0.012 \
    prices.handshake=0.0 \
    prices.lateFail=0.063 \
    prices.moves=0.042 \
    prices.origin=0.0 \
    prices.peer=0.01 \
    prices.probe=0.002 \
    prices.registryMode=0.0 \
    prices.waste=0.1 \
    registryMode=on_request \
    report.columns= \
    report.how=none \
    requestClasses.count=3 \
    requestClasses.0.deadline=1800000 \
    requestClasses.0.effect=safe \
    requestClasses.0.gain=1.0 \
    requestClasses.0.group=all \
    requestClasses.0.lateWorth=0.0 \
    requestClasses.0.name=page-view \
    requestClasses.0.streaming=true \
    requestClasses.0.target=300000 \
    requestClasses.0.window=5000000 \
    requestClasses.1.deadline=1200000 \
    requestClasses.1.effect=safe \
    requestClasses.1.gain=1.0 \
    requestClasses.1.group=all \
    requestClasses.1.lateWorth=0.0 \
    requestClasses.1.name=note-edit \
    requestClasses.1.streaming=true \
    requestClasses.1.target=300000 \
    requestClasses.1.window=5000000 \
    requestClasses.2.deadline=2000000 \
    requestClasses.2.effect=safe \
    requestClasses.2.gain=3.0 \
    requestClasses.2.group=all \
    requestClasses.2.lateWorth=0.0 \
    requestClasses.2.name=part-export \
    requestClasses.2.streaming=true \
    requestClasses.2.target=500000 \
    requestClasses.2.window=5000000 \
    resultMix.whole=0.3 \
    resultMix.worstClass=0.3 \
    resultMix.worstTenant=0.1 \
    resultMix.worstWindow=0.3 \
    rules.answerSlack=8000 \
    rules.askWithin=10000000 \
    rules.coldFrom=0.3 \
    rules.fall=2000000 \
    rules.fallMultiple=3.0 \
    rules.stopSendingWithin=1000000 \
    rules.warmUp=9000000 \
    skus=fast-2c,std-2c \
    step=2000 \
    tenants.count=3 \
    tenants.0.allowancePerS=5.0 \
    tenants.0.name=editora-pampa \
    tenants.0.share=0.45 \
    tenants.1.allowancePerS=4.0 \
    tenants.1.name=casa-coral-sul \
    tenants.1.share=0.37 \
    tenants.2.allowancePerS=2.0 \
    tenants.2.name=musica-serra \
    tenants.2.share=0.18 \
    tier=0 \
    tiers=render-fleet \
    weights=nominal \
    workload=conn \
    worthBy=request \
    zone=hall-d \
    zones=hall-a,hall-b,hall-c,hall-d,hall-e";

/// Reads the example with some values replaced, or with keys removed (`None`).
fn read_with(changes: &[(&str, Option<&str>)]) -> Result<Profile, InvalidSetting> {
    let mut pairs = Pairs::default();
    for pair in EXAMPLE.split(' ') {
        let (key, value) = pair.split_once('=').expect("a pair");
        pairs.values.insert(key.to_owned(), value.to_owned());
    }
    for (key, value) in changes {
        match value {
            Some(value) => pairs.values.insert((*key).to_owned(), (*value).to_owned()),
            None => pairs.values.remove(*key),
        };
    }
    read(&pairs)
}

fn first_class_with(changes: &[(&str, Option<&str>)]) -> Class {
    read_with(changes).expect("valid settings").settings.classes[0].clone()
}

#[test]
fn reads_documented_example() {
    let Profile { settings, connect_timeout, reports_latency, .. } = read_with(&[]).expect("valid settings");
    assert_eq!((settings.nodes, settings.classes.len(), settings.tenants.len()), (5, 3, 3));
    assert_eq!(settings.classes[2].target, 500_000);
    assert_eq!(settings.classes[1].message_latency_objective, 60_000);
    assert_eq!(settings.tenants[2].allowance_open, 89.0);
    assert_eq!((settings.list_on_request, settings.list_pushed), (true, false));
    assert_eq!((connect_timeout, reports_latency), (250_000, true));
}

/// The error states the key, the value found and the values allowed.
#[test]
fn rejects_unusable_values() {
    let keyed = ("requestClasses.0.effect", Some("keyed"));
    for (key, value, problem) in [
        ("policyLimits.mostTries", "0", "is below 1: '0', allowed: 1 or more"),
        ("policyLimits.mostTries", "0.5", "is below 1: '0.5', allowed: 1 or more"),
        ("policyLimits.mostTries", "-3", "is below 1: '-3', allowed: 1 or more"),
        ("policyLimits.mostTries", "many", "is not a number: 'many', allowed: a finite number"),
        ("policyLimits.retryAfter", "yes", "has an unknown value: 'yes', allowed: true, false, 1, 0"),
        ("policyLimits.maxRetryAfter", "-1", "is below 0: '-1', allowed: 0 or more"),
        ("policyLimits.connectTimeout", "inf", "is not a number: 'inf', allowed: a finite number"),
        ("requestClasses.0.deadline", "-1800000", "is below 0: '-1800000', allowed: 0 or more"),
        ("requestClasses.1.target", "NaN", "is not a number: 'NaN', allowed: a finite number"),
        ("requestClasses.0.window", "-5", "is below 0: '-5', allowed: 0 or more"),
        ("requestClasses.0.group", "rack", "has an unknown value: 'rack', allowed: all, zone, cell"),
        ("requestClasses.2.effect", "sfae", "has an unknown value: 'sfae', allowed: safe, keyed, unsafe"),
        ("requestClasses.2.gain", "-1", "is below 0: '-1', allowed: 0 or more"),
        ("requestClasses.count", "-1", "is below 0: '-1', allowed: 0 or more"),
        ("familyInfo.messageAim", "1,2,-3", "is not a valid number: '-3', allowed: 0 or more"),
        ("familyInfo.tenantQuotaConnections", "inf", "is not a valid number: 'inf', allowed: 0 or more"),
        ("tenants.1.allowancePerS", "-0.5", "is below 0: '-0.5', allowed: 0 or more"),
        ("rules.coldFrom", "-0.1", "is below 0: '-0.1', allowed: 0 or more"),
        ("rules.warmUp", "-9", "is below 0: '-9', allowed: 0 or more"),
        ("balancers", "-5", "is below 0: '-5', allowed: 0 or more"),
        ("step", "-1", "is below 0: '-1', allowed: 0 or more"),
    ] {
        let error = read_with(&[keyed, (key, Some(value))]).expect_err(key);
        let list = ["familyInfo.messageAim", "familyInfo.tenantQuotaConnections"].contains(&key);
        let path = match key {
            "familyInfo.messageAim" => format!("{key}.2"),
            _ if list => format!("{key}.0"),
            _ => key.to_owned(),
        };
        assert_eq!((error.key, error.problem.as_str()), (path, problem));
    }
}

#[test]
fn error_shows_excerpt_of_value() {
    let long = "x".repeat(5_000);
    let error = read_with(&[("step", Some(&long))]).expect_err("no number");
    assert!(error.problem.len() < 120, "{}", error.problem);
}

#[test]
fn accepts_valid_values() {
    for (key, value) in [
        // The class is not keyed, so its window and group have no effect.
        ("requestClasses.0.window", "0"),
        ("requestClasses.0.group", "none"),
        ("requestClasses.0.group", "-"),
        ("requestClasses.0.deadline", "0"),
        ("requestClasses.0.target", "0"),
        ("requestClasses.0.gain", "0"),
        ("requestClasses.0.deadline", "1e300"),
        ("familyInfo.messageAim", ""),
        ("familyInfo.messageAim", "150000.0,-,0"),
        ("familyInfo.park", "-1"),
        ("policyLimits.mostTries", "1"),
        ("policyLimits.connectTimeout", "0"),
        ("policyLimits.cpuUsPerRequest", "a new form"),
        ("policyLimits.maxRetryAfter", "0"),
        ("policyLimits.retryAfter", "0"),
        ("prices.moves", "-0.01"),
        ("rules.coldFrom", "0"),
        ("rules.coldFrom", "1.5"),
        ("rules.fallMultiple", "0"),
        ("rules.warmUp", "0"),
        ("registryMode", "pushed"),
        ("balancers", "0"),
        ("step", "0"),
        ("tenants.count", "0"),
        ("a.key.of.tomorrow", "-7"),
    ] {
        if let Err(error) = read_with(&[(key, Some(value))]) {
            panic!("{key}={value}: {error:?}");
        }
    }
}

#[test]
fn missing_values_allow_least() {
    let idempotency = |value| ("requestClasses.0.effect", value);
    assert_eq!(first_class_with(&[idempotency(None)]).idempotency, Idempotency::NotIdempotent);
    let group = |value| [idempotency(Some("keyed")), ("requestClasses.0.group", value)];
    let window = 5_000_000;
    assert_eq!(
        first_class_with(&group(Some("zone"))).idempotency,
        Idempotency::Keyed { scope: Scope::Zone, window }
    );
    assert_eq!(first_class_with(&group(None)).idempotency, Idempotency::Keyed { scope: Scope::Cell, window });
    let no_window = [idempotency(Some("keyed")), ("requestClasses.0.window", None)];
    assert_eq!(first_class_with(&no_window).idempotency, Idempotency::Keyed { scope: Scope::All, window: 0 });
    assert_eq!(first_class_with(&[("policyLimits.mostTries", None)]).attempts, 1);
    let pushed = read_with(&[("registryMode", None)]).expect("valid settings").settings;
    assert_eq!((pushed.list_on_request, pushed.list_pushed), (false, true));
}

#[test]
fn only_registered_weights_state_sizes() {
    for (stated, meaning) in [
        (None, WeightMeaning::Nothing),
        (Some("none"), WeightMeaning::Nothing),
        (Some("nominal"), WeightMeaning::Size),
        (Some("rough"), WeightMeaning::Size),
        (Some("live"), WeightMeaning::Live),
    ] {
        let weights = read_with(&[("weights", stated)]).expect("valid settings").settings.weights;
        assert_eq!(weights, meaning, "{stated:?}");
    }
    assert_eq!((WeightMeaning::Live.size(0.1), WeightMeaning::Live.turn_weight(0.1)), (1.0, 0.1));
}
