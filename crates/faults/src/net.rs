//! TCP as a balancer meets it, on hosts that can die, fall silent or lose sight of each other. It owns every
//! connection, all that is on its way, and when and in which pieces it arrives. It must never look into the bytes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::task::{Context, Poll, Waker};

use crate::sim::{Event, MS, Micros, Process, State};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Host(pub u32);

/// Bytes that one side may have written and the other not read yet.
const WINDOW: usize = 256 << 10;
/// What was lost on the way comes again within this, once the way is free.
const SENT_AGAIN_WITHIN: Micros = 200 * MS;

#[derive(Default)]
pub struct Net {
    /// One way, unless a listener is deaf.
    pub latency: Micros,
    pub jitter: Micros,
    /// On top of it, while the network is slow.
    pub slow: Micros,
    /// Which hosts are off: nothing leaves them, what arrives is lost.
    off: BTreeSet<Host>,
    /// Which hosts nothing reaches from which others, and how often that was asked for.
    cuts: BTreeMap<(Host, Host), u32>,
    listeners: BTreeMap<SocketAddr, Listening>,
    deaf: BTreeSet<SocketAddr>,
    conns: BTreeMap<u64, Conn>,
    /// What waits for a way to be free, in the order in which it got lost.
    lost: Vec<NetEvent>,
    next: u64,
}

struct Listening {
    process: Process,
    host: Host,
    backlog: VecDeque<u64>,
    most: usize,
    waker: Option<Waker>,
}

struct Conn {
    to: SocketAddr,
    is_up: bool,
    refused: bool,
    waker: Option<Waker>,
    /// The one that connected, and the one that accepted.
    ends: [End; 2],
}

struct Piece {
    bytes: Vec<u8>,
    read: usize,
    sent_at: Micros,
}

#[derive(Default)]
struct End {
    process: Option<Process>,
    host: Option<Host>,
    /// Still held by its process, or on its way to it.
    is_held: bool,
    inbox: VecDeque<Piece>,
    unread: usize,
    /// The other side ended its sending, and that has arrived.
    has_end: bool,
    is_reset: bool,
    ended_sending: bool,
    /// Bytes that went out from here and were not read yet.
    out: usize,
    /// Nothing that goes to this end arrives before this.
    not_before: Micros,
    reader: Option<Waker>,
    writer: Option<Waker>,
    /// Bytes that the process has read.
    taken: u64,
}

pub enum NetEvent {
    Syn(u64),
    SynAck(u64),
    Refused(u64),
    Bytes { conn: u64, to: usize, bytes: Vec<u8>, sent_at: Micros },
    End { conn: u64, to: usize },
    Reset { conn: u64, to: usize },
}

fn wake(waker: &mut Option<Waker>) {
    if let Some(waker) = waker.take() {
        waker.wake();
    }
}

impl End {
    fn wake(&mut self) {
        wake(&mut self.reader);
        wake(&mut self.writer);
    }
}

impl NetEvent {
    fn conn(&self) -> u64 {
        match self {
            NetEvent::Syn(conn) | NetEvent::SynAck(conn) | NetEvent::Refused(conn) => *conn,
            NetEvent::Bytes { conn, .. } | NetEvent::End { conn, .. } | NetEvent::Reset { conn, .. } => *conn,
        }
    }

    /// The side it arrives at.
    fn to(&self) -> usize {
        match self {
            NetEvent::Syn(_) => 1,
            NetEvent::SynAck(_) | NetEvent::Refused(_) => 0,
            NetEvent::Bytes { to, .. } | NetEvent::End { to, .. } | NetEvent::Reset { to, .. } => *to,
        }
    }

    pub fn happen(self, state: &mut State) {
        let (conn, to) = (self.conn(), self.to());
        let Some(found) = state.net.conns.get(&conn) else { return };
        let (from_host, to_host) = (found.ends[1 - to].host, found.ends[to].host);
        let is_cut = |from: Option<Host>, to: Option<Host>| match (from, to) {
            (Some(from), Some(to)) => state.net.is_cut(from, to),
            _ => false,
        };
        if is_cut(from_host, to_host) {
            match self {
                // Whoever waits for a connection gives up sooner than one is asked for again.
                NetEvent::Syn(_) | NetEvent::SynAck(_) | NetEvent::Refused(_) => {}
                lost => state.net.lost.push(lost),
            }
            return;
        }
        match self {
            NetEvent::Syn(conn) => arrive(state, conn),
            NetEvent::SynAck(conn) => {
                let Some(found) = state.net.conns.get_mut(&conn) else { return };
                found.is_up = true;
                wake(&mut found.waker);
            }
            NetEvent::Refused(conn) => {
                let Some(found) = state.net.conns.get_mut(&conn) else { return };
                found.refused = true;
                wake(&mut found.waker);
            }
            NetEvent::Bytes { conn, to, bytes, sent_at } => {
                let Some(found) = state.net.conns.get_mut(&conn) else { return };
                let end = &mut found.ends[to];
                if !end.is_held {
                    // Nobody is there to read it.
                    return send(state, NetEvent::Reset { conn, to: 1 - to });
                }
                if end.is_reset {
                    return;
                }
                end.unread += bytes.len();
                end.inbox.push_back(Piece { bytes, read: 0, sent_at });
                wake(&mut end.reader);
            }
            NetEvent::End { conn, to } => {
                let Some(found) = state.net.conns.get_mut(&conn) else { return };
                found.ends[to].has_end = true;
                wake(&mut found.ends[to].reader);
            }
            NetEvent::Reset { conn, to } => {
                // Some systems throw away what was not read by then.
                let over_unread = state.below(2) == 0;
                let Some(found) = state.net.conns.get_mut(&conn) else { return };
                let end = &mut found.ends[to];
                end.is_reset = true;
                if over_unread {
                    end.inbox.clear();
                    end.unread = 0;
                }
                end.wake();
                if to == 0 && !found.is_up {
                    found.refused = true;
                    wake(&mut found.waker);
                }
            }
        }
    }
}

/// A connection is asked for.
fn arrive(state: &mut State, conn: u64) {
    let Some(to) = state.net.conns.get(&conn).map(|found| found.to) else { return };
    if state.net.deaf.contains(&to) {
        return;
    }
    let Some(listening) = state.net.listeners.get_mut(&to) else {
        return send(state, NetEvent::Refused(conn));
    };
    if listening.backlog.len() >= listening.most {
        return;
    }
    listening.backlog.push_back(conn);
    wake(&mut listening.waker);
    let (process, host) = (listening.process, listening.host);
    if let Some(found) = state.net.conns.get_mut(&conn) {
        found.ends[1].process = Some(process);
        found.ends[1].host = Some(host);
        found.ends[1].is_held = true;
    }
    send(state, NetEvent::SynAck(conn));
}

/// Puts it on its way, behind what went that way before.
fn send(state: &mut State, event: NetEvent) {
    let jitter = state.net.jitter;
    let way = state.net.latency + state.net.slow + state.below(jitter + 1);
    send_after(state, event, way);
}

fn send_after(state: &mut State, event: NetEvent, way: Micros) {
    let now = state.now;
    let Some(conn) = state.net.conns.get_mut(&event.conn()) else { return };
    let end = &mut conn.ends[event.to()];
    let at = (now + way).max(end.not_before);
    end.not_before = at;
    state.at(at, Event::Net(event));
}

impl Net {
    fn is_cut(&self, from: Host, to: Host) -> bool {
        self.off.contains(&from) || self.off.contains(&to) || self.cuts.contains_key(&(from, to))
    }

    pub fn set_deaf(&mut self, at: SocketAddr, is_deaf: bool) {
        if is_deaf {
            self.deaf.insert(at);
        } else {
            self.deaf.remove(&at);
        }
    }

    pub fn listens(&self, at: SocketAddr) -> bool {
        self.listeners.contains_key(&at)
    }

    /// Connections of this process, on either side.
    pub fn held_by(&self, process: Process) -> usize {
        let ends = self.conns.values().flat_map(|conn| &conn.ends);
        ends.filter(|end| end.process == Some(process) && end.is_held).count()
    }

    /// A connection to this address is being asked for at this moment.
    pub fn is_connecting(&self, to: SocketAddr) -> bool {
        self.conns.values().any(|conn| conn.to == to && !conn.is_up && !conn.refused && conn.ends[0].is_held)
    }
}

impl State {
    pub fn cut(&mut self, from: Host, to: Host) {
        *self.net.cuts.entry((from, to)).or_default() += 1;
    }

    pub fn mend(&mut self, from: Host, to: Host) {
        if let Some(count) = self.net.cuts.get_mut(&(from, to)) {
            *count -= 1;
            if *count == 0 {
                self.net.cuts.remove(&(from, to));
            }
        }
        self.send_again();
    }

    pub fn switch_off(&mut self, host: Host) {
        self.net.off.insert(host);
    }

    pub fn switch_on(&mut self, host: Host) {
        self.net.off.remove(&host);
        self.send_again();
    }

    fn send_again(&mut self) {
        for event in std::mem::take(&mut self.net.lost) {
            let way = MS + self.below(SENT_AGAIN_WITHIN);
            send_after(self, event, way);
        }
    }

    /// The system takes back all that the process held: its connections are reset, if anything still leaves its
    /// host, and nobody listens any more.
    pub fn drop_process(&mut self, process: Process) {
        let of: Vec<SocketAddr> =
            self.net.listeners.iter().filter(|(_, l)| l.process == process).map(|(a, _)| *a).collect();
        for address in of {
            self.net.listeners.remove(&address);
        }
        let mut resets = Vec::new();
        for (&number, conn) in &mut self.net.conns {
            for side in 0..2 {
                let end = &mut conn.ends[side];
                if end.process == Some(process) && end.is_held {
                    end.is_held = false;
                    end.is_reset = true;
                    resets.push((number, 1 - side, end.host));
                }
            }
        }
        for (conn, to, host) in resets {
            if host.is_none_or(|host| !self.net.off.contains(&host)) {
                send(self, NetEvent::Reset { conn, to });
            }
        }
        self.forget_conns();
    }

    fn forget_conns(&mut self) {
        self.net.conns.retain(|_, conn| conn.ends.iter().any(|end| end.is_held));
    }

    // What a process asks of the system.

    pub fn listen(&mut self, process: Process, host: Host, at: SocketAddr, most: usize) -> io::Result<()> {
        if self.net.listeners.contains_key(&at) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let (backlog, waker) = (VecDeque::new(), None);
        self.net.listeners.insert(at, Listening { process, host, backlog, most, waker });
        Ok(())
    }

    pub fn stop_listening(&mut self, process: Process, at: SocketAddr) {
        if self.net.listeners.get(&at).is_some_and(|found| found.process == process)
            && let Some(listening) = self.net.listeners.remove(&at)
        {
            listening.backlog.into_iter().for_each(|conn| self.close(conn, 1));
        }
    }

    pub fn poll_accept(
        &mut self,
        cx: &mut Context,
        process: Process,
        at: SocketAddr,
    ) -> Poll<io::Result<u64>> {
        let Some(listening) = self.net.listeners.get_mut(&at).filter(|found| found.process == process) else {
            return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
        };
        match listening.backlog.pop_front() {
            Some(conn) => Poll::Ready(Ok(conn)),
            None => {
                listening.waker = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    pub fn connect(&mut self, process: Process, host: Host, to: SocketAddr, to_host: Option<Host>) -> u64 {
        self.net.next += 1;
        let number = self.net.next;
        let ours = End { process: Some(process), host: Some(host), is_held: true, ..End::default() };
        let theirs = End { host: to_host, ..End::default() };
        let conn = Conn { to, is_up: false, refused: false, waker: None, ends: [ours, theirs] };
        self.net.conns.insert(number, conn);
        send(self, NetEvent::Syn(number));
        number
    }

    pub fn poll_connected(&mut self, cx: &mut Context, number: u64) -> Poll<io::Result<()>> {
        let Some(conn) = self.net.conns.get_mut(&number) else {
            return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
        };
        if conn.refused {
            return Poll::Ready(Err(io::ErrorKind::ConnectionRefused.into()));
        }
        if conn.is_up {
            return Poll::Ready(Ok(()));
        }
        conn.waker = Some(cx.waker().clone());
        Poll::Pending
    }

    pub fn poll_take(
        &mut self,
        cx: &mut Context,
        conn: u64,
        side: usize,
        into: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        // Pieces are of any size; most come as they were sent.
        let few = self.below(8) == 0;
        let most = if few { 1 + self.below(16) as usize } else { usize::MAX }.min(into.len());
        let Some(found) = self.net.conns.get_mut(&conn) else {
            return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
        };
        let end = &mut found.ends[side];
        let Some(piece) = end.inbox.front_mut() else {
            if end.is_reset {
                return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
            }
            if end.has_end {
                return Poll::Ready(Ok(0));
            }
            end.reader = Some(cx.waker().clone());
            return Poll::Pending;
        };
        let read = most.min(piece.bytes.len() - piece.read);
        into[..read].copy_from_slice(&piece.bytes[piece.read..piece.read + read]);
        piece.read += read;
        if piece.read == piece.bytes.len() {
            end.inbox.pop_front();
        }
        end.unread -= read;
        end.taken += read as u64;
        let other = &mut found.ends[1 - side];
        other.out = other.out.saturating_sub(read);
        wake(&mut other.writer);
        Poll::Ready(Ok(read))
    }

    pub fn poll_put(
        &mut self,
        cx: Option<&mut Context>,
        conn: u64,
        side: usize,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let part = if self.below(6) == 0 { 1 + self.below(bytes.len() as u64) as usize } else { bytes.len() };
        let pieces = if self.below(4) == 0 { 2 } else { 1 };
        let Some(found) = self.net.conns.get_mut(&conn) else {
            return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
        };
        let end = &mut found.ends[side];
        if end.is_reset || end.ended_sending {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let most = part.min(bytes.len()).min(WINDOW - end.out.min(WINDOW));
        if most == 0 && !bytes.is_empty() {
            end.writer = cx.map(|cx| cx.waker().clone());
            return Poll::Pending;
        }
        end.out += most;
        let sent_at = self.now;
        let first = if pieces == 2 && most > 1 { 1 + self.below(most as u64 - 1) as usize } else { most };
        for bytes in [&bytes[..first], &bytes[first..most]] {
            if !bytes.is_empty() {
                send(self, NetEvent::Bytes { conn, to: 1 - side, bytes: bytes.to_vec(), sent_at });
            }
        }
        Poll::Ready(Ok(most))
    }

    pub fn end_sending(&mut self, conn: u64, side: usize) {
        if let Some(found) = self.net.conns.get_mut(&conn)
            && !found.ends[side].ended_sending
            && !found.ends[side].is_reset
        {
            found.ends[side].ended_sending = true;
            send(self, NetEvent::End { conn, to: 1 - side });
        }
    }

    pub fn close(&mut self, conn: u64, side: usize) {
        let Some(found) = self.net.conns.get_mut(&conn) else { return };
        let end = &mut found.ends[side];
        if !end.is_held {
            return;
        }
        end.is_held = false;
        if end.unread > 0 {
            // As systems do: what nobody will read is an error to the one who sent it.
            send(self, NetEvent::Reset { conn, to: 1 - side });
        } else {
            self.end_sending(conn, side);
        }
        self.forget_conns_if_closed(conn);
    }

    fn forget_conns_if_closed(&mut self, conn: u64) {
        if self
            .net
            .conns
            .get(&conn)
            .is_some_and(|found| found.ends.iter().all(|end| !end.is_held) && found.is_up)
        {
            self.net.conns.remove(&conn);
        }
    }

    pub fn is_quiet(&self, conn: u64, side: usize) -> bool {
        self.net.conns.get(&conn).is_some_and(|found| {
            let end = &found.ends[side];
            end.inbox.is_empty() && !end.has_end && !end.is_reset
        })
    }

    /// When the bytes that are next to be read were sent, if any have come.
    pub fn next_sent_at(&self, conn: u64, side: usize) -> Option<Micros> {
        self.net.conns.get(&conn)?.ends[side].inbox.front().map(|piece| piece.sent_at)
    }

    /// How many bytes the process at the other end has read.
    pub fn taken_by_other(&self, conn: u64, side: usize) -> u64 {
        self.net.conns.get(&conn).map_or(0, |found| found.ends[1 - side].taken)
    }

    /// Whoever waits to read here is not woken any more.
    pub fn lose_reader(&mut self, conn: u64, side: usize) {
        if let Some(found) = self.net.conns.get_mut(&conn) {
            found.ends[side].reader = None;
        }
    }

    pub fn is_cut_between(&self, from: Host, to: Host) -> bool {
        self.net.is_cut(from, to)
    }

    pub fn other_host(&self, conn: u64, side: usize) -> Option<Host> {
        self.net.conns.get(&conn)?.ends[1 - side].host
    }
}
