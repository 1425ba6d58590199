//! Reads the platform's settings into the module's own types. The adapter (from the simulator's first
//! message) and the proxy (from its configuration) share this mapping. Unknown keys are ignored. An unusable
//! value of a known key is an error, which states the key's full path, the value found and the values
//! allowed.

mod pairs;
mod read;

use crate::interface::{Class, Micros, Settings, ZoneId};
use crate::names::Names;
use std::collections::BTreeSet;

pub use pairs::{InvalidSetting, Pairs};
pub use read::read;

/// The module's settings, and the names of classes, tenants and zones.
#[derive(Debug)]
pub struct Profile {
    /// The settings with which the module starts.
    pub settings: Settings,
    /// Classes, numbered as in the settings.
    pub classes: Names,
    /// Tenants, numbered as in the settings.
    pub tenants: Names,
    /// Classes that the current settings no longer offer. Open connections keep them; new requests may not
    /// use them.
    pub withdrawn: BTreeSet<u32>,
    /// Zones, numbered as in the settings. A server list may add further zones.
    pub zones: Names,
    /// Time after which an attempt to open a connection to a server counts as failed.
    pub connect_timeout: Micros,
    /// Servers report the latency of messages in addition to the loads of connections.
    pub reports_latency: bool,
}

impl Profile {
    /// Returns the number of a class; `None` if new requests may not use it.
    pub fn class(&self, name: &str) -> Option<u32> {
        self.classes.find(name).filter(|class| !self.withdrawn.contains(class))
    }

    /// Returns these settings with the numbers that the `old` settings assigned. Open connections refer to
    /// their class, tenant and zone by number, and a new configuration may change the order or leave some
    /// out.
    pub fn renumbered_from(mut self, old: &Profile) -> Profile {
        let (mut classes, mut class_list) = (old.classes.clone(), old.settings.classes.clone());
        let offered_classes: BTreeSet<u32> = (self.settings.classes.drain(..).enumerate())
            .map(|(i, class)| number_class(&mut classes, &mut class_list, self.classes.name(i as u32), class))
            .collect();
        self.withdrawn =
            (0..class_list.len() as u32).filter(|class| !offered_classes.contains(class)).collect();
        for class in &self.withdrawn {
            // The latency objective of a class that is not offered any more applies to no new message.
            class_list[*class as usize].message_latency_objective = 0;
        }
        let (mut tenants, mut tenant_list) = (old.tenants.clone(), old.settings.tenants.clone());
        for (i, tenant) in self.settings.tenants.drain(..).enumerate() {
            insert_or_replace(&mut tenants, &mut tenant_list, self.tenants.name(i as u32), tenant);
        }
        let mut zones = old.zones.clone();
        self.settings.zone = ZoneId(zones.intern(self.zones.name(u32::from(self.settings.zone.0))) as u16);
        (self.settings.classes, self.settings.tenants) = (class_list, tenant_list);
        Profile { classes, tenants, zones, ..self }
    }
}

/// Maximum number of class numbers. They are 16 bits wide, and each distinct definition that a class had
/// takes one.
const MAX_CLASSES: usize = 60_000;

/// Puts a class under a number of its name that has the same definition, or under a new number, and returns
/// the number. Requests that were accepted under an old definition therefore keep it until they end. Only a
/// change of the latency objective of messages applies to all connections at once.
fn number_class(names: &mut Names, list: &mut Vec<Class>, name: &str, class: Class) -> u32 {
    let has_same_definition = |existing: &Class| {
        Class { message_latency_objective: class.message_latency_objective, ..existing.clone() } == class
    };
    let same =
        names.numbers_of(name).find(|number| list.get(*number as usize).is_some_and(has_same_definition));
    match same {
        Some(number) => {
            names.make_current(number);
            list[number as usize].message_latency_objective = class.message_latency_objective;
            number
        }
        None if list.len() >= MAX_CLASSES => insert_or_replace(names, list, name, class),
        None => {
            list.push(class);
            names.assign_new_number(name)
        }
    }
}

/// Puts an item under the number of its name, and returns the number.
fn insert_or_replace<T>(names: &mut Names, list: &mut Vec<T>, name: &str, item: T) -> u32 {
    let number = names.intern(name);
    match list.get_mut(number as usize) {
        Some(existing) => *existing = item,
        None => list.push(item),
    }
    number
}
