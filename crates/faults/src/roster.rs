//! The service that tells balancers of the upstreams, by the protocol's pages: whole lists and watches, with all the
//! outages that a script gives it. It records what it told whom. It must never tell anything that the fleet is not.

use std::io;
use std::sync::Arc;

use doorproxy_balancer::world::{Listener, World};
use serde_json::{Value, json};

use crate::http::{Reader, answer};
use crate::script::Kind;
use crate::sim::{MS, Micros, SECOND, UNIX_MS};
use crate::stage::Stage;
use crate::world::{Virtual, Wire};

/// One upstream as the list has it.
#[derive(Clone)]
pub struct Entry {
    pub name: String,
    pub address: std::net::SocketAddr,
    pub zone: u32,
    pub kind: u32,
    pub cell: u32,
    pub state: &'static str,
    pub started: Option<Micros>,
    /// The version that brought it.
    pub since: u64,
}

impl Entry {
    pub fn json(&self) -> Value {
        json!({
            "id": self.name, "addr": self.address.to_string(), "zone": format!("z{}", self.zone),
            "kind": format!("k{}", self.kind), "cell": self.cell, "state": self.state, "weight": 1.0,
            "started_ms": self.started.map_or(0, |at| UNIX_MS + at / MS),
        })
    }
}

pub async fn serve(world: Virtual, stage: Arc<Stage>, address: std::net::SocketAddr) {
    let Ok(door) = world.listen(address, 0, 64) else { return };
    while let Ok(wire) = door.accept().await {
        let stage = stage.clone();
        world.spawn(async move { drop(converse(&wire, &stage).await) });
    }
}

async fn converse(wire: &Wire, stage: &Stage) -> io::Result<()> {
    let mut reader = Reader::default();
    while let Some(call) = reader.next(wire).await? {
        let Some(balancer) = stage.balancer_at(wire.other_host()) else { return Ok(()) };
        let query = call.start.split(' ').nth(1).unwrap_or_default().to_string();
        let of = |name: &str| {
            let (_, text) = query.split_once(&format!("{name}="))?;
            text.split('&').next()?.parse::<u64>().ok()
        };
        if let (Some(after), Some(wait)) = (of("after"), of("wait_ms")) {
            let until = wire.world.sim.now() + wait * MS;
            loop {
                let changed = stage.list_changed.notified();
                if stage.list_is(Kind::ListDown) {
                    return Ok(());
                }
                let version = stage.fleet().version;
                // A version that it never gave is as good as none.
                if version != after {
                    break;
                }
                let left = until.saturating_sub(wire.world.sim.now());
                if left == 0 {
                    break;
                }
                tokio::select! {
                    biased;
                    () = changed => {}
                    () = wire.world.nap(left) => {}
                }
            }
        }
        let late = stage.fleet().list_late;
        wire.world.nap(late).await;
        while stage.list_is(Kind::ListMute) {
            wire.world.nap(50 * MS).await;
        }
        if stage.list_is(Kind::ListNonsense) {
            nonsense(wire).await?;
            return Ok(());
        }
        tell(wire, stage, balancer, of("after")).await?;
    }
    Ok(())
}

async fn nonsense(wire: &Wire) -> io::Result<()> {
    let way = wire.world.sim.state().below(6);
    match way {
        0 => wire.write(&answer("200 OK", "", b"{\"version\":")).await,
        1 => wire.write(&answer("503 Busy", "", b"")).await,
        2 => wire.write(b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"version\":7,").await,
        3 => wire.write(b"\x00\x01\x02 not http \r\n\r\n").await,
        4 => wire.write(&answer("200 OK", "", b"[1,2,3]")).await,
        _ => {
            wire.write(&answer(
                "200 OK",
                "",
                br#"{"version":-3,"full":true,"servers":[{"id":"x","addr":"?"}]}"#,
            ))
            .await
        }
    }
}

async fn tell(wire: &Wire, stage: &Stage, balancer: usize, after: Option<u64>) -> io::Result<()> {
    let (version, is_full, entries) = {
        let fleet = stage.fleet();
        let is_known = after.filter(|after| *after >= fleet.oldest_version && *after <= fleet.version);
        let since = is_known.unwrap_or(0);
        let is_full = is_known.is_none();
        let wanted = |entry: &&Entry| if is_full { entry.state != "left" } else { entry.since > since };
        let entries: Vec<Entry> = fleet.entries.values().filter(wanted).cloned().collect();
        (fleet.version, is_full, entries)
    };
    let servers: Vec<Value> = entries.iter().map(Entry::json).collect();
    let body = json!({ "version": version, "full": is_full, "servers": servers }).to_string();
    wire.write(&answer("200 OK", "Content-Type: application/json\r\n", body.as_bytes())).await?;
    // Told once it has been read: a balancer cannot know what a reset or a cut took away.
    while wire.world.sim.state().is_unread(wire.conn, wire.side) {
        wire.world.nap(MS).await;
    }
    let now = wire.world.sim.now();
    let mut records = stage.book.held();
    for entry in &entries {
        records.tell(now, balancer, &entry.name, entry.state != "active", entry.started.unwrap_or(0));
    }
    if is_full {
        let listed: Vec<String> = entries.iter().map(|entry| entry.name.clone()).collect();
        records.tell_whole(now, balancer, &listed);
    }
    Ok(())
}

/// Versions of a service that was restarted begin somewhere else.
pub fn jump(version: u64, draw: u64) -> u64 {
    if draw.is_multiple_of(2) { version + 1000 + draw } else { (version / 2).max(1) }
}

/// The service answers at both; balancers are told of the second when it has moved.
pub const PORTS: [u16; 2] = [8500, 8501];
/// How long a watch is asked to wait follows from this.
pub const ASK_WITHIN: Micros = 8 * SECOND;
