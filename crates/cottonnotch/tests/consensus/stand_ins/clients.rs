//! Clients, which record their answers.

use crate::judge::{Answer, Client, End};
use crate::link::Rng;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Numbers the clients of all scenarios.
static NUMBER: AtomicU64 = AtomicU64::new(1);

/// The behavior of the clients of a proxy.
#[derive(Clone, Debug)]
pub struct ClientBehavior {
    pub tenant: &'static str,
    pub group: Option<u64>,
    /// How long a client waits for its answer.
    pub deadline: Duration,
    /// Between two clients.
    pub every: Duration,
    /// How long an established connection is kept.
    pub stays_for: Duration,
}

impl ClientBehavior {
    pub fn of(tenant: &'static str) -> Self {
        let ms = Duration::from_millis;
        ClientBehavior { tenant, group: None, deadline: ms(2000), every: ms(25), stays_for: ms(250) }
    }
}

/// The clients of a scenario, with their records.
#[derive(Clone)]
pub struct Clients {
    began: Instant,
    finished: Arc<Mutex<Vec<Client>>>,
    stop: Arc<AtomicBool>,
    present: Arc<AtomicUsize>,
}

impl Clients {
    pub fn new(began: Instant) -> Self {
        let (finished, stop, present) = Default::default();
        Clients { began, finished, stop, present }
    }

    /// Starts clients of this proxy, whose address may change with a restart.
    pub fn start_clients(&self, proxy: usize, address: &Arc<Mutex<SocketAddr>>, behavior: ClientBehavior) {
        let (clients, address) = (self.clone(), Arc::clone(address));
        self.present.fetch_add(1, Ordering::SeqCst);
        std::thread::spawn(move || {
            let (mut rng, every) = (Rng::new(proxy as u64), behavior.every);
            while !clients.stop.load(Ordering::Relaxed) {
                let (to, behavior) = (*address.lock().unwrap(), behavior.clone());
                clients.present.fetch_add(1, Ordering::SeqCst);
                let one = clients.clone();
                std::thread::spawn(move || {
                    one.live(proxy, to, &behavior);
                    one.present.fetch_sub(1, Ordering::SeqCst);
                });
                // Jitter, so that clients aren't in step with anything else.
                let most = every.as_micros() as u64;
                std::thread::sleep(Duration::from_micros(most / 2 + rng.below(most)));
            }
            clients.present.fetch_sub(1, Ordering::SeqCst);
        });
    }

    /// The newest id: clients that start later have a greater one.
    pub fn newest() -> u64 {
        NUMBER.load(Ordering::Relaxed)
    }

    /// Starts no more clients.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    /// Starts no more clients, waits until all have ended, and returns their records.
    pub fn finish(&self) -> Vec<Client> {
        self.stop();
        crate::wait_for(crate::MAX_WAIT, "the clients to go", || {
            (self.present.load(Ordering::SeqCst) == 0).then_some(())
        });
        self.finished.lock().unwrap().clone()
    }

    /// The records of the clients that have ended so far.
    pub fn so_far(&self) -> Vec<Client> {
        self.finished.lock().unwrap().clone()
    }

    /// Runs one client. One that can't connect has no record: it was never accepted.
    pub fn live(&self, proxy: usize, to: SocketAddr, behavior: &ClientBehavior) {
        let id = NUMBER.fetch_add(1, Ordering::Relaxed);
        let Ok(stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else { return };
        let group = behavior.group.map_or(String::new(), |group| format!(",g={group:016x}"));
        let (tenant, wait) = (behavior.tenant, behavior.deadline.as_millis());
        let line = format!("OPEN {id:016x} 7f3a9c21e0b4d655 c=look,t={tenant},d={wait}{group}\r\n");
        let sent = self.began.elapsed();
        if (&stream).write_all(line.as_bytes()).is_err() {
            return;
        }
        let mut client = Client { id, tenant: tenant.into(), proxy, sent, answers: vec![], ended: None };
        let end = self.hear(&stream, behavior, &mut client);
        client.ended = Some((self.began.elapsed(), end));
        self.finished.lock().unwrap().push(client);
    }

    /// Reads the answer, and what follows; how the connection ended.
    fn hear(&self, stream: &TcpStream, behavior: &ClientBehavior, client: &mut Client) -> End {
        // A late answer counts; a proxy that never answers is detected.
        let patience = behavior.deadline + Duration::from_secs(4);
        let ready = stream.set_nodelay(true).and_then(|()| stream.set_read_timeout(Some(patience)));
        let Ok(mut reader) = ready.and_then(|()| Ok(BufReader::new(stream.try_clone()?))) else {
            return End::Cut;
        };
        let mut line = String::new();
        let (mut up_until, mut said) = (None, 0_u32);
        loop {
            line.clear();
            match reader.read_line(&mut line) {
                Ok(0) if client.answers.last().is_some_and(|(_, answer)| *answer != Answer::Up) => {
                    return End::InOrder;
                }
                Ok(0) => return End::Cut,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return End::GaveUp;
                }
                Err(_) => return End::Cut,
                Ok(_) => {}
            }
            let (now, text) = (self.began.elapsed(), line.trim_end());
            let answer = match text.split(' ').next().unwrap_or_default() {
                "MOVE" => return End::Moved,
                "M" | "LOAD" if up_until.is_some() => None,
                "UP" => Some(Answer::Up),
                "BUSY" => Some(Answer::Busy(text.split(' ').nth(1).and_then(|ms| ms.parse().ok()))),
                _ => Some(Answer::Failed(text.to_owned())),
            };
            if let Some(answer) = answer {
                if answer == Answer::Up {
                    up_until.get_or_insert(now + behavior.stays_for);
                }
                client.answers.push((now, answer));
            }
            match up_until {
                Some(until) if now >= until => return End::InOrder,
                Some(_) => {
                    std::thread::sleep(Duration::from_millis(50));
                    said += 1;
                    // If the proxy sent `MOVE` meanwhile, that is read next.
                    let _ = (&mut &*stream).write_all(format!("M {said}\r\n").as_bytes());
                }
                None => {}
            }
        }
    }
}
