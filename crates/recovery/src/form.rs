//! What is kept, and its form on disk: a line that says what it is, a version, a checksum, and the state by postcard. It must
//! never give out a state of which a byte is not as it was written.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::age::Moment;

const MAGIC: &[u8; 16] = b"doorproxy state\n";
/// The version that is written. Once there is a later one, this one is read on by kept code; newer ones are left alone.
pub const VERSION: u32 = 1;
/// Magic, version, length and checksum.
const HEAD: usize = 16 + 4 + 8 + 4;
/// Far more than a fleet needs: 11 KB stood before four upstreams.
pub const LONGEST: usize = 16 << 20;
/// More servers than a fleet has.
const MOST_SERVERS: usize = 20_000;

/// One server as the list told of it last.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Server {
    pub id: String,
    pub addr: String,
    pub zone: String,
    pub kind: String,
    pub cell: u16,
    /// As the list names it: `active`, or what is no invitation.
    pub state: String,
    pub weight: f64,
    /// When its process started, Unix time in milliseconds; 0: long ago. A server with another start inherits nothing.
    pub started_ms: i64,
}

/// The state of one balancer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Whose it is: addresses differ from one balancer to the next.
    pub balancer: String,
    pub written: Moment,
    /// When the service last told the list of which this is one, and its version then.
    pub heard: Moment,
    pub version: u64,
    pub servers: Vec<Server>,
    /// What was learned, by `src/learned.rs`.
    pub learned: String,
}

/// Why a file is no state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Not one of ours.
    Foreign,
    CutOff,
    Spoilt,
    /// Written by a later program; it is left alone.
    Newer(u32),
    TooLong,
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fault::Foreign => out.write_str("it is no state of doorproxy"),
            Fault::CutOff => out.write_str("it was cut off"),
            Fault::Spoilt => out.write_str("its checksum does not fit"),
            Fault::Newer(version) => {
                write!(
                    out,
                    "it is of version {version}, and this program reads up to {VERSION}: a newer one wrote it"
                )
            }
            Fault::TooLong => write!(out, "it is longer than {LONGEST} bytes"),
        }
    }
}

/// # Errors
/// [`Fault::TooLong`] where it would not be read back.
pub fn encode(state: &State) -> Result<Vec<u8>, Fault> {
    sealed(VERSION, &postcard::to_stdvec(state).map_err(|_| Fault::Spoilt)?)
}

fn sealed(version: u32, body: &[u8]) -> Result<Vec<u8>, Fault> {
    if body.len() > LONGEST {
        return Err(Fault::TooLong);
    }
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&version.to_le_bytes());
    bytes.extend_from_slice(&(body.len() as u64).to_le_bytes());
    // Over the head as well: guards against a version or a length that was spoilt into another.
    bytes.extend_from_slice(&crc32c::crc32c_append(crc32c::crc32c(&bytes), body).to_le_bytes());
    bytes.extend_from_slice(body);
    Ok(bytes)
}

fn number<const N: usize>(bytes: &[u8], at: usize) -> Option<[u8; N]> {
    bytes.get(at..at + N)?.try_into().ok()
}

/// # Errors
/// Why the bytes are no state. Any change to them is found out.
pub fn decode(bytes: &[u8]) -> Result<State, Fault> {
    if !bytes.starts_with(MAGIC) {
        return Err(if MAGIC.starts_with(bytes) { Fault::CutOff } else { Fault::Foreign });
    }
    let version = u32::from_le_bytes(number(bytes, 16).ok_or(Fault::CutOff)?);
    let length = u64::from_le_bytes(number(bytes, 20).ok_or(Fault::CutOff)?);
    let sum = u32::from_le_bytes(number(bytes, 28).ok_or(Fault::CutOff)?);
    if length > LONGEST as u64 {
        return Err(Fault::TooLong);
    }
    let body = &bytes[HEAD..];
    if (body.len() as u64) < length {
        return Err(Fault::CutOff);
    }
    if body.len() as u64 > length || crc32c::crc32c_append(crc32c::crc32c(&bytes[..28]), body) != sum {
        return Err(Fault::Spoilt);
    }
    // The checksum holds, so this is what was written, by whichever program.
    let state = match version {
        VERSION => postcard::from_bytes(body),
        later => return Err(Fault::Newer(later)),
    };
    state.ok().filter(|state: &State| state.servers.len() <= MOST_SERVERS).ok_or(Fault::Spoilt)
}

const SETTINGS: &str = "settings ";

/// Says first of what settings it was learned.
pub fn of_settings(settings: u64, learned: &str) -> String {
    format!("{SETTINGS}{settings:016x}\n{learned}")
}

/// Guards against a state of another deployment whose balancer, servers and classes have the same names. What an earlier
/// program kept does not say, and is not taken either.
pub fn is_of(settings: u64, learned: &str) -> bool {
    let said = learned.lines().next().and_then(|line| line.strip_prefix(SETTINGS));
    said.is_some_and(|said| said == format!("{settings:016x}"))
}

/// What of a learned text may go from one process to the next: what was sent, which counts against cold servers, but not to
/// servers that have started anew or are known no more. What those bear (`borne`), and what was answered, from which that is
/// reckoned, would lift a cold limit by old knowledge; floors carry no time and would echo from one restart to the next. Hints
/// and samples brought nothing that was seen (`docs/design/recovery.md`). It holds for what is written and for what is read:
/// guards against a file of another hand that says what a cold server bears.
pub fn sent_of_learned(text: &str, is_gone: impl Fn(u32) -> bool) -> String {
    let is_kept = |line: &&str| {
        let id = line.strip_prefix("sent ").and_then(|rest| rest.split(' ').next()?.parse().ok());
        id.is_some_and(|id| !is_gone(id))
    };
    text.lines().filter(is_kept).flat_map(|line| [line, "\n"]).collect()
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn state() -> State {
        let server = |n: u32| Server {
            id: format!("s-{n}"),
            addr: format!("10.0.0.{n}:80"),
            zone: "east".to_string(),
            kind: "small".to_string(),
            cell: 1,
            state: "active".to_string(),
            weight: 1.5,
            started_ms: i64::from(n) * 1000,
        };
        let moment = Moment { wall_ms: 1_700_000_000_000, boot: "b".to_string(), since_boot_ms: 77 };
        State {
            balancer: "n3".to_string(),
            written: moment.clone(),
            heard: moment,
            version: 41,
            servers: (0..5).map(server).collect(),
            learned: "hint 0.01\nsent 7 12 0.5\n".to_string(),
        }
    }

    /// The file as version 1 was first written: code that reads it otherwise breaks with what is in folders.
    #[test]
    fn what_was_ever_written_is_read() {
        assert_eq!(decode(include_bytes!("../samples/state-1")), Ok(state()));
        assert_eq!(encode(&state()).unwrap(), include_bytes!("../samples/state-1"));
    }

    #[test]
    fn what_may_not_be_kept_is_left_out() {
        let text =
            "hint 1\nfloor 0 2\nsample 1 7 0 3 1 1\nborne 0 9\nsent 7 1 1\nanswered 7 1 1\nsent 8 1 1\n";
        assert_eq!(sent_of_learned(text, |_| false), "sent 7 1 1\nsent 8 1 1\n");
        assert_eq!(sent_of_learned(text, |id| id == 7), "sent 8 1 1\n");
    }

    #[test]
    fn a_newer_file_is_told_from_a_spoilt_one() {
        let newer = sealed(VERSION + 1, b"whatever it holds").unwrap();
        assert_eq!(decode(&newer), Err(Fault::Newer(VERSION + 1)));
        assert_eq!(decode(b""), Err(Fault::CutOff));
        assert_eq!(decode(b"something else"), Err(Fault::Foreign));
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(20_000))]

        /// No damage is taken for a state, and none panics: bytes changed, cut off, put in, and pieces of one file in another.
        #[test]
        fn damage_is_found_out(
            changes in prop::collection::vec((any::<prop::sample::Index>(), 1u8..), 0..4),
            cut in prop::option::of(any::<prop::sample::Index>()),
            more in prop::collection::vec(any::<u8>(), 0..3),
        ) {
            let whole = encode(&state()).unwrap();
            let mut bytes = whole.clone();
            for (place, by) in changes {
                let place = place.index(bytes.len());
                bytes[place] ^= by;
            }
            if let Some(cut) = cut {
                bytes.truncate(cut.index(bytes.len()));
            }
            bytes.extend(more);
            let read = decode(&bytes);
            prop_assert_eq!(read.is_ok(), bytes == whole, "{:?}", read);
        }

        #[test]
        fn no_bytes_make_it_panic(bytes in prop::collection::vec(any::<u8>(), 0..200), version in 0u32..4) {
            let _ = decode(&bytes);
            // Also where the checksum fits what no program wrote.
            let _ = decode(&sealed(version, &bytes).unwrap());
        }
    }
}
