//! What a balancer keeps for its next process, and how it goes on from what the last one kept: the account of where it stands
//! is told here of what happens, and the state is put together here and handed to whoever writes it. It must never wait for a
//! disk, hold up an op, or use what was kept for more than [`doorproxy_recovery::uses`] allows.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use doorproxy::facade::Facade;
use doorproxy::ids::At;
use doorproxy::rng::mix_text;
use doorproxy_recovery::account::{Account, Change, Evidence, Stage};
use doorproxy_recovery::age::{Age, Moment};
use doorproxy_recovery::form::{self, Server, State};
use doorproxy_recovery::uses::{Fact, Source, Use};
use serde_json::{Value, json};

use crate::form::{Line, ListAnswer, State as Listed};
use crate::list::List;
use crate::note;
use crate::world::World;

/// What the outside does for it: the clocks of the machine, and a disk that is somebody else's to wait for.
pub trait Outside: Send + Sync {
    fn moment(&self) -> Moment;

    /// Takes a state to be kept. It may leave out one that comes while another is being written.
    fn keep(&self, state: State);
}

/// What the last process left, and for what it may be used.
#[derive(Default)]
pub struct Left {
    list: Option<Fact<ListAnswer>>,
    learned: Option<Fact<String>>,
    /// When the service last told that list.
    heard: Option<Moment>,
}

impl Left {
    /// `now` is the start of this process.
    pub fn of(state: State, now: &Moment) -> Left {
        let age = Age::of(&state.heard, now);
        let of_learned = Age::of(&state.written, now);
        let list = ListAnswer {
            version: state.version,
            full: true,
            servers: state.servers.iter().filter_map(line_of).collect(),
        };
        Left {
            list: Some(Fact::new(list, Source::Folder, age)),
            learned: Some(Fact::new(state.learned, Source::Folder, of_learned)),
            heard: Some(state.heard),
        }
    }
}

/// None where its address can't be read: a server that nobody can connect to.
fn line_of(server: &Server) -> Option<Line> {
    Some(Line {
        id: server.id.clone(),
        addr: server.addr.parse().ok()?,
        zone: server.zone.clone(),
        kind: server.kind.clone(),
        cell: server.cell,
        state: if server.state == ACTIVE { Listed::Active } else { Listed::Leaving },
        weight: server.weight,
        started_ms: server.started_ms,
    })
}

const ACTIVE: &str = "active";

fn server_of(line: &Line) -> Server {
    Server {
        id: line.id.clone(),
        addr: line.addr.to_string(),
        zone: line.zone.clone(),
        kind: line.kind.clone(),
        cell: line.cell,
        state: if matches!(line.state, Listed::Active) { ACTIVE } else { "leaving" }.to_string(),
        weight: line.weight,
        started_ms: line.started_ms,
    }
}

/// The list that a process begins with, and where it is from. The one that was kept is used where it may be, and is the later
/// one or the only one; where it may not be pushed to, it still says who is to be left alone.
pub fn first_list(given: &ListAnswer, left: &Left) -> (ListAnswer, Source, Age) {
    let Some(fact) = &left.list else { return (given.clone(), Source::Configuration, Age::Unknown) };
    if let Some(kept) = fact.wanted_for(Use::PushTo)
        && !kept.servers.is_empty()
        && (given.servers.is_empty() || kept.version >= given.version)
    {
        return (kept.clone(), Source::Folder, fact.age());
    }
    let mut list = given.clone();
    let kept = fact.wanted_for(Use::LeaveAlone);
    let kept: BTreeMap<&String, &Line> =
        kept.into_iter().flat_map(|kept| &kept.servers).map(|line| (&line.id, line)).collect();
    for line in &mut list.servers {
        if let Some(known) = kept.get(&line.id) {
            // A later start is a colder server, and what drained has not been heard to be back.
            line.started_ms = line.started_ms.max(known.started_ms);
            let drains = !matches!(known.state, Listed::Active) && known.started_ms >= line.started_ms;
            if drains && matches!(line.state, Listed::Active) {
                line.state = Listed::Leaving;
            }
        }
    }
    (list, Source::Configuration, Age::Unknown)
}

struct Held {
    account: Account,
    left: Left,
    /// When the service told the list last: what is kept has that age, whichever process writes it.
    heard: Option<Moment>,
    version: u64,
}

pub struct Keeping {
    name: String,
    /// Stands for the settings under which it was learned.
    settings: u64,
    every: Duration,
    outside: Arc<dyn Outside>,
    held: Mutex<Held>,
}

impl Keeping {
    pub fn new<W: World>(
        world: &W,
        (name, settings): (&str, u64),
        every: Duration,
        outside: Arc<dyn Outside>,
        left: Left,
    ) -> Arc<Keeping> {
        let heard = left.heard.clone();
        let held = Held { account: Account::new(world.now()), left, heard, version: 0 };
        Arc::new(Keeping { name: name.to_string(), settings, every, outside, held: Mutex::new(held) })
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().expect("no panic while it is held")
    }

    /// The list that the process begins with.
    pub fn first_list(&self, given: &ListAnswer) -> (ListAnswer, Source, Age) {
        first_list(given, &self.held().left)
    }

    /// The process has taken its first list: it goes on from what was learned, as far as that may be used.
    pub fn begins<W: World>(&self, world: &W, facade: &Facade, list: &ListAnswer, source: Source, age: Age) {
        let now = world.now();
        let mut held = self.held();
        held.version = list.version;
        if source == Source::Configuration && !list.servers.is_empty() {
            // Guards against a list that is never kept where the service has nothing new to tell: whoever wrote the file
            // stands for it as of this start.
            held.heard = Some(self.outside.moment());
        }
        let starts = |lines: &[Line]| -> BTreeMap<u32, i64> {
            lines.iter().map(|line| (mix_text(&line.id) as u32, line.started_ms)).collect()
        };
        let known = starts(&list.servers);
        let kept = held.left.list.as_ref().and_then(|fact| fact.wanted_for(Use::LeaveAlone));
        let kept = kept.map(|kept| starts(&kept.servers)).unwrap_or_default();
        // A server that started anew inherits nothing, nor does one that is known no more.
        let is_gone =
            |id: u32| known.get(&id).is_none_or(|start| kept.get(&id).is_none_or(|old| old < start));
        let sent = held.left.learned.as_ref().and_then(|learned| learned.wanted_for(Use::CountAgainst));
        facade.go_on_from(now, &form::sent_of_learned(sent.map_or("", String::as_str), is_gone));
        let change = held.account.begins_with(now, list.servers.len(), source, age).cloned();
        held.left = Left::default();
        drop(held);
        self.say(world, change);
    }

    fn say<W: World>(&self, world: &W, change: Option<Change>) {
        if let Some(Change { from, to, cause, .. }) = change {
            note!(*world, "recovery: {from} to {to}: {cause}");
        }
    }

    pub fn list_told<W: World>(&self, world: &W, list: &List, version: u64) {
        let mut held = self.held();
        held.heard = Some(self.outside.moment());
        held.version = version;
        let change = held.account.list_told(world.now(), list.counts().0).cloned();
        drop(held);
        self.say(world, change);
    }

    pub fn list_failed(&self) {
        self.held().account.list_failed();
    }

    /// Looks at what has been seen by now, and hands over what is to be kept.
    fn turn<W: World>(&self, world: &W, facade: &Facade, list: &Mutex<List>) {
        let (ready, answered, answers) = facade.evidence();
        let servers: Vec<Server> = {
            let list = list.lock().expect("no panic while the list is held");
            list.lines().map(server_of).collect()
        };
        let mut held = self.held();
        let change = held.account.saw(world.now(), Evidence { ready, answered, answers }).cloned();
        let written = self.outside.moment();
        // A list of which nobody knows when it was heard is as old as can be.
        let heard =
            held.heard.clone().unwrap_or(Moment { wall_ms: 0, boot: String::new(), since_boot_ms: 0 });
        let version = held.version;
        drop(held);
        self.say(world, change);
        // Guards against nobody known, after a start with nothing, that takes the place of a good list.
        if !servers.is_empty() {
            let learned = form::sent_of_learned(&facade.learned(world.now()), |_| false);
            self.outside.keep(State {
                balancer: self.name.clone(),
                written,
                heard,
                version,
                servers,
                learned: form::of_settings(self.settings, &learned),
            });
        }
    }

    pub async fn keep_on<W: World>(self: Arc<Self>, world: W, facade: Facade, list: Arc<Mutex<List>>) {
        loop {
            world.sleep(self.every).await;
            self.turn(&world, &facade, &list);
        }
    }

    /// For the operators' figures.
    pub fn figures(&self) -> [(&'static str, i64); 4] {
        let held = self.held();
        let stage = match held.account.stage() {
            Stage::Nothing => 0,
            Stage::Doubtful => 1,
            Stage::Listed => 2,
            Stage::Learning => 3,
            Stage::Full => 4,
        };
        let count = |of: usize| i64::try_from(of).unwrap_or(i64::MAX);
        [
            ("recovery.stage", stage),
            ("recovery.servers", count(held.account.servers())),
            ("recovery.answered", count(held.account.evidence().answered)),
            ("recovery.list_failures", i64::from(held.account.failures())),
        ]
    }

    /// The whole account, for `doorproxy recovery`.
    pub fn told<W: World>(&self, world: &W) -> Value {
        let held = self.held();
        let account = &held.account;
        let age = |age: Age| match age {
            Age::Sure(age) => json!({"known": "sure", "seconds": age.secs()}),
            Age::Claimed(age) => json!({"known": "by the wall clock", "seconds": age.secs()}),
            Age::Unknown => json!({"known": "no"}),
        };
        let source = account.source().map(|source| match source {
            Source::Own => "own evidence",
            Source::Service => "list service",
            Source::Configuration => "configuration",
            Source::Folder => "folder",
        });
        let since = |at: At| (at - account.started()).secs();
        let changes = account.changes().map(|change| {
            json!({"after_s": since(change.at), "from": change.from.name(), "to": change.to.name(), "cause": change.cause})
        });
        let evidence = account.evidence();
        json!({
            "stage": account.stage().name(),
            "running_s": since(world.now()),
            "list": {"servers": account.servers(), "from": source, "age": account.age().map(age),
                "failed_calls": account.failures()},
            "evidence": {"ready": evidence.ready, "answered": evidence.answered, "answers": evidence.answers},
            "changes": changes.collect::<Vec<Value>>(),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn server(id: &str, state: &str, started_ms: i64) -> Server {
        Server {
            id: id.to_string(),
            addr: "127.0.0.1:80".to_string(),
            zone: "east".to_string(),
            kind: "small".to_string(),
            cell: 0,
            state: state.to_string(),
            weight: 1.0,
            started_ms,
        }
    }

    fn moment(since_boot_ms: u64) -> Moment {
        Moment { wall_ms: since_boot_ms, boot: "b".to_string(), since_boot_ms }
    }

    fn left(version: u64, servers: Vec<Server>, now: &Moment) -> Left {
        let (balancer, learned) = ("n0".to_string(), String::new());
        Left::of(State { balancer, written: moment(0), heard: moment(0), version, servers, learned }, now)
    }

    fn given(version: u64, servers: &[Server]) -> ListAnswer {
        ListAnswer { version, full: true, servers: servers.iter().filter_map(line_of).collect() }
    }

    fn told(list: &ListAnswer) -> Vec<(&str, bool, i64)> {
        let of = |line: &'_ Line| (matches!(line.state, Listed::Active), line.started_ms);
        list.servers.iter().map(|line| (line.id.as_str(), of(line).0, of(line).1)).collect()
    }

    /// Guards against a kept list that makes a server more trusted than the file does: the later one is used, and an old one
    /// only ever takes away.
    #[test]
    fn an_old_list_only_makes_servers_less_trusted() {
        let soon = moment(5_000);
        let kept = || vec![server("a", "active", 7), server("b", "leaving", 0), server("c", "active", 0)];
        let file = [server("a", "active", 0), server("b", "active", 0), server("c", "leaving", 0)];
        // Of a later version, or where nothing else is known: as it was kept.
        let (list, source, _) = first_list(&given(4, &file), &left(9, kept(), &soon));
        assert_eq!(
            (told(&list), source),
            (vec![("a", true, 7), ("b", false, 0), ("c", true, 0)], Source::Folder)
        );
        let (list, ..) = first_list(&given(99, &[]), &left(9, kept(), &soon));
        assert_eq!(list.servers.len(), 3);
        // Of an earlier version: what it knows against a server counts, what it knows for one does not.
        let (list, source, _) = first_list(&given(20, &file), &left(9, kept(), &soon));
        assert_eq!(
            (told(&list), source),
            (vec![("a", true, 7), ("b", false, 0), ("c", false, 0)], Source::Configuration)
        );
        // Hours old: nobody is pushed to by it.
        let (list, ..) = first_list(&given(0, &[]), &left(9, kept(), &moment(7_200_000)));
        assert!(list.servers.is_empty());
    }
}
