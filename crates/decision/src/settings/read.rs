//! Maps the keys of the settings to the module's own types.

use super::Profile;
use super::pairs::{InvalidSetting, MAX_TIME_US, Pairs};
use crate::interface::{Class, Idempotency, Micros, Scope, Settings, Tenant, WeightMeaning, ZoneId};
use crate::names::Names;
use std::collections::BTreeSet;

/// Maximum number of classes, and of tenants, that are read.
const MAX_ITEMS: u32 = 10_000;

/// Reads flat pairs into a [`Profile`].
///
/// # Errors
/// Returns the error for the first unusable value, in the order in which the keys are read.
pub fn read(pairs: &Pairs) -> Result<Profile, InvalidSetting> {
    let mut zones = Names::default();
    for zone in pairs.list("zones") {
        zones.intern(zone);
    }
    let (classes, class_list) = read_classes(pairs)?;
    let (tenants, tenant_list) = read_tenants(pairs)?;
    let settings = read_settings(pairs, &mut zones, class_list, tenant_list)?;
    Ok(Profile {
        settings,
        classes,
        withdrawn: BTreeSet::new(),
        tenants,
        zones,
        connect_timeout: pairs.time("policyLimits.connectTimeout", 250_000)?,
        reports_latency: pairs.flag("familyInfo.tellsDelay")?,
    })
}

/// Reads the classes that have a name. Where several classes have the same name, the first one counts.
fn read_classes(pairs: &Pairs) -> Result<(Names, Vec<Class>), InvalidSetting> {
    let (mut names, mut classes) = (Names::default(), Vec::new());
    let objectives = pairs.numbers("familyInfo.messageAim")?;
    let attempts = pairs.count(1, "policyLimits.mostTries", 1)?;
    for i in 0..pairs.count(0, "requestClasses.count", 0)?.min(MAX_ITEMS) {
        let key = |name: &str| format!("requestClasses.{i}.{name}");
        let Some(name) = pairs.text(&key("name")) else { continue };
        let idempotency = read_idempotency(pairs, key)?;
        if names.intern(name) as usize != classes.len() {
            continue;
        }
        classes.push(Class {
            target: pairs.time(&key("target"), 0)?,
            deadline: pairs.time(&key("deadline"), 0)?,
            message_latency_objective: objectives.get(i as usize).map_or(0, |o| o.min(MAX_TIME_US) as Micros),
            attempts,
            idempotency,
            priority_weight: pairs.number_at_least(0.0, &key("gain"), 1.0)?,
        });
    }
    Ok((names, classes))
}

fn read_idempotency(pairs: &Pairs, key: impl Fn(&str) -> String) -> Result<Idempotency, InvalidSetting> {
    Ok(match pairs.one_of(&key("effect"), "unsafe", &["safe", "keyed", "unsafe"])? {
        "safe" => Idempotency::Idempotent,
        "keyed" => {
            // The default is the most restrictive scope.
            let scope = match pairs.one_of(&key("group"), "cell", &["all", "zone", "cell"])? {
                "all" => Scope::All,
                "zone" => Scope::Zone,
                _ => Scope::Cell,
            };
            Idempotency::Keyed { scope, window: pairs.time(&key("window"), 0)? }
        }
        _ => Idempotency::NotIdempotent,
    })
}

/// Reads the tenants that have a name. Where several tenants have the same name, the first one counts.
fn read_tenants(pairs: &Pairs) -> Result<(Names, Vec<Tenant>), InvalidSetting> {
    let (mut names, mut tenants) = (Names::default(), Vec::new());
    let open = pairs.numbers("familyInfo.tenantQuotaConnections")?;
    for i in 0..pairs.count(0, "tenants.count", 0)?.min(MAX_ITEMS) {
        let key = |name: &str| format!("tenants.{i}.{name}");
        let Some(name) = pairs.text(&key("name")) else { continue };
        if names.intern(name) as usize != tenants.len() {
            continue;
        }
        tenants.push(Tenant {
            allowance_per_s: pairs.number_at_least(0.0, &key("allowancePerS"), 0.0)?,
            allowance_open: open.get(i as usize).copied().unwrap_or(0.0),
        });
    }
    Ok((names, tenants))
}

/// Reads what the weights in the list state. An unknown kind counts as sizes.
fn read_weights(pairs: &Pairs) -> WeightMeaning {
    match pairs.text("weights") {
        None | Some("none") => WeightMeaning::Nothing,
        Some("live") => WeightMeaning::Live,
        Some(_) => WeightMeaning::Size,
    }
}

fn read_settings(
    pairs: &Pairs,
    zones: &mut Names,
    classes: Vec<Class>,
    tenants: Vec<Tenant>,
) -> Result<Settings, InvalidSetting> {
    let columns = pairs.list("report.columns");
    let list_on_request = pairs.text("registryMode") == Some("on_request");
    Ok(Settings {
        ordinal: pairs.count(0, "ordinal", 0)?,
        nodes: pairs.count(0, "balancers", 1)?,
        zone: ZoneId(pairs.text("zone").map_or(0, |z| zones.intern(z)) as u16),
        classes,
        tenants,
        groups: pairs.flag("familyInfo.groups")?,
        weight_by_work: pairs.text("worthBy") == Some("work"),
        over_quota_weight: pairs.number_at_least(0.0, "overShareWorth", 1.0)?,
        step: pairs.time("step", 1_000)?,
        list_on_request,
        list_pushed: !list_on_request,
        weights: read_weights(pairs),
        retry_after: pairs.flag("policyLimits.retryAfter")?,
        max_retry_after: pairs.time("policyLimits.maxRetryAfter", 0)?,
        slow_start_from: pairs.number_at_least(0.0, "rules.coldFrom", 1.0)?,
        slow_start_window: pairs.time("rules.warmUp", 0)?,
        overload_multiple: pairs.number_at_least(0.0, "rules.fallMultiple", 1.0)?,
        overload_window: pairs.time("rules.fall", 0)?,
        probes: pairs.flag("policyLimits.probes")?,
        report_load: columns.iter().position(|c| *c == "x0"),
        probe_price: pairs.number("prices.probe", 0.0)?,
        migration_price: pairs.number("prices.moves", 0.0)?,
    })
}
