//! The instances of one process. Each line of the wire goes to the instance that it names, and the lines that
//! the instance writes are added to the reply to the batch.

use crate::fields::{Fields, MalformedLine, excerpt, malformed};
use crate::instance::Instance;
use cottonnotch_decision::{Action, Entry, Event, Micros};
use std::collections::HashMap;

/// The messages that name an instance.
const INSTANCE_MESSAGES: [&str; 12] = [
    "create",
    "destroy",
    "peers_known",
    "job_in",
    "existing",
    "begun",
    "response",
    "heartbeat",
    "aborted",
    "sampled",
    "inbox",
    "ring",
];

/// All instances, and the state of the current batch.
#[derive(Default)]
pub struct Host {
    now: Micros,
    instances: HashMap<u64, Instance>,
    open_list: Option<OpenList>,
    actions: Vec<Action>,
    /// Number of the current line, from 1.
    pub line_number: u64,
    /// The lines of the reply to the current batch.
    pub reply: Vec<u8>,
    /// Gossip period of the instances, in milliseconds; `None`: they don't gossip.
    gossip_ms: Option<u32>,
}

/// State of the batch after a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The batch continues.
    InBatch,
    /// The batch is complete and the reply is due.
    ReplyDue,
}

/// Kind of a message about the server list.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ListKind {
    Changes,
    Full,
    /// The copy that the instance starts with.
    StartupCopy,
    /// The list is unavailable.
    Lost,
}

impl ListKind {
    fn read(how: &str) -> Result<Self, MalformedLine> {
        Ok(match how {
            "incr" => ListKind::Changes,
            "total" => ListKind::Full,
            "warm_copy" => ListKind::StartupCopy,
            "lost" => ListKind::Lost,
            _ => return malformed("how", format!("is unknown: '{}'", excerpt(how))),
        })
    }
}

/// A list whose rows are still arriving.
struct OpenList {
    node: u64,
    kind: ListKind,
    rows_left: usize,
    entries: Vec<Entry>,
    /// A row could not be read.
    is_incomplete: bool,
}

impl OpenList {
    fn into_event(self) -> Event {
        if self.kind == ListKind::Lost {
            return Event::ListFailed;
        }
        let copy = self.kind == ListKind::StartupCopy;
        // A list in which rows are missing must not remove servers, so it counts as a set of changes.
        let is_whole = !self.is_incomplete && self.rows_left == 0;
        let full = (copy || self.kind == ListKind::Full) && is_whole;
        Event::List { full, copy, entries: self.entries }
    }
}

impl Host {
    /// Returns a host without instances. `gossip_ms` is their gossip period in milliseconds; `None`: they
    /// don't gossip.
    pub fn new(gossip_ms: Option<u32>) -> Self {
        Host { gossip_ms, ..Host::default() }
    }

    /// Reads one line and acts on it.
    pub fn read_line(&mut self, line: &str) -> Result<Progress, MalformedLine> {
        let mut fields = Fields::new(line);
        let name = fields.raw("message")?;
        if name == "row" {
            return self.read_row(fields).map(|()| Progress::InBatch);
        }
        if let Err(error) = self.finish_list() {
            // The previous list lacks rows, but the current line is valid.
            self.report(&error);
        }
        match name {
            "batch" => self.begin_batch(fields).map(|()| Progress::InBatch),
            "your_turn" => fields.expect_end().map(|()| Progress::ReplyDue),
            _ => self.read_instance_message(name, fields).map(|()| Progress::InBatch),
        }
    }

    /// Reports on standard error that a line was ignored, and why.
    pub fn report(&self, error: &MalformedLine) {
        eprintln!("line {}: {error}; ignored", self.line_number);
    }

    fn begin_batch(&mut self, mut fields: Fields) -> Result<(), MalformedLine> {
        let now = fields.number("clock")?;
        fields.expect_end()?;
        if now < self.now {
            return malformed("clock", "runs backwards");
        }
        self.now = now;
        Ok(())
    }

    fn read_instance_message(&mut self, name: &str, mut fields: Fields) -> Result<(), MalformedLine> {
        if !INSTANCE_MESSAGES.contains(&name) {
            return malformed("message", format!("is unknown: '{}'", excerpt(name)));
        }
        let node = node_number(fields.text("node")?)?;
        match name {
            "create" => self.create(node, fields),
            "destroy" => self.destroy(node, fields),
            "peers_known" => self.begin_list(node, fields),
            _ => self.read_event(node, name, fields),
        }
    }

    fn create(&mut self, node: u64, mut fields: Fields) -> Result<(), MalformedLine> {
        let seed = fields.number("nonce64")?;
        let mut instance = Instance::new(seed, fields.remainder(), self.gossip_ms, self.now)?;
        // Writing to memory cannot fail, and a member that has just started has no events.
        let _ = instance.drive_gossip(node, self.now, &mut self.reply);
        self.instances.insert(node, instance);
        Ok(())
    }

    fn destroy(&mut self, node: u64, fields: Fields) -> Result<(), MalformedLine> {
        self.instance(node)?;
        self.instances.remove(&node);
        fields.expect_end()
    }

    fn read_event(&mut self, node: u64, name: &str, fields: Fields) -> Result<(), MalformedLine> {
        let now = self.now;
        if let Some(event) = self.instance(node)?.read_event(name, fields, now)? {
            self.handle(node, event);
        }
        let Some(instance) = self.instances.get_mut(&node) else { return Ok(()) };
        // Writing to memory cannot fail.
        for event in instance.drive_gossip(node, now, &mut self.reply).unwrap_or_default() {
            self.handle(node, event);
        }
        Ok(())
    }

    /// Reads the head of a server list. Its rows follow as separate lines.
    fn begin_list(&mut self, node: u64, mut fields: Fields) -> Result<(), MalformedLine> {
        self.instance(node)?;
        let kind = ListKind::read(fields.text("how")?)?;
        fields.optional::<u64>("stamp")?;
        let rows_left = fields.optional("hosts")?.unwrap_or(0);
        fields.expect_end()?;
        self.open_list = Some(OpenList { node, kind, rows_left, entries: Vec::new(), is_incomplete: false });
        if rows_left == 0 { self.finish_list() } else { Ok(()) }
    }

    fn read_row(&mut self, fields: Fields) -> Result<(), MalformedLine> {
        let Some(mut list) = self.open_list.take() else {
            return malformed("message", "is a row outside a list");
        };
        list.rows_left = list.rows_left.saturating_sub(1);
        let is_last = list.rows_left == 0;
        let read = self.instance(list.node).and_then(|instance| instance.read_entry(fields));
        let result = match read {
            Ok(entry) => {
                list.entries.push(entry);
                Ok(())
            }
            Err(error) => {
                list.is_incomplete = true;
                Err(error)
            }
        };
        self.open_list = Some(list);
        if is_last {
            self.finish_list()?;
        }
        result
    }

    /// Passes the list to its instance, with the rows that have arrived. Missing rows are an error.
    fn finish_list(&mut self) -> Result<(), MalformedLine> {
        let Some(list) = self.open_list.take() else { return Ok(()) };
        let (node, rows_left) = (list.node, list.rows_left);
        self.handle(node, list.into_event());
        if rows_left > 0 {
            return malformed("hosts", format!("announces {rows_left} more rows than arrived"));
        }
        Ok(())
    }

    /// Passes an event to an instance and writes the resulting actions into the reply.
    fn handle(&mut self, node: u64, event: Event) {
        let Some(instance) = self.instances.get_mut(&node) else { return };
        self.actions.clear();
        if let Some(member) = &mut instance.gossip_member {
            member.observe(self.now, &event);
        }
        instance.balancer.handle(self.now, event, &mut self.actions);
        for action in &self.actions {
            // Writing to memory cannot fail.
            let _ = instance.write_action(node, action, &mut self.reply);
        }
    }

    fn instance(&mut self, node: u64) -> Result<&mut Instance, MalformedLine> {
        match self.instances.get_mut(&node) {
            Some(instance) => Ok(instance),
            None => malformed("node", format!("names an instance that is not running: 'node-{node}'")),
        }
    }
}

fn node_number(text: &str) -> Result<u64, MalformedLine> {
    match text.strip_prefix("node-").and_then(|n| n.parse().ok()) {
        Some(number) => Ok(number),
        None => malformed("node", format!("is not the name of an instance: '{}'", excerpt(text))),
    }
}
