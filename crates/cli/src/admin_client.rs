//! A client of the admin API of a running balancer. Each call opens a connection for one HTTP/1.1 request.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

use crate::error::{AdminCallError, AdminCallErrorKind};

/// The timeout of connecting and of each read.
const ADMIN_CALL_TIMEOUT: Duration = Duration::from_secs(5);
const SUCCESS_STATUS_LINE: &str = "HTTP/1.1 200";
/// The path of the status of all peer protocols: members, leases, overrides, fault reports and quotas.
const MEMBERS_PATH: &str = "/_members";

/// Fetches a JSON document.
pub fn get_json(address: SocketAddr, path: &str) -> Result<Value, AdminCallError> {
    parse_json(address, &call(address, "GET", path, "")?)
}

/// Posts a text and parses the JSON response.
pub fn post_json(address: SocketAddr, path: &str, body: &str) -> Result<Value, AdminCallError> {
    parse_json(address, &post_text(address, path, body)?)
}

/// Posts a text and returns the body of the response.
pub fn post_text(address: SocketAddr, path: &str, body: &str) -> Result<String, AdminCallError> {
    call(address, "POST", path, body)
}

/// Fetches the status of the balancer's peer protocols.
pub fn get_members(address: SocketAddr) -> Result<Value, AdminCallError> {
    get_json(address, MEMBERS_PATH)
}

/// Fetches one section of the status of the peer protocols. Returns `None` if the balancer's fleet file
/// doesn't configure it.
pub fn get_members_section(address: SocketAddr, section: &str) -> Result<Option<Value>, AdminCallError> {
    let mut members = get_members(address)?;
    let section = members.get_mut(section).map(Value::take);
    Ok(section.filter(|section| !section.is_null()))
}

/// Returns a string without its quotes, and any other value as JSON.
pub fn display_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_string)
}

/// Returns the items of an array field, or no items if the field is missing.
pub fn array_items<'a>(value: &'a Value, field: &str) -> impl Iterator<Item = &'a Value> {
    value[field].as_array().into_iter().flatten()
}

fn parse_json(address: SocketAddr, text: &str) -> Result<Value, AdminCallError> {
    serde_json::from_str(text.trim())
        .map_err(|source| AdminCallError { address, kind: AdminCallErrorKind::Json(source) })
}

fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> Result<String, AdminCallError> {
    let failed = |kind| AdminCallError { address, kind };
    let response = exchange(address, method, path, body).map_err(|error| failed(error.into()))?;
    let (head, body) = response.split_once("\r\n\r\n").ok_or_else(|| failed(AdminCallErrorKind::NoAnswer))?;
    if !head.starts_with(SUCCESS_STATUS_LINE) {
        return Err(failed(AdminCallErrorKind::Rejected(body.trim().to_string())));
    }
    Ok(body.to_string())
}

/// Sends a request and reads the response until the connection closes.
fn exchange(address: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, ADMIN_CALL_TIMEOUT)?;
    stream.set_read_timeout(Some(ADMIN_CALL_TIMEOUT))?;
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n")?;
    write!(stream, "Content-Length: {}\r\n\r\n{body}", body.len())?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    Ok(response)
}
