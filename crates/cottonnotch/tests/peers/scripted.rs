//! Peers of a proxy that a test scripts line by line: clients, operators, render nodes and discovery.

use super::{Flood, TIMEOUT, wait_for};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// One end of a connection.
pub struct ScriptedPeer(BufReader<TcpStream>);

impl ScriptedPeer {
    /// One end of this connection.
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nonblocking(false).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        ScriptedPeer(BufReader::new(stream))
    }

    /// Sends this text.
    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Sends this text over and over at full speed; an empty text makes a peer that only reads.
    pub fn into_flood(self, text: &str) -> Flood {
        Flood::start(self.0.into_inner(), text)
    }

    /// Its socket.
    pub fn into_stream(self) -> TcpStream {
        self.0.into_inner()
    }

    /// Sends this text, or returns why that can't be done.
    pub fn try_send(&mut self, text: &str) -> std::io::Result<()> {
        self.0.get_mut().write_all(text.as_bytes())
    }

    /// The next line, or why there is none.
    pub fn try_receive(&mut self) -> std::io::Result<String> {
        let mut line = String::new();
        self.0.read_line(&mut line).map(|_| line)
    }

    /// The next line, its end included; empty at the connection's end.
    pub fn receive(&mut self) -> String {
        let mut line = String::new();
        self.0.read_line(&mut line).expect("a line or an end in time");
        line
    }

    /// Waits until something has come, and leaves it unread.
    pub fn wait_for_unread(&self) {
        assert_eq!(self.0.get_ref().peek(&mut [0]).expect("something in time"), 1);
    }

    /// Whether something has come that is not read.
    pub fn has_unread(&self) -> bool {
        let stream = self.0.get_ref();
        stream.set_nonblocking(true).unwrap();
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false).unwrap();
        peeked.is_ok()
    }

    /// What is left, up to the end; the error if it ends in a reset.
    pub fn receive_rest(&mut self) -> std::io::Result<String> {
        let mut text = String::new();
        self.0.read_to_string(&mut text).map(|_| text)
    }

    /// As an operator: the answer's status code and body, once the connection has ended.
    pub fn answer(&mut self) -> (u16, String) {
        let text = self.receive_rest().expect("an answer and an end in time");
        let (head, body) = text.split_once("\r\n\r\n").expect("a head");
        (head.split(' ').nth(1).unwrap().parse().unwrap(), body.to_owned())
    }

    /// Ends the connection with a reset.
    pub fn reset(self) {
        socket2::SockRef::from(self.0.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Sends this text, and ends the connection with a reset at once.
    pub fn send_and_reset(mut self, text: &str) {
        self.send(text);
        self.reset();
    }

    /// Waits until the other side's process has read all that was sent.
    pub fn wait_until_read(&self) {
        let (here, there) = (self.0.get_ref().local_addr().unwrap(), self.0.get_ref().peer_addr().unwrap());
        let wire = |address: SocketAddr| match address {
            SocketAddr::V4(v4) => format!("{:08X}:{:04X}", u32::from_le_bytes(v4.ip().octets()), v4.port()),
            SocketAddr::V6(_) => panic!("tests run over IPv4"),
        };
        let (here, there) = (wire(here), wire(there));
        wait_for(TIMEOUT, "all is read", || {
            let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
            let words = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
            let mut theirs = words.filter(|words| words[1] == there && words[2] == here);
            theirs.next().is_some_and(|words| words[4].ends_with(":00000000")).then_some(())
        });
    }

    /// Sends this text byte by byte, each once the one before is read.
    pub fn send_bytewise(&mut self, text: &str) {
        for byte in text.chars() {
            self.send(&byte.to_string());
            self.wait_until_read();
        }
    }

    /// This many bytes may be sent at once though nobody reads them.
    pub fn with_send_buffer(self, bytes: usize) -> Self {
        socket2::SockRef::from(self.0.get_ref()).set_send_buffer_size(bytes).unwrap();
        self
    }

    /// The other side has broken it, also where it had ended its sending before and reading shows only that.
    pub fn is_broken(&self) -> bool {
        self.0.get_ref().take_error().unwrap().is_some()
    }

    /// Ends only the sending.
    pub fn finish(&self) {
        self.0.get_ref().shutdown(std::net::Shutdown::Write).unwrap();
    }
}

/// A scripted render node or discovery; or the mere address of one that serves elsewhere.
pub struct ScriptedServer(TcpListener, Option<SocketAddr>);

impl ScriptedServer {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        ScriptedServer(listener, None)
    }

    /// One that listens already, without waiting.
    pub fn listening(listener: TcpListener) -> Self {
        ScriptedServer(listener, None)
    }

    /// Stands for one that serves at this address.
    pub fn alias(address: SocketAddr) -> Self {
        ScriptedServer(ScriptedServer::new().0, Some(address))
    }

    pub fn address(&self) -> SocketAddr {
        self.1.unwrap_or_else(|| self.0.local_addr().unwrap())
    }

    pub fn poll(&self) -> Option<ScriptedPeer> {
        self.poll_from().map(|(peer, _)| peer)
    }

    /// With the address from which it comes.
    pub fn poll_from(&self) -> Option<(ScriptedPeer, SocketAddr)> {
        self.0.accept().ok().map(|(stream, from)| (ScriptedPeer::new(stream), from))
    }

    pub fn accept(&self) -> ScriptedPeer {
        wait_for(TIMEOUT, "a connection", || self.poll())
    }

    /// Accepts an attempt and reads its first line.
    pub fn accept_attempt(&self) -> (ScriptedPeer, String) {
        let mut peer = self.accept();
        let line = peer.receive();
        (peer, line)
    }

    /// Lets an attempt elsewhere fail, and accepts the next one here.
    pub fn accept_attempt_after(&self, elsewhere: ScriptedPeer) -> ScriptedPeer {
        drop(elsewhere);
        self.accept_attempt().0
    }

    /// As discovery: accepts a watch and begins its response; returns the request line.
    pub fn accept_watch(&self) -> (ScriptedPeer, String) {
        let (mut peer, request) = self.accept_attempt();
        while peer.receive() != "\r\n" {}
        peer.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        (peer, request)
    }
}

/// Which of these gets the next connection, and its end there.
pub fn accept_attempt_at(nodes: &[ScriptedServer]) -> (usize, ScriptedPeer) {
    let poll = |(i, node): (usize, &ScriptedServer)| node.poll().map(|peer| (i, peer));
    wait_for(TIMEOUT, "an attempt", || nodes.iter().enumerate().find_map(poll))
}
