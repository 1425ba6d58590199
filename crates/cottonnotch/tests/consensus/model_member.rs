//! A member that the test runs itself, on the crate of consensus, such as a proxy of an older build: it is asked to prepare new
//! rules, and reports whether it can run them.

use crate::link::Mesh;
use crate::rules::{ACT, CONTRADICTION, LEASE};
use cottonnotch_consensus::{Config, DurableState, Input, Member, Message, Output, Timing};
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Stops when it is dropped.
pub struct ModelMember {
    can_run: Arc<AtomicBool>,
    stopped: Arc<AtomicBool>,
}

/// The envelope: format, cluster, sender, receiver and message, then the authentication code.
type Envelope = (u16, u64, u16, u16, Message);
const FORM: u16 = 1;
const CONTEXT: &str = "cottonnotch 2026 accord, shared key of datagrams, version 1";

impl ModelMember {
    /// Member `me`, which doesn't vote, and can't run new rules until `set` says so.
    pub fn start(mesh: &Mesh, me: usize, voters: &[usize]) -> Self {
        let (can_run, stopped) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicBool::new(false)));
        let us = |time: Duration| time.as_micros() as i64;
        let timing = Timing {
            lease: us(LEASE),
            heartbeat: 100_000,
            election_timeout_min: 350_000,
            election_timeout_max: 700_000,
            drift_ppm: 1_000,
            act: us(ACT),
            prepare: 1_500_000,
            contradiction: us(CONTRADICTION),
        };
        let voters = voters.iter().map(|voter| *voter as u16).collect();
        let known = mesh.known_to(me).to_vec();
        let config =
            Config { ordinal: me as u16, members: known.len() as u16, voters, timing, incarnation: 1 };
        let socket = UdpSocket::bind(mesh.own[me]).unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
        let (able, end) = (Arc::clone(&can_run), Arc::clone(&stopped));
        std::thread::spawn(move || {
            let key = blake3::derive_key(CONTEXT, "0c".repeat(32).as_bytes());
            let digest = blake3::hash(b"story");
            let cluster = u64::from_le_bytes(*digest.as_bytes().first_chunk().unwrap());
            let began = Instant::now();
            let now = || began.elapsed().as_micros() as i64;
            let mut member = Member::new(config, now(), Some(DurableState::initial()), me as u64);
            let mut bytes = [0; 1500];
            while !end.load(Ordering::Relaxed) {
                if let Ok((length, _)) = socket.recv_from(&mut bytes)
                    && let Some(at) = length.checked_sub(32)
                    && let Ok((_, _, from, _, message)) = postcard::from_bytes::<Envelope>(&bytes[..at])
                {
                    member.handle(now(), Input::Message { from, message });
                }
                if member.next_timeout() <= now() {
                    member.handle(now(), Input::Tick);
                }
                while let Some(output) = member.poll() {
                    match output {
                        Output::Send { to, message } => {
                            let envelope: Envelope = (FORM, cluster, me as u16, to, message);
                            let mut sealed = postcard::to_allocvec(&envelope).unwrap();
                            let proof = blake3::keyed_hash(&key, &sealed);
                            sealed.extend_from_slice(proof.as_bytes());
                            // A member that isn't there receives nothing.
                            let _ = socket.send_to(&sealed, known[usize::from(to)]);
                        }
                        Output::Fetch { hash, .. } if able.load(Ordering::Relaxed) => {
                            member.handle(now(), Input::ContentReady { hash });
                        }
                        Output::Fetch { hash, .. } => {
                            member.handle(now(), Input::ContentUnsupported { hash })
                        }
                        _ => {}
                    }
                }
            }
        });
        ModelMember { can_run, stopped }
    }

    /// Sets whether it can run new rules.
    pub fn set(&self, can_run: bool) {
        self.can_run.store(can_run, Ordering::Relaxed);
    }
}

impl Drop for ModelMember {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}
