//! The bytes of a client before the library reads them: heads are looked at whole, and what is framed in a way that
//! could be read in two is turned away here. It owns the reading side of a client's connection. It must never pass
//! on a byte of an op whose length is in doubt, or end a connection under an op in hand.

use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use axum::http::StatusCode;
use doorproxy::ids::At;
use hyper::rt::{Read, ReadBufCursor, Write};

use crate::connection::{Connection, Fault};
use crate::streamed::LARGEST_STREAMED;
use crate::world::{Stream, World};

/// Larger than any head in use; what grows beyond it is read no further.
pub const LARGEST_HEAD: usize = 16 << 10;
/// So much of what follows an op is read before that one is answered. Behind more the system is asked whether the client is
/// still there.
const MOST_AHEAD: usize = 2 * LARGEST_HEAD;
/// So many times are kept of when it was read; what comes in more pieces is dated by the earliest of the rest.
const MOST_TIMES: usize = 64;
const MOST_FIELDS: usize = 64;
/// The length of an op in pieces, whose end only the library sees: nothing behind it is an op any more.
const PIECES: usize = usize::MAX;

const BAD: StatusCode = StatusCode::BAD_REQUEST;

pub struct Heads<W: World> {
    stream: Arc<W::Stream>,
    client: Arc<Connection<W>>,
    /// Bytes that came and are not passed on yet: a head that is not whole, or what follows one.
    held: Vec<u8>,
    /// How many bytes of it were read in one go, and the earliest time at which they can have come.
    times: VecDeque<(usize, At)>,
    /// So many more bytes of what was looked at are passed on; then comes a head.
    left: usize,
}

impl<W: World> Heads<W> {
    pub fn new(stream: Arc<W::Stream>, client: Arc<Connection<W>>) -> Heads<W> {
        Heads { stream, client, held: Vec::new(), times: VecDeque::new(), left: 0 }
    }

    fn poll_more(&mut self, cx: &mut Context) -> Poll<io::Result<usize>> {
        let mut bytes = [0; 4096];
        let read = ready!(self.stream.poll_take(cx, &mut bytes))?;
        self.held.extend_from_slice(&bytes[..read]);
        let (came, is_full) = (self.client.reads(), self.times.len() >= MOST_TIMES);
        match self.times.back_mut() {
            Some((count, at)) if *at == came || is_full => *count += read,
            _ => self.times.push_back((read, came)),
        }
        Poll::Ready(Ok(read))
    }

    /// When so many bytes of what is held had come.
    fn came_by(&self, bytes: usize) -> At {
        let mut sum = 0;
        let covers = |&&(count, _): &&(usize, At)| {
            sum += count;
            sum >= bytes
        };
        self.times
            .iter()
            .find(covers)
            .or(self.times.back())
            .map_or_else(|| self.client.reads(), |(_, at)| *at)
    }

    /// Straight on where nothing is held, and no more than the op still has: what follows it is a head.
    fn poll_through(&mut self, cx: &mut Context, into: &mut ReadBufCursor) -> Poll<io::Result<usize>> {
        let mut bytes = [0; 16 << 10];
        let most = self.left.min(into.remaining()).min(bytes.len());
        let read = ready!(self.stream.poll_take(cx, &mut bytes[..most]))?;
        into.put_slice(&bytes[..read]);
        Poll::Ready(Ok(read))
    }

    fn pass(&mut self, most: usize, into: &mut ReadBufCursor) -> usize {
        let passed = most.min(self.held.len()).min(into.remaining());
        into.put_slice(&self.held[..passed]);
        self.held.drain(..passed);
        let mut left = passed;
        while let Some((count, _)) = self.times.front_mut() {
            let gone = left.min(*count);
            (*count, left) = (*count - gone, left - gone);
            if *count > 0 {
                break;
            }
            self.times.pop_front();
        }
        if self.held.is_empty() {
            // Most connections stand idle for most of the time, and their number times a buffer is what counts.
            (self.held, self.times) = (Vec::new(), VecDeque::new());
        }
        passed
    }
}

impl<W: World> Read for Heads<W> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context, mut into: ReadBufCursor) -> Poll<io::Result<()>> {
        let heads = self.get_mut();
        while heads.left == 0 {
            // What follows an op is held until that one is answered: to the library it would hide the client's end.
            if heads.client.owes_answer() {
                if heads.held.len() >= MOST_AHEAD {
                    heads.client.hides_end.notify_one();
                    return Poll::Pending;
                }
                if ready!(heads.poll_more(cx))? == 0 {
                    return Poll::Ready(Ok(()));
                }
                continue;
            }
            if !heads.held.is_empty() {
                heads.client.begins();
            }
            match look_at(&heads.held) {
                Ok(Some(length)) => {
                    heads.client.head_came(length, heads.came_by(length));
                    heads.client.begins_answer(length == PIECES);
                    heads.left = length;
                }
                Ok(None) => {
                    if ready!(heads.poll_more(cx))? == 0 {
                        return Poll::Ready(Ok(()));
                    }
                }
                Err(fault) => {
                    heads.client.turn_away(fault);
                    return Poll::Ready(Ok(()));
                }
            }
        }
        let passed = if heads.held.is_empty() {
            match heads.poll_through(cx, &mut into) {
                Poll::Ready(passed) => passed?,
                Poll::Pending => {
                    heads.client.waits();
                    return Poll::Pending;
                }
            }
        } else {
            heads.pass(heads.left, &mut into)
        };
        heads.left -= passed;
        heads.client.came(passed);
        Poll::Ready(Ok(()))
    }
}

/// The length of the op, head and body, once the head is whole and if its framing leaves no doubt. Guards against
/// an op hidden in the body of another, which the library would pass over in silence.
fn look_at(held: &[u8]) -> Result<Option<usize>, Fault> {
    if held.is_empty() {
        return Ok(None);
    }
    let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
    let mut head = httparse::Request::new(&mut fields);
    let length = match head.parse(held) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if held.len() < LARGEST_HEAD => return Ok(None),
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            return Err((StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "the head is too large"));
        }
        Err(_) => return Err((BAD, "this is no HTTP/1.1 head")),
    };
    let (mut body, mut pieces) = (None, false);
    for field in &*head.headers {
        let is = |name: &str| field.name.eq_ignore_ascii_case(name);
        if is("transfer-encoding") {
            if pieces || head.version != Some(1) || !field.value.eq_ignore_ascii_case(b"chunked") {
                return Err((BAD, "a transfer-encoding other than chunked, once"));
            }
            pieces = true;
        } else if is("content-length") {
            let digits = std::str::from_utf8(field.value).ok().filter(|text| {
                body.is_none() && !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
            });
            let digits = digits.ok_or((BAD, "a content-length other than whole digits, once"))?;
            // What does not even fit is too large as well.
            body = Some(digits.parse().unwrap_or(usize::MAX));
        }
    }
    match body {
        Some(_) if pieces => Err((BAD, "both a content-length and a transfer-encoding")),
        Some(body) if body as u64 > LARGEST_STREAMED => {
            Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"))
        }
        _ if pieces => Ok(Some(PIECES)),
        _ => Ok(Some(length + body.unwrap_or(0))),
    }
}

impl<W: World> Write for Heads<W> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[IoSlice::new(bytes)])
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        // Left to whoever has the last word on the connection.
        Poll::Ready(Ok(()))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context,
        bytes: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        self.stream.poll_put(cx, bytes)
    }
}
