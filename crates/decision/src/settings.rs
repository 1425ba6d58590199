//! The settings' names and units, read into the module's own terms: the one mapping that the adapter (the
//! simulator's first message) and the proxy (its configuration) share. Unknown keys are ignored; a value of a known one
//! that can't be used is an error, with the key's full path, what was found and what is allowed.

mod pairs;
mod read;

use crate::interface::{Class, Micros, Settings, ZoneId};
use crate::names::Names;
use std::collections::BTreeSet;

pub use pairs::{InvalidSetting, Pairs};
pub use read::read;

/// The module's settings, and the names that the wire uses.
#[derive(Debug)]
pub struct Profile {
    /// The settings with which the module starts.
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
    /// Servers report the latency of messages, too, and not only the loads of connections.
    pub reports_latency: bool,
}

impl Profile {
    /// The number of a class that requests may have.
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
            // No new message is measured by the objective of a class that is not offered any more.
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
const MAX_CLASSES: usize = 60_000;

/// Puts a class under a number of its name that has the same rules, or under a new one. Guards against requests that were
/// taken by the old rules: they go by them to their end. Only the latency objective of messages changes for all at once.
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
        None if list.len() >= MAX_CLASSES => place(names, list, name, class),
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
