//! Parses the settings of the process: `listen`, `listeners`, `limits`, `forwarding`, `admin` and
//! `repeat-header`.

use super::error::FieldError;
use super::fields::{address, parse_address, parse_header_name, ADDRESS_REMEDY, HEADER_REMEDY};
use super::reader::{Located, Location};
use super::sockets;
use super::table::Table;
use super::value::{ms, MAX_DURATION};
use crate::model::{Forwarding, Listener, ProcessLimits};
use crate::problem::SafetyRule;
use http::HeaderName;
use std::net::SocketAddr;

/// File descriptors that the process may use if the file sets no number.
const DEFAULT_FILE_DESCRIPTORS: u32 = 1024;

/// Memory of the program without connections, in bytes.
const PROGRAM_BYTES: usize = 6 << 20;
/// Memory of a connection without a request, with a margin, in bytes.
const IDLE_CONNECTION_BYTES: usize = 8 << 10;

/// Parses the address of the admin listener.
pub fn admin(root: &Table) -> Option<Located<SocketAddr>> {
    let table = root.table("admin")?;
    let address = address(&table, "address");
    table.finish();
    address
}

/// Parses the name of the header by which clients mark their own retries.
pub fn repeat_header(root: &Table) -> Option<HeaderName> {
    let header = root.parsed("repeat-header", HEADER_REMEDY, parse_header_name)?;
    Some(header.value)
}

/// Parses the listeners of `listen` and `[[listeners]]`.
pub fn listeners(root: &Table) -> Vec<Located<Listener>> {
    let mut listeners = Vec::new();
    for located in root.texts("listen") {
        let name = format!("listen{}", listeners.len());
        if let Some(address) = root.parse(located, ADDRESS_REMEDY, parse_address) {
            listeners.push(address.map(|address| Listener { name, address }));
        }
    }
    for table in root.tables("listeners") {
        let default_name = format!("listener{}", listeners.len());
        let name = table.text("name").map_or(default_name, |name| name.value.to_string());
        if let Some(address) = address(&table, "address") {
            listeners.push(address.map(|address| Listener { name, address }));
        }
        table.finish();
    }
    if listeners.is_empty() && !root.has("listen") && !root.has("listeners") {
        let remedy = "write listen = \"127.0.0.1:8080\" at the top of the file";
        root.reader.report(&Location::default(), "there is no listener", remedy);
    }
    listeners
}

fn default_limits() -> ProcessLimits {
    ProcessLimits {
        memory_bytes: 64 << 20,
        file_descriptors: DEFAULT_FILE_DESCRIPTORS as usize,
        head_timeout: ms(2_500),
        idle_timeout: ms(20_000),
        stream_timeout: ms(30_000),
        abort_on_close: false,
        max_websockets: sockets::default_max_websockets(DEFAULT_FILE_DESCRIPTORS as usize),
        websocket_drain: sockets::DEFAULT_DRAIN,
    }
}

/// Parses the limits of the process.
pub fn limits(root: &Table) -> ProcessLimits {
    let defaults = default_limits();
    let Some(table) = root.table("limits") else { return defaults };
    let duration = |key, default| table.duration(key, default, ms(100)..=MAX_DURATION).value;
    let file_descriptors = table.integer("sockets", DEFAULT_FILE_DESCRIPTORS, 64..=1 << 20);
    let memory = table.size("memory", defaults.memory_bytes, 16 << 20..=64 << 30);
    check_memory(&table, &memory, file_descriptors.value as usize);
    let limits = ProcessLimits {
        memory_bytes: memory.value,
        file_descriptors: file_descriptors.value as usize,
        head_timeout: duration("head-timeout", defaults.head_timeout),
        idle_timeout: duration("idle-timeout", defaults.idle_timeout),
        stream_timeout: duration("stream-timeout", defaults.stream_timeout),
        abort_on_close: table.flag("abort-on-close", defaults.abort_on_close),
        max_websockets: sockets::parse_max_websockets(&table, file_descriptors.value as usize),
        websocket_drain: sockets::parse_drain(&table),
    };
    table.finish();
    limits
}

/// Reports a memory limit that the connections alone would use up, without any request.
fn check_memory(limits: &Table, memory: &Located<usize>, file_descriptors: usize) {
    let min_bytes = PROGRAM_BYTES + file_descriptors.saturating_mul(IDLE_CONNECTION_BYTES);
    if memory.value >= min_bytes {
        return;
    }
    let message = format!("{file_descriptors} sockets need more memory, even without a request");
    let remedy = format!("raise memory to {}MiB, or lower sockets", min_bytes.div_ceil(1 << 20));
    let rule = SafetyRule::NoLostRequest;
    limits.reader.report_violation(&memory.location, message, remedy, rule);
}

/// Parses what this hop discloses about itself to the next one.
pub fn forwarding(root: &Table) -> Forwarding {
    let Some(table) = root.table("forwarding") else { return Forwarding::default() };
    let pseudonym = |text: &str| match parse_header_name(text) {
        Ok(_) => Ok(text.to_string()),
        Err(_) => Err(FieldError::NotA("a pseudonym (RFC 9110 7.6.3)")),
    };
    let request_id = table.parsed("request-id", HEADER_REMEDY, parse_header_name);
    let forwarding = Forwarding {
        via: table.parsed("via", "write a single token", pseudonym).map(|via| via.value),
        adds_forwarded: table.flag("forwarded", false),
        request_id: request_id.map(|header| header.value),
    };
    table.finish();
    forwarding
}
