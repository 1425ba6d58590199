//! What peers and discovery send, and the configuration of a proxy under test.

use super::ScriptedServer;
use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};

/// The member of a list that a scripted render node is.
pub fn member(id: &str, node: &ScriptedServer, phase: &str) -> String {
    let address = node.address();
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"a","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
    )
}

pub fn list(revision: u32, complete: bool, members: &[String]) -> String {
    let members = members.join(",");
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{members}]}}"#)
}

/// An address that processes may share, and that nobody else is given: a socket that does not listen holds it until the test
/// program ends.
pub fn free_address() -> SocketAddr {
    let holder = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    holder.set_reuse_address(true).unwrap();
    holder.set_reuse_port(true).unwrap();
    holder.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let address = holder.local_addr().unwrap().as_socket().unwrap();
    std::mem::forget(holder);
    address
}

/// A chunk of a response that holds one line.
pub fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

pub const SETTINGS: &str = r#"{"balancers":1,"ordinal":0,"zones":["a"],"zone":"a","registryMode":"on_request",
    "policyLimits":{"mostTries":3,"connectTimeout":250000,"retryAfter":true,"maxRetryAfter":1000000},
    "familyInfo":{"messageAim":[150000.0]},
    "requestClasses":[{"name":"look","effect":"safe","target":300000,"deadline":2000000,"gain":1.0}]}"#;

/// A line that opens a connection of class `look`.
pub const OPEN: &str = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=look,d=2000,g=5c0f\r\n";

/// The id on the wire of a line that opens a connection.
pub fn id_of(line: &str) -> u64 {
    u64::from_str_radix(line.split(' ').nth(1).unwrap(), 16).unwrap()
}

/// The line with an id of its own.
pub fn with_fresh_id(line: &str) -> String {
    static NUMBER: AtomicU32 = AtomicU32::new(0);
    line.replace("9b1f03aa5c7e2d41", &format!("{:016x}", NUMBER.fetch_add(1, Ordering::Relaxed)))
}
