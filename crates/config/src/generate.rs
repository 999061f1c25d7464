//! Generates the configuration of a sidecar from a short description of its application and a list of
//! endpoints. A configuration is only returned if it passes the check.

use std::fmt::Write;

use toml::Spanned;
use toml::de::DeTable;

use crate::check::check;
use crate::finding::{Code, Finding};
use crate::sidecar::StaticEndpoint;
use crate::table::{Findings, Located, TableReader};

const DEFAULT_LISTEN_ADDRESS: &str = "127.0.0.1:5001";
const DEFAULT_READ_TIMEOUT: &str = "2s";
const DEFAULT_ORDER_TIMEOUT: &str = "4s";

/// Holds the description of an application. Its values are copied as written, and validated by the check of
/// the generated configuration.
struct Application {
    name: String,
    listen_address: String,
    /// Lists the paths of requests that can be retried.
    reads: Vec<Located<String>>,
    /// Lists the paths of requests that must not be retried.
    orders: Vec<Located<String>>,
    read_timeout: String,
    order_timeout: String,
    key: Option<String>,
}

/// Generates a configuration from the description of an application and its endpoints.
///
/// # Errors
/// Returns the findings in the description, or those in the generated configuration, which have no position.
pub fn generate(application: &str, endpoints: &[StaticEndpoint]) -> Result<String, Vec<Finding>> {
    let table = parse(application)?;
    let application = read_application(&table)?;
    let mut text = String::new();
    write_header(&mut text, &application);
    write_classes(&mut text, &application);
    write_pool(&mut text, endpoints);
    write_routes(&mut text, &application);
    let checked = check(&text, None);
    if checked.config.is_some() {
        return Ok(text);
    }
    let findings = checked.findings.into_iter();
    Err(findings.map(|finding| Finding { span: 0..0, ..finding }).collect())
}

fn parse(application: &str) -> Result<Spanned<DeTable<'_>>, Vec<Finding>> {
    DeTable::parse(application).map_err(|error| {
        vec![Finding {
            code: Code::NotToml,
            is_error: true,
            message: format!("the file is not valid TOML: {}", error.message()),
            span: error.span().unwrap_or(0..0),
        }]
    })
}

fn read_application(table: &Spanned<DeTable>) -> Result<Application, Vec<Finding>> {
    let mut findings = Findings::default();
    let mut table = TableReader::new("the application", 0..0, table.get_ref());
    let name = table.required_string("name", &mut findings);
    let listen_address = string_or(&mut table, "listen", DEFAULT_LISTEN_ADDRESS, &mut findings);
    let reads = table.strings("reads", &mut findings);
    let orders = table.strings("orders", &mut findings);
    let read_timeout = string_or(&mut table, "read_ttl", DEFAULT_READ_TIMEOUT, &mut findings);
    let order_timeout = string_or(&mut table, "order_ttl", DEFAULT_ORDER_TIMEOUT, &mut findings);
    let key = table.string("key", &mut findings).map(|key| key.value);
    if reads.is_empty() && orders.is_empty() {
        let message =
            "the application has neither reads nor orders; list the paths that it requests in one of them";
        findings.error(Code::MissingField, 0..0, message);
    }
    table.reject_unknown_fields(&mut findings);
    match name {
        Some(name) if findings.is_empty() => Ok(Application {
            name: name.value,
            listen_address,
            reads,
            orders,
            read_timeout,
            order_timeout,
            key,
        }),
        _ => Err(findings.into_vec()),
    }
}

fn string_or(table: &mut TableReader, field: &'static str, default: &str, findings: &mut Findings) -> String {
    table.string(field, findings).map_or(default.to_string(), |text| text.value)
}

fn quoted(text: &str) -> String {
    toml::Value::String(text.to_string()).to_string()
}

// Writing to a String cannot fail, so the functions below ignore the results.

fn write_header(out: &mut String, application: &Application) {
    let _ = writeln!(
        out,
        "# Generated for {} by doorproxy configure; verify changes with `doorproxy check`.",
        application.name
    );
    let _ = writeln!(out, "name = {}\n", quoted(&application.name));
    let _ =
        writeln!(out, "# Requests that match no route are answered with 404.\nunrouted = \"not-found\"\n");
    let _ = writeln!(out, "[[listen]]\naddress = {}\n", quoted(&application.listen_address));
}

fn write_classes(out: &mut String, application: &Application) {
    let _ = writeln!(
        out,
        "# Idempotent: a failed request is retried on another server.\n\
        [category.read]\nrepeats = \"always\"\nttl = {}\n",
        quoted(&application.read_timeout)
    );
    let _ = writeln!(
        out,
        "# Not idempotent: a request that may have run is never retried.\n\
        [category.order]\nrepeats = \"never\"\nttl = {}\nbenefit = 5.0\n",
        quoted(&application.order_timeout)
    );
}

fn write_pool(out: &mut String, endpoints: &[StaticEndpoint]) {
    let _ = writeln!(out, "[pool.servers]\nservers = [");
    for endpoint in endpoints {
        let zone = endpoint.zone.as_ref().map_or(String::new(), |zone| format!(", zone = {}", quoted(zone)));
        let cell = endpoint.cell.map_or(String::new(), |cell| format!(", cell = {cell}"));
        let _ = writeln!(
            out,
            "  {{ name = {}, address = {}{zone}{cell}, kind = {}, size = {:?} }},",
            quoted(&endpoint.name),
            quoted(&endpoint.address.to_string()),
            quoted(&endpoint.kind),
            endpoint.weight
        );
    }
    *out += "]\n";
}

/// Writes two routes for each path of a read: methods other than GET and HEAD count as orders there.
fn write_routes(out: &mut String, application: &Application) {
    let mut write_route = |path: &Located<String>, methods: &str, class: &str| {
        let (path, class) = (quoted(&path.value), quoted(class));
        let _ = writeln!(out, "\n[[route]]\npath = {path}\n{methods}category = {class}\npool = \"servers\"");
        if let Some(key) = &application.key {
            let _ = writeln!(out, "key = {}", quoted(key));
        }
    };
    for path in &application.reads {
        write_route(path, "methods = [\"GET\", \"HEAD\"]\n", "read");
        write_route(path, "", "order");
    }
    for path in &application.orders {
        write_route(path, "", "order");
    }
}
