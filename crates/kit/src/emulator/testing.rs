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
pub(super) const MAX_WAIT: Duration = Duration::from_secs(10);
/// Time at which the timeline's first event may happen. Tests set up their connections before it.
pub(super) const FIRST_EVENT_AT: Micros = 1_500_000;

pub(super) type EmulatorFn = fn(Arc<Plan>, Arc<Addresses>, Arc<Board>) -> io::Result<Vec<Observation>>;

pub(super) struct EmulatorRun {
    pub plan: Arc<Plan>,
    pub addresses: Arc<Addresses>,
    pub board: Arc<Board>,
    thread: Option<JoinHandle<io::Result<Vec<Observation>>>>,
}

impl EmulatorRun {
    /// Starts an emulator with the given timeline events, in order. The time of each event is relative to
    /// [`FIRST_EVENT_AT`].
    pub fn new(mut plan: Plan, events: Vec<(Micros, TimelineChange)>, emulator: EmulatorFn) -> Self {
        plan.timeline = events
            .into_iter()
            .map(|(after, change)| TimelineEvent { at: FIRST_EVENT_AT + after, change })
            .collect();
        let (plan, addresses) = (Arc::new(plan), Arc::new(Addresses::take(150).unwrap()));
        let board = Arc::new(Board::new(&plan, 0));
        let shared = (Arc::clone(&plan), Arc::clone(&addresses), Arc::clone(&board));
        let thread = Some(std::thread::spawn(move || emulator(shared.0, shared.1, shared.2)));
        EmulatorRun { plan, addresses, board, thread }
    }

    /// Waits until a time relative to [`FIRST_EVENT_AT`].
    pub fn wait_until(&self, after: Micros) {
        std::thread::sleep(self.board.clock.until(FIRST_EVENT_AT + after));
    }

    /// Asserts that the test's set-up was complete before [`FIRST_EVENT_AT`]. On a machine too busy for that, the
    /// test's result is meaningless.
    pub fn assert_set_up_in_time(&self) {
        assert!(self.board.clock.now() < FIRST_EVENT_AT, "the machine is too busy: set-up took too long");
    }

    /// Ends the run and returns the observations, without those of lag.
    pub fn finish(self) -> Vec<Seen> {
        self.finish_with_lags().0
    }

    /// Ends the run and returns the observations without those of lag, and the measured lags.
    pub fn finish_with_lags(mut self) -> (Vec<Seen>, Vec<Micros>) {
        self.board.stop();
        let observations = self.thread.take().unwrap().join().unwrap().unwrap();
        assert!(
            observations.is_sorted_by_key(|o| o.at),
            "observations are recorded in the order of their times"
        );
        let lag = |seen: &Seen| if let Seen::Lag { late } = seen { Some(*late) } else { None };
        let lags = observations.iter().filter_map(|o| lag(&o.seen)).collect();
        (observations.into_iter().map(|o| o.seen).filter(|seen| lag(seen).is_none()).collect(), lags)
    }
}

impl Drop for EmulatorRun {
    fn drop(&mut self) {
        // Ends the emulator's thread also when the test fails.
        self.board.stop();
    }
}

pub(super) struct Peer(BufReader<TcpStream>);

impl Peer {
    /// Connects as soon as the address accepts connections.
    pub fn connect(address: SocketAddr) -> Self {
        let until = Instant::now() + MAX_WAIT;
        loop {
            match TcpStream::connect_timeout(&address, MAX_WAIT) {
                Ok(stream) => {
                    stream.set_nodelay(true).unwrap();
                    stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
                    return Peer(BufReader::new(stream));
                }
                Err(error) => assert!(Instant::now() < until, "cannot connect to {address}: {error}"),
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    pub fn write(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Reads the next line, including the line end. The line is empty at the connection's end.
    pub fn read_line(&mut self) -> String {
        let mut line = Vec::new();
        self.0.read_until(b'\n', &mut line).expect("no line and no end of the connection in time");
        String::from_utf8_lossy(&line).into_owned()
    }

    /// Reads up to the connection's end. Fails if the connection is reset or does not end in time.
    pub fn read_to_end(&mut self) -> io::Result<String> {
        let mut text = Vec::new();
        self.0.read_to_end(&mut text).map(|_| String::from_utf8_lossy(&text).into_owned())
    }

    /// Whether nothing arrives for the given time, neither input nor the connection's end.
    pub fn is_silent_for(&mut self, time: Duration) -> bool {
        self.0.get_ref().set_read_timeout(Some(time)).unwrap();
        let silent = matches!(self.0.fill_buf(), Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        self.0.get_ref().set_read_timeout(Some(MAX_WAIT)).unwrap();
        silent
    }

    /// Ends the sending; the peer can still read.
    pub fn end_sending(&self) {
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
