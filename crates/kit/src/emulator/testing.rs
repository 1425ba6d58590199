//! Test support: runs an emulator on a thread, and provides peers that a test scripts line by line. Every wait is
//! bounded.

use crate::addresses::Addresses;
use crate::board::Board;
use crate::observation::{Observation, Seen};
use crate::plan::{Plan, TimelineChange, TimelineEvent};
use crate::time::Micros;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Longest time that a test waits for one event.
pub(super) const PATIENCE: Duration = Duration::from_secs(10);
/// Time at which the timeline's first event may happen. Tests set up their connections before it.
pub(super) const CUE: Micros = 1_500_000;

pub(super) type Run = fn(Arc<Plan>, Arc<Addresses>, Arc<Board>) -> io::Result<Vec<Observation>>;

pub(super) struct Stage {
    pub plan: Arc<Plan>,
    pub addresses: Arc<Addresses>,
    pub board: Arc<Board>,
    thread: Option<JoinHandle<io::Result<Vec<Observation>>>>,
}

impl Stage {
    /// Starts an emulator with the given timeline events, in order. The time of each event is relative to [`CUE`].
    pub fn new(mut plan: Plan, happenings: Vec<(Micros, TimelineChange)>, run: Run) -> Self {
        plan.timeline = happenings
            .into_iter()
            .map(|(after, what)| TimelineEvent { at: CUE + after, change: what })
            .collect();
        let (plan, addresses) = (Arc::new(plan), Arc::new(Addresses::take(150).unwrap()));
        let board = Arc::new(Board::new(&plan, 0));
        let given = (Arc::clone(&plan), Arc::clone(&addresses), Arc::clone(&board));
        let thread = Some(std::thread::spawn(move || run(given.0, given.1, given.2)));
        Stage { plan, addresses, board, thread }
    }

    /// Waits until a time relative to [`CUE`].
    pub fn wait(&self, after: Micros) {
        std::thread::sleep(self.board.clock.until(CUE + after));
    }

    /// Asserts that the test's set-up was complete before [`CUE`]. On a machine too busy for that, the test's result is
    /// meaningless.
    pub fn set(&self) {
        assert!(self.board.clock.now() < CUE, "the machine is too busy");
    }

    /// Ends the run and returns the observations, without those of lag.
    pub fn notes(self) -> Vec<Seen> {
        self.notes_and_lags().0
    }

    /// Ends the run and returns the observations without those of lag, and the measured lags.
    pub fn notes_and_lags(mut self) -> (Vec<Seen>, Vec<Micros>) {
        self.board.stop();
        let notes = self.thread.take().unwrap().join().unwrap().unwrap();
        assert!(notes.is_sorted_by_key(|o| o.at), "observations are recorded in the order of their times");
        let lag = |seen: &Seen| if let Seen::Lag { late } = seen { Some(*late) } else { None };
        let lags = notes.iter().filter_map(|o| lag(&o.seen)).collect();
        (notes.into_iter().map(|o| o.seen).filter(|seen| lag(seen).is_none()).collect(), lags)
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        // Ends the emulator's thread also when the test fails.
        self.board.stop();
    }
}

pub(super) struct Peer(BufReader<TcpStream>);

impl Peer {
    /// Connects as soon as the address accepts connections.
    pub fn connect(address: SocketAddr) -> Self {
        let until = Instant::now() + PATIENCE;
        loop {
            match TcpStream::connect_timeout(&address, PATIENCE) {
                Ok(stream) => {
                    stream.set_nodelay(true).unwrap();
                    stream.set_read_timeout(Some(PATIENCE)).unwrap();
                    return Peer(BufReader::new(stream));
                }
                Err(error) => assert!(Instant::now() < until, "cannot connect to {address}: {error}"),
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn say(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Reads the next line, including the line end. The line is empty at the connection's end.
    pub fn hear(&mut self) -> String {
        let mut line = Vec::new();
        self.0.read_until(b'\n', &mut line).expect("no line and no end of the connection in time");
        String::from_utf8_lossy(&line).into_owned()
    }

    /// Reads up to the connection's end. Fails if the connection is reset or does not end in time.
    pub fn rest(&mut self) -> io::Result<String> {
        let mut text = Vec::new();
        self.0.read_to_end(&mut text).map(|_| String::from_utf8_lossy(&text).into_owned())
    }

    /// Whether nothing arrives for the given time, neither input nor the connection's end.
    pub fn is_silent_for(&mut self, time: Duration) -> bool {
        self.0.get_ref().set_read_timeout(Some(time)).unwrap();
        let silent = matches!(self.0.fill_buf(), Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        self.0.get_ref().set_read_timeout(Some(PATIENCE)).unwrap();
        silent
    }

    /// Ends the sending; the peer can still read.
    pub fn finish(&self) {
        self.0.get_ref().shutdown(Shutdown::Write).unwrap();
    }

    pub fn into_inner(self) -> TcpStream {
        self.0.into_inner()
    }

    pub fn read_exact(&mut self, bytes: usize) -> String {
        let mut text = vec![0; bytes];
        self.0.read_exact(&mut text).unwrap();
        String::from_utf8(text).unwrap()
    }
}
