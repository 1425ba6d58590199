//! Render nodes, which record what arrives.

use super::discovery::{Discovery, ListedNode};
use super::{each_caller, listener};
use crate::judge::Placed;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a render node does with a first line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    Up,
    Busy,
    /// It reads the line and doesn't answer.
    Mute,
}

/// The render nodes of a scenario, and the requests that arrived at them.
pub struct Fleet {
    began: Instant,
    arrived: Arc<Mutex<Vec<Placed>>>,
    manners: Vec<(String, Arc<Mutex<Manner>>)>,
    stopped: Arc<AtomicBool>,
}

impl Fleet {
    /// Nodes with a name, a hall and a hardware class each; they are added to the list.
    pub fn new(ip: Ipv4Addr, began: Instant, discovery: &Discovery, nodes: &[(&str, &str, &str)]) -> Self {
        let (arrived, stopped) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
        let manners = nodes.iter().map(|(id, hall, hardware)| {
            let (listener, manner) = (listener(ip), Arc::new(Mutex::new(Manner::Up)));
            let [id, hall, hardware] = [id, hall, hardware].map(|text| (*text).to_owned());
            let address = listener.local_addr().unwrap();
            let listed = ListedNode { id: id.clone(), address, hall, hardware, phase: "up", revision: 0 };
            discovery.add(listed.clone());
            let (arrived, stopped, how) = (Arc::clone(&arrived), Arc::clone(&stopped), Arc::clone(&manner));
            std::thread::spawn(move || {
                each_caller(&listener, &stopped, move |caller| {
                    // The proxy has closed the connection.
                    let _ = serve_node(caller, began, &listed, &arrived, &how);
                });
            });
            (id, manner)
        });
        Fleet { manners: manners.collect(), began, arrived, stopped }
    }

    pub fn set(&self, node: &str, manner: Manner) {
        let (_, there) = self.manners.iter().find(|(id, _)| id == node).unwrap();
        *there.lock().unwrap() = manner;
    }

    /// All arrivals.
    pub fn history(&self) -> Vec<Placed> {
        self.arrived.lock().unwrap().clone()
    }

    /// Arrivals for a tenant after this time.
    pub fn since(&self, tenant: &str, from: Duration) -> Vec<Placed> {
        let wanted = |placed: &Placed| placed.tenant == tenant && placed.at >= from;
        self.arrived.lock().unwrap().iter().filter(|placed| wanted(placed)).cloned().collect()
    }

    /// The scenario's time.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

fn serve_node(
    caller: TcpStream,
    began: Instant,
    listed: &ListedNode,
    arrived: &Mutex<Vec<Placed>>,
    manner: &Mutex<Manner>,
) -> std::io::Result<()> {
    let (mut reader, mut out, mut line) = (BufReader::new(caller.try_clone()?), caller, String::new());
    reader.read_line(&mut line)?;
    let at = began.elapsed();
    let value = |name: &str| {
        let names = line.trim_end().split(' ').nth(3)?;
        names.split(',').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    };
    let id = line.split(' ').nth(1).and_then(|id| u64::from_str_radix(id, 16).ok());
    // A health check, or an incomplete line of a proxy that died.
    let Some(id) = id.filter(|_| line.starts_with("OPEN ") && line.ends_with('\n')) else { return Ok(()) };
    let ListedNode { id: node, hall, hardware, .. } = listed.clone();
    let (tenant, group) = (value("t").unwrap_or_default().to_owned(), value("g"));
    let group = group.and_then(|group| u64::from_str_radix(group, 16).ok());
    let manner = *manner.lock().unwrap();
    if manner != Manner::Busy {
        arrived.lock().unwrap().push(Placed { at, id, tenant, group, node, hall, hardware });
    }
    match manner {
        Manner::Up => out.write_all(b"UP 1\r\n")?,
        Manner::Busy => return out.write_all(b"BUSY\r\n"),
        Manner::Mute => {}
    }
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        if manner == Manner::Up {
            out.write_all(line.as_bytes())?;
        }
    }
}
