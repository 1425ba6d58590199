//! One look at the candidates together: which are in force, and all that conflicts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::cache::Cache;
use crate::candidate::{Candidate, nowhere, sample};
use crate::compiled::{Compiled, Read, is_child, parent_of};
use crate::conflict::{Conflict, Witness};
use crate::file::Delegate;
use crate::ineffective::Children;
use crate::inventory::Inventory;

/// What one look found.
#[derive(Debug, Default)]
pub(crate) struct EvaluationRound {
    pub active: BTreeMap<String, Arc<Compiled>>,
    pub conflicts: Vec<Conflict>,
    /// Those that a parent in force keeps on their last good revision, and that parent.
    pub frozen: BTreeMap<String, String>,
    /// Those that a parent in force handed over, and to whom.
    pub handed: BTreeMap<String, String>,
}

/// How a namespace stands with its parent.
enum Stand<'a> {
    Root,
    /// Its parent is in conflict itself, or void: nothing is said of it until that is settled.
    Later,
    Orphan,
    Under(Arc<Compiled>, &'a Delegate),
}

impl EvaluationRound {
    pub fn run(
        candidates: &BTreeMap<String, Candidate>,
        void: &BTreeSet<String>,
        world: &Inventory,
        cache: &mut Cache,
    ) -> EvaluationRound {
        let mut pass = EvaluationRound::default();
        let mut later = BTreeSet::new();
        // A parent sorts before its children.
        for (path, candidate) in candidates {
            let Some(mut read) = candidate.read() else { continue };
            // What is void has nothing, and so has what lies below it.
            if void.contains(path) {
                later.insert(path.as_str());
                continue;
            }
            let above = parent_of(path).and_then(|parent| pass.active.get(parent)).cloned();
            let parent = match stand(path, above.as_ref(), &later, world) {
                Stand::Root => None,
                Stand::Later => {
                    later.insert(path.as_str());
                    continue;
                }
                Stand::Orphan => {
                    later.insert(path.as_str());
                    pass.conflicts.push(orphan(read, above.as_deref(), world));
                    continue;
                }
                Stand::Under(parent, delegate) => {
                    if delegate.handed_to.is_some() {
                        continue;
                    }
                    if delegate.frozen {
                        pass.frozen.insert(path.clone(), parent.path().to_owned());
                        let Some((good, _)) = &candidate.good else { continue };
                        read = good;
                    }
                    Some(parent)
                }
            };
            let void: Vec<&str> =
                void.iter().map(String::as_str).filter(|child| is_child(path, child)).collect();
            let compiled = cache.compiled(parent.as_ref(), read, &void);
            pass.conflicts.extend(compiled.conflicts.iter().cloned());
            for delegate in &read.file.delegates {
                if let Some(to) = &delegate.handed_to {
                    pass.handed.insert(delegate.to.clone(), to.clone());
                }
            }
            pass.active.insert(path.clone(), compiled);
        }
        pass.strangers(world);
        pass.find_ineffective_preferences(cache);
        pass.conflicts.sort();
        pass
    }

    /// Delegations to others than children: in a circle, or to no purpose.
    fn strangers(&mut self, world: &Inventory) {
        let mut edges = Vec::new();
        for (path, of) in &self.active {
            let strange = of.read.file.delegates.iter().filter(|delegate| !is_child(path, &delegate.to));
            edges.extend(strange.map(|delegate| (path.as_str(), delegate, of)));
        }
        let under = |path: &str, above: &str| {
            path.strip_prefix(above).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        };
        let mut found = Vec::new();
        for (from, delegate, of) in &edges {
            let one = of.read.spot(delegate.line, &format!("delegate {}", delegate.to));
            let target = self.active.get(&delegate.to);
            let other = target.map_or(nowhere(&delegate.to), |to| to.read.spot(to.read.file.line, ""));
            let on = of.scope.narrow(&delegate.tenants, &delegate.classes, &delegate.groups);
            let witness = Witness::new(&world.sample(&on), None);
            // A namespace leads to all below it, and by its strange delegations elsewhere.
            let mut reached = BTreeSet::from([delegate.to.as_str()]);
            loop {
                let before = reached.len();
                for (start, next, _) in &edges {
                    if reached.iter().any(|above| under(start, above)) {
                        reached.insert(&next.to);
                    }
                }
                if reached.len() == before {
                    break;
                }
            }
            found.push(if reached.iter().any(|above| under(from, above)) {
                Conflict::Circle { one, other, witness }
            } else {
                Conflict::NotItsChild { one, other, witness }
            });
        }
        self.conflicts.extend(found);
    }

    fn find_ineffective_preferences(&mut self, cache: &mut Cache) {
        let mut children = Children::new();
        let mut digests = BTreeMap::<&str, blake3::Hasher>::new();
        // Children sort after their parents, so backwards each is whole before its parent asks for it.
        for (path, of) in self.active.iter().rev() {
            let mut hasher = digests.remove(path.as_str()).unwrap_or_default();
            hasher.update(&of.key);
            let digest = *hasher.finalize().as_bytes();
            if let Some(parent) = parent_of(path) {
                digests.entry(parent).or_default().update(&digest);
                children.entry(parent.to_owned()).or_default().push(of.clone());
            }
            self.conflicts.extend_from_slice(cache.idle(of, digest, &children));
        }
    }
}

fn stand<'a>(
    path: &str,
    above: Option<&'a Arc<Compiled>>,
    later: &BTreeSet<&str>,
    world: &Inventory,
) -> Stand<'a> {
    let Some(parent) = parent_of(path) else {
        return if path == world.root { Stand::Root } else { Stand::Orphan };
    };
    if later.contains(parent) {
        return Stand::Later;
    }
    match above.and_then(|above| Some((above, above.read.delegate(path)?))) {
        // Nothing is said of what it was given until its parent has that itself.
        Some((above, _)) if above.unowned_children.contains(path) => Stand::Later,
        Some((above, delegate)) => Stand::Under(above.clone(), delegate),
        None => Stand::Orphan,
    }
}

fn orphan(read: &Read, above: Option<&Compiled>, world: &Inventory) -> Conflict {
    let path = &read.file.namespace;
    let other = match above {
        Some(above) => above.read.spot(above.read.file.line, ""),
        None => nowhere(parent_of(path).unwrap_or(&world.root)),
    };
    let one = read.spot(read.file.line, "");
    Conflict::Orphan { one, other, witness: sample(read.file.rules.first(), world) }
}
