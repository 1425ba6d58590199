//! Reads the wire's messages to an instance into events of the decision module, with one function per
//! message.

use crate::fields::{Fields, MalformedLine, excerpt, malformed};
use crate::instance::{GOSSIP_TIMER, Instance};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use cottonnotch_decision::{Event, Micros, Outcome, Request, RequestId};

/// Bit of a request's `bitmap`: the load hint is valid.
const LOAD_HINT_VALID: u32 = 1;
/// Bits of a request's `bitmap`: the client came back after its connection ended, or it sends a retry.
const CLIENT_CAME_BACK: u32 = 2 | 16;
/// Maximum latency, in microseconds. Longer ones are reduced to this value.
const MAX_LATENCY_US: f64 = 4e15;

impl Instance {
    /// Reads the message `name` into an event; `None` if the message does not concern the decision module.
    pub fn read_event(
        &mut self,
        name: &str,
        mut fields: Fields,
        now: Micros,
    ) -> Result<Option<Event>, MalformedLine> {
        let event = match name {
            "job_in" => Some(self.read_request(&mut fields)?),
            "existing" => Some(self.read_existing(&mut fields)?),
            "begun" => Some(self.read_established(&mut fields)?),
            "response" => Some(self.read_ended(&mut fields)?),
            "heartbeat" => self.read_heartbeat(&mut fields)?,
            "aborted" => Some(Event::ClientClosed(RequestId(fields.number("tid")?))),
            "sampled" => Some(self.read_probed(&mut fields)?),
            "inbox" => return self.read_datagram(fields, now).map(|()| None),
            "ring" => self.read_timer(&mut fields)?,
            _ => return malformed("message", format!("is unknown: '{}'", excerpt(name))),
        };
        fields.expect_end()?;
        Ok(event)
    }

    fn read_request(&self, fields: &mut Fields) -> Result<Event, MalformedLine> {
        let id = RequestId(fields.number("tid")?);
        let hint = fields.float("hint")?;
        let party = fields.raw("party")?;
        let left = fields.optional("left")?;
        let group = fields.optional("group")?;
        let bitmap = fields.optional("bitmap")?.unwrap_or(0);
        let class = self.class(fields.text("qos")?)?;
        fields.optional::<u64>("pathKey")?;
        let tenant = self.tenant(party)?;
        let (load_hint, again) = (load_hint(hint, bitmap), came_back(bitmap));
        Ok(Event::Request(Request { id, class, tenant, left, load_hint, group, again }))
    }

    fn read_existing(&self, fields: &mut Fields) -> Result<Event, MalformedLine> {
        let id = RequestId(fields.number("tid")?);
        fields.optional::<u64>("pathKey")?;
        let bitmap = fields.optional("bitmap")?.unwrap_or(0);
        let group = fields.optional("group")?;
        let tenant = self.tenant(fields.raw("party")?)?;
        let class = self.class(fields.text("qos")?)?;
        let server = self.server(fields.text("host")?)?;
        let hint = fields.float("hint")?;
        let left = fields.optional("left")?;
        let (load_hint, again) = (load_hint(hint, bitmap), came_back(bitmap));
        Ok(Event::Open { request: Request { id, class, tenant, left, load_hint, group, again }, server })
    }

    fn read_established(&self, fields: &mut Fields) -> Result<Event, MalformedLine> {
        let request = RequestId(fields.number("tid")?);
        let attempt = fields.number("copy")?;
        let server = self.server(fields.text("host")?)?;
        let elapsed = fields.optional("spent")?.unwrap_or(0);
        Ok(Event::Established { request, attempt, server, elapsed })
    }

    fn read_ended(&self, fields: &mut Fields) -> Result<Event, MalformedLine> {
        let request = RequestId(fields.number("tid")?);
        let outcome = read_outcome(fields.text("rc")?)?;
        let attempt = fields.number("copy")?;
        let last = fields.flag("last")?;
        let server = self.server(fields.text("host")?)?;
        fields.optional::<Micros>("spent")?;
        read_report(fields.raw("feedback")?)?;
        Ok(Event::Ended { request, attempt, server, outcome, last })
    }

    /// Reads the report of an established connection: its load (sort 1), or the latency of its server in
    /// milliseconds (sort 2). Other sorts are ignored.
    fn read_heartbeat(&self, fields: &mut Fields) -> Result<Option<Event>, MalformedLine> {
        let request = RequestId(fields.number("tid")?);
        let value = fields.float("value")?.unwrap_or(0.0);
        let sort: u32 = fields.number("sort")?;
        let server = self.server(fields.text("host")?)?;
        fields.optional::<u32>("copy")?;
        Ok(match sort {
            1 => Some(Event::LoadUpdate { request, load: value }),
            2 => {
                let latency = (value * 1000.0).clamp(0.0, MAX_LATENCY_US) as Micros;
                Some(Event::LatencyUpdate { server, latency })
            }
            _ => None,
        })
    }

    fn read_probed(&self, fields: &mut Fields) -> Result<Event, MalformedLine> {
        let server = self.server(fields.text("host")?)?;
        let is_served = read_outcome(fields.text("rc")?)? == Outcome::Served;
        fields.optional::<Micros>("spent")?;
        let values = read_report(fields.raw("feedback")?)?;
        Ok(Event::Probed { server, report: is_served.then(|| values.unwrap_or_default()) })
    }

    /// Reads a datagram from a peer and passes it to the gossip member. The decision module gets no event.
    fn read_datagram(&mut self, mut fields: Fields, now: Micros) -> Result<(), MalformedLine> {
        let from = fields.number("originPeer")?;
        let raw = fields.raw("raw")?;
        // An empty payload is written as `-`, like any other absent value.
        let bytes = if raw == "-" { Ok(Vec::new()) } else { STANDARD.decode(raw) };
        let Ok(bytes) = bytes else { return malformed("raw", "is not base64") };
        fields.expect_end()?;
        if let Some(member) = &mut self.gossip_member {
            member.receive(now, from, &bytes);
        }
        Ok(())
    }

    /// Reads the expiry of a timer. The timer of the gossip member is no event for the decision module.
    fn read_timer(&self, fields: &mut Fields) -> Result<Option<Event>, MalformedLine> {
        let name = fields.text("name")?;
        if name == GOSSIP_TIMER && self.gossip_member.is_some() {
            return Ok(None);
        }
        match self.timers.get(name) {
            Some(token) => Ok(Some(Event::Timer(*token))),
            None => malformed("name", format!("is not a timer of this instance: '{}'", excerpt(name))),
        }
    }
}

fn load_hint(hint: Option<f64>, bitmap: u32) -> Option<f64> {
    hint.filter(|_| bitmap & LOAD_HINT_VALID != 0)
}

fn came_back(bitmap: u32) -> bool {
    bitmap & CLIENT_CAME_BACK != 0
}

fn read_outcome(code: &str) -> Result<Outcome, MalformedLine> {
    Ok(match code {
        "GOOD" => Outcome::Served,
        "BAD" => Outcome::Error,
        "FULL" => Outcome::Full,
        "LATE" => Outcome::TimedOut,
        "NOCONN" => Outcome::ConnectFailed,
        "RST" => Outcome::Reset,
        "CXL" => Outcome::Cancelled,
        "NOP" => Outcome::NotSent,
        _ => return malformed("rc", format!("is unknown: '{}'", excerpt(code))),
    })
}

/// Reads a load report, a list of finite numbers separated by commas; `None` if the field has no value.
fn read_report(text: &str) -> Result<Option<Vec<f64>>, MalformedLine> {
    if text.is_empty() || text == "-" {
        return Ok(None);
    }
    let values: Result<Vec<f64>, _> = text.split(',').map(|v| v.parse::<f64>()).collect();
    match values {
        Ok(values) if values.iter().all(|v| v.is_finite()) => Ok(Some(values)),
        _ => malformed("feedback", format!("is not a list of finite numbers: '{}'", excerpt(text))),
    }
}
