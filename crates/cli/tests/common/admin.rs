//! Calls of a balancer's admin API.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};

use serde_json::Value;

use super::{Message, TEST_TIMEOUT, Trace, read_message};

/// Waits for the admin API's address in the log of a process, and returns it.
pub fn admin_address(log: &Trace) -> SocketAddr {
    const PREFIX: &str = "admin: listening on ";
    log.wait_for_prefix(PREFIX, 1);
    let text = log.0.0.lock().unwrap();
    text.lines().find_map(|line| line.strip_prefix(PREFIX)).unwrap().parse().unwrap()
}

/// Sends a request as it is, and returns the answer, or `None` if the process doesn't answer.
pub fn send_to_admin(admin: SocketAddr, request: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(admin).ok()?;
    stream.set_read_timeout(Some(TEST_TIMEOUT)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}

/// Makes a call, such as `GET /_ready`, and returns the answer, or `None` if the process doesn't answer.
pub fn call_admin(admin: SocketAddr, call: &str, body: &str) -> Option<Message> {
    let length = body.len();
    send_to_admin(admin, &format!("{call} HTTP/1.1\r\nHost: o\r\nContent-Length: {length}\r\n\r\n{body}"))
}

/// Returns the status of an answer.
pub fn status(answer: &Message) -> String {
    answer.start_line().split(' ').nth(1).unwrap().to_string()
}

/// Calls the admin API for a permit and returns the answer, or `None` if the process doesn't answer.
pub fn call_permit(admin: SocketAddr, action: &str, body: &str) -> Option<Value> {
    let answer = call_admin(admin, &format!("POST /_permits/{action}"), body)?;
    serde_json::from_str(&answer.body).ok()
}
