//! The settings' names and units, read into the module's own terms: the one mapping that the adapter (the
//! simulator's first message) and the proxy (its configuration) share. Unknown keys are ignored; a value of a known one
//! that can't be used is refused, with the key's full path, what was found and what is allowed.

use crate::interface::{Class, Idempotency, Micros, Scope, Settings, Tenant, ZoneId};
use crate::names::Names;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The module's settings, and the names that the wire uses.
#[derive(Debug)]
pub struct Profile {
    /// What the module is started with.
    pub settings: Settings,
    /// Classes, numbered as in the settings.
    pub classes: Names,
    /// Tenants, numbered as in the settings.
    pub tenants: Names,
    /// Classes that were withdrawn: connections that are open still have them, new ones may not.
    pub withdrawn: BTreeSet<u32>,
    /// Zones, numbered as in the settings; a list may name more.
    pub zones: Names,
    /// A connection that is not up after this long could not be made.
    pub connect_timeout: Micros,
    /// Servers note how long a message takes there, too, and not only connections' loads.
    pub reports_latency: bool,
}

impl Profile {
    /// The number of a class that may be asked for.
    pub fn class(&self, name: &str) -> Option<u32> {
        self.classes.find(name).filter(|class| !self.withdrawn.contains(class))
    }

    /// These settings in place of `old` ones, under the numbers that those gave. Guards against connections
    /// that are open: they carry a class, a tenant and a zone by number, and a new file may have another
    /// order, or leave some out.
    pub fn renumbered_from(mut self, old: &Profile) -> Profile {
        let (mut classes, mut class_list) = (old.classes.clone(), old.settings.classes.clone());
        let offered: BTreeSet<u32> = (self.settings.classes.drain(..).enumerate())
            .map(|(i, class)| place_class(&mut classes, &mut class_list, self.classes.name(i as u32), class))
            .collect();
        self.withdrawn = (0..class_list.len() as u32).filter(|class| !offered.contains(class)).collect();
        for class in &self.withdrawn {
            // No new message is measured by the aim of a class that is not offered any more.
            class_list[*class as usize].message_latency_objective = 0;
        }
        let (mut tenants, mut tenant_list) = (old.tenants.clone(), old.settings.tenants.clone());
        for (i, tenant) in self.settings.tenants.drain(..).enumerate() {
            place(&mut tenants, &mut tenant_list, self.tenants.name(i as u32), tenant);
        }
        let mut zones = old.zones.clone();
        self.settings.zone = ZoneId(zones.intern(self.zones.name(u32::from(self.settings.zone.0))) as u16);
        (self.settings.classes, self.settings.tenants) = (class_list, tenant_list);
        Profile { classes, tenants, zones, ..self }
    }
}

/// Numbers of classes are 16 bits wide, and each set of rules that a class had takes one.
const MOST_CLASSES: usize = 60_000;

/// Puts a class under a number of its name that has the same rules, or under a new one. Guards against requests that were
/// taken by the old rules: they go by them to their end. Only the aim of messages is everybody's at once.
fn place_class(names: &mut Names, list: &mut Vec<Class>, name: &str, class: Class) -> u32 {
    let alike = |there: &Class| {
        Class { message_latency_objective: class.message_latency_objective, ..there.clone() } == class
    };
    let same = names.numbers_of(name).find(|number| list.get(*number as usize).is_some_and(alike));
    match same {
        Some(number) => {
            names.prefer(number);
            list[number as usize].message_latency_objective = class.message_latency_objective;
            number
        }
        None if list.len() >= MOST_CLASSES => place(names, list, name, class),
        None => {
            list.push(class);
            names.renew(name)
        }
    }
}

/// Puts an item under the number of its name.
fn place<T>(names: &mut Names, list: &mut Vec<T>, name: &str, item: T) -> u32 {
    let number = names.intern(name);
    match list.get_mut(number as usize) {
        Some(there) => *there = item,
        None => list.push(item),
    }
    number
}

/// A setting that cannot be used: its key, and the problem with its value.
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The faulty key, by its full path.
    pub key: String,
    /// What is wrong, to be read after the key.
    pub problem: String,
}

impl InvalidSetting {
    fn new(key: &str, problem: &str, found: &str, allowed: &str) -> Self {
        let short: String = found.chars().take(40).collect();
        InvalidSetting { key: key.to_owned(), problem: format!("{problem}: '{short}', allowed: {allowed}") }
    }
}

/// No time is longer; what is, is as good as without end.
const LONGEST: f64 = 4e15;

fn number(text: &str) -> Option<f64> {
    text.parse().ok().filter(|value: &f64| value.is_finite())
}

/// Settings as flat pairs of a path and a value: a list of plain values is joined with commas; a list of
/// objects has its length under `.count` and its items under `.0`, `.1` ...
#[derive(Debug, Default)]
pub struct Pairs(pub HashMap<String, String>, RefCell<BTreeMap<String, Option<String>>>);

impl Pairs {
    /// What [`read`] asked for, by key: the default that it took, or nothing where the pairs had a value. For
    /// those who check a configuration: what was given and not asked for has no effect.
    pub fn lookups(&self) -> BTreeMap<String, Option<String>> {
        self.1.borrow().clone()
    }

    /// The value of a key; `default` is only noted.
    fn given(&self, key: &str, default: impl ToString) -> Option<&str> {
        let text = self.0.get(key).map(String::as_str).filter(|v| !v.is_empty() && *v != "-");
        let default = text.is_none().then(|| default.to_string());
        self.1.borrow_mut().insert(key.to_owned(), default);
        text
    }

    fn text(&self, key: &str) -> Option<&str> {
        self.given(key, "-")
    }

    /// A finite number.
    fn figure(&self, key: &str, default: f64) -> Result<f64, InvalidSetting> {
        let Some(text) = self.given(key, default) else { return Ok(default) };
        number(text).ok_or_else(|| InvalidSetting::new(key, "is not a number", text, "a finite number"))
    }

    /// A number that can't be below `least`. Guards against what a clamp would make of it in silence.
    fn from(&self, least: f64, key: &str, default: f64) -> Result<f64, InvalidSetting> {
        let value = self.figure(key, default)?;
        if value >= least {
            return Ok(value);
        }
        let (problem, allowed) = (format!("is below {least}"), format!("{least} or more"));
        Err(InvalidSetting::new(key, &problem, self.text(key).unwrap_or_default(), &allowed))
    }

    fn time(&self, key: &str, default: Micros) -> Result<Micros, InvalidSetting> {
        Ok(self.from(0.0, key, default as f64)?.min(LONGEST) as Micros)
    }

    fn count(&self, least: u32, key: &str, default: u32) -> Result<u32, InvalidSetting> {
        Ok(self.from(f64::from(least), key, f64::from(default))?.min(4e9) as u32)
    }

    fn flag(&self, key: &str) -> Result<bool, InvalidSetting> {
        let word = self.word(key, "false", &["true", "false", "1", "0"])?;
        Ok(matches!(word, "true" | "1"))
    }

    /// One of these words. Guards against a misspelt one, which would be read as something else in silence: unknown keys
    /// are ignored, but what a known one may say is told in full.
    fn word<'a>(&'a self, key: &str, default: &'a str, words: &[&str]) -> Result<&'a str, InvalidSetting> {
        let word = self.given(key, default).unwrap_or(default);
        if words.contains(&word) {
            return Ok(word);
        }
        Err(InvalidSetting::new(key, "has an unknown value", word, &words.join(", ")))
    }

    /// A list of numbers of 0 or more; what is left out of it is 0.
    fn figures(&self, key: &str) -> Result<Vec<f64>, InvalidSetting> {
        let figure = |(i, text): (usize, &str)| match number(text) {
            _ if text.is_empty() || text == "-" => Ok(0.0),
            Some(value) if value >= 0.0 => Ok(value),
            _ => Err(InvalidSetting::new(&format!("{key}.{i}"), "is no such number", text, "0 or more")),
        };
        self.list(key).into_iter().enumerate().map(figure).collect()
    }

    fn list(&self, key: &str) -> Vec<&str> {
        self.text(key).map(|v| v.split(',').collect()).unwrap_or_default()
    }
}

/// Reads flat pairs into the module's terms.
pub fn read(pairs: &Pairs) -> Result<Profile, InvalidSetting> {
    let (mut classes, mut tenants, mut zones) = (Names::default(), Names::default(), Names::default());
    for zone in pairs.list("zones") {
        zones.intern(zone);
    }
    let aims = pairs.figures("familyInfo.messageAim")?;
    let attempts = pairs.count(1, "policyLimits.mostTries", 1)?;
    let mut class_list = Vec::new();
    for i in 0..pairs.count(0, "requestClasses.count", 0)?.min(10_000) {
        let key = |name: &str| format!("requestClasses.{i}.{name}");
        let Some(name) = pairs.text(&key("name")) else { continue };
        let effect = match pairs.word(&key("effect"), "unsafe", &["safe", "keyed", "unsafe"])? {
            "safe" => Idempotency::Idempotent,
            "keyed" => {
                // Left out, it is what allows least.
                let scope = match pairs.word(&key("group"), "cell", &["all", "zone", "cell"])? {
                    "all" => Scope::All,
                    "zone" => Scope::Zone,
                    _ => Scope::Cell,
                };
                Idempotency::Keyed { scope, window: pairs.time(&key("window"), 0)? }
            }
            _ => Idempotency::NotIdempotent,
        };
        if classes.intern(name) as usize != class_list.len() {
            continue;
        }
        class_list.push(Class {
            target: pairs.time(&key("target"), 0)?,
            deadline: pairs.time(&key("deadline"), 0)?,
            message_latency_objective: aims.get(i as usize).map_or(0, |aim| aim.min(LONGEST) as Micros),
            attempts,
            idempotency: effect,
            priority_weight: pairs.from(0.0, &key("gain"), 1.0)?,
        });
    }
    let open = pairs.figures("familyInfo.tenantQuotaConnections")?;
    let mut tenant_list = Vec::new();
    for i in 0..pairs.count(0, "tenants.count", 0)?.min(10_000) {
        let key = |name: &str| format!("tenants.{i}.{name}");
        let Some(name) = pairs.text(&key("name")) else { continue };
        if tenants.intern(name) as usize != tenant_list.len() {
            continue;
        }
        tenant_list.push(Tenant {
            allowance_per_s: pairs.from(0.0, &key("allowancePerS"), 0.0)?,
            allowance_open: open.get(i as usize).copied().unwrap_or(0.0),
        });
    }
    let columns = pairs.list("report.columns");
    let list_on_request = pairs.text("registryMode") == Some("on_request");
    let settings = Settings {
        ordinal: pairs.count(0, "ordinal", 0)?,
        nodes: pairs.count(0, "balancers", 1)?,
        zone: ZoneId(pairs.text("zone").map_or(0, |z| zones.intern(z)) as u16),
        classes: class_list,
        tenants: tenant_list,
        groups: pairs.flag("familyInfo.groups")?,
        weight_by_work: pairs.text("worthBy") == Some("work"),
        over_quota_weight: pairs.from(0.0, "overShareWorth", 1.0)?,
        step: pairs.time("step", 1_000)?,
        list_on_request,
        list_pushed: !list_on_request,
        weighted: pairs.text("weights").is_some_and(|w| w != "none"),
        retry_after: pairs.flag("policyLimits.retryAfter")?,
        max_retry_after: pairs.time("policyLimits.maxRetryAfter", 0)?,
        slow_start_from: pairs.from(0.0, "rules.coldFrom", 1.0)?,
        slow_start_window: pairs.time("rules.warmUp", 0)?,
        overload_multiple: pairs.from(0.0, "rules.fallMultiple", 1.0)?,
        overload_window: pairs.time("rules.fall", 0)?,
        probes: pairs.flag("policyLimits.probes")?,
        report_load: columns.iter().position(|c| *c == "x0"),
        probe_price: pairs.figure("prices.probe", 0.0)?,
        migration_price: pairs.figure("prices.moves", 0.0)?,
    };
    let connect_timeout = pairs.time("policyLimits.connectTimeout", 250_000)?;
    let reports_latency = pairs.flag("familyInfo.tellsDelay")?;
    let withdrawn = BTreeSet::new();
    Ok(Profile { settings, classes, withdrawn, tenants, zones, connect_timeout, reports_latency })
}
