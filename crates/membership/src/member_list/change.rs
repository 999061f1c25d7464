//! State changes of members, for the log.

use std::fmt;

use crate::message::MemberState;

/// Describes a change in what is believed about a member.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberChange {
    /// Names the member.
    pub name: String,
    /// Holds the new state of the member.
    pub state: MemberState,
    /// Holds the cause of the change; its `Display` is the text for the log.
    pub cause: ChangeCause,
}

/// Says why the state of a member has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeCause {
    /// The member answered neither this process nor the helpers that probed it on its behalf.
    NoAnswer,
    /// The member answered a probe although it was believed dead.
    AnsweredWhileDead,
    /// The member was unknown, and `from` sent gossip about it.
    Introduced {
        /// Names the sender of the gossip.
        from: String,
    },
    /// A later process of the member runs, as gossip from `from` reports.
    Restarted {
        /// Names the sender of the gossip.
        from: String,
    },
    /// The member refuted what was believed about it.
    Refuted,
    /// The member announced that it stops.
    Left,
    /// Gossip from `from` reports the new state.
    Reported {
        /// Names the sender of the gossip.
        from: String,
    },
    /// The member did not refute a suspicion in time.
    NotRefuted {
        /// Counts the nodes that suspected the member.
        suspicion_count: usize,
    },
    /// The member's registry rules differ from those of this replica.
    RulesDiffer,
}

impl fmt::Display for ChangeCause {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ChangeCause::NoAnswer => write!(formatter, "it did not answer a probe"),
            ChangeCause::AnsweredWhileDead => {
                write!(formatter, "it answered a probe while believed dead and must refute that")
            }
            ChangeCause::Introduced { from } => write!(formatter, "reported as a new member by {from}"),
            ChangeCause::Restarted { from } => write!(formatter, "restarted, as reported by {from}"),
            ChangeCause::Refuted => write!(formatter, "it refuted the earlier state"),
            ChangeCause::Left => write!(formatter, "it announced that it stops"),
            ChangeCause::Reported { from } => write!(formatter, "reported by {from}"),
            ChangeCause::NotRefuted { suspicion_count } => {
                write!(formatter, "it did not refute the suspicion of {suspicion_count} nodes in time")
            }
            ChangeCause::RulesDiffer => write!(
                formatter,
                "its keepers, cut_after or drift differ from this replica's, so its heartbeats are ignored"
            ),
        }
    }
}
