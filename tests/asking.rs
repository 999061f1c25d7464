//! How long discovery may be left unheard: the waits that can lie between a change and its news, added up.

mod common;

use common::terms;
use doorproxy::ids::Span;
use doorproxy::terms::{Asking, StartTerms};

/// How often discovery is to be asked, from deployments that ask all the time to such that hardly do.
const ASK_WITHIN: [f64; 5] = [0.5, 2.0, 10.0, 40.0, 600.0];

fn of(ask_within: f64, ordinal: u32) -> Asking {
    StartTerms { ask_within: Span::from_secs(ask_within), ordinal, ..terms() }.asking(7)
}

/// Guards against a change that binds before it can be heard. Discovery had it all the while: first a watch that says nothing is
/// waited for, or a call for the whole list that hangs, then the pause after it, and the call that brings the news takes as
/// long as any that is answered. And with a call refused in between, which costs a pause, the answer still comes within a second.
#[test]
fn whatever_call_fails_the_next_one_brings_the_news_in_time() {
    for ask_within in ASK_WITHIN {
        for ordinal in 0..300 {
            let asking = of(ask_within, ordinal);
            for given_up in [asking.watch(), Asking::CALL] {
                assert!(
                    given_up + Asking::PAUSE + Asking::ANSWERED_WITHIN <= Asking::TOLD_WITHIN,
                    "{asking:?}"
                );
                let refused = given_up + Asking::PAUSE + Asking::PAUSE;
                assert!(refused + Span::from_secs(0.8) <= Asking::TOLD_WITHIN, "{asking:?}");
            }
        }
    }
}

/// Guards against watches of a whole fleet that fall silent at once and are all asked anew in one moment: discovery works
/// calls through in turn, and turns away those that would wait for too long.
#[test]
fn silent_watches_are_noticed_apart_and_never_before_an_answer_that_is_a_little_late() {
    for seeds in [|_| 7, |ordinal: u32| u64::from(ordinal) * 1009] {
        let asking = |ordinal| StartTerms { ordinal, ..terms() }.asking(seeds(ordinal));
        let mut all: Vec<Span> = (0..300).map(|ordinal| asking(ordinal).overdue).collect();
        all.sort();
        let most = all.windows(90).map(|some| Span(some[89].0 - some[0].0)).min().expect("300 of them");
        assert!(most > Span::from_secs(0.1), "90 of 300 are noticed within {most:?}");
        assert!(all[0] >= Span::from_secs(0.4), "{:?}", all[0]);
    }
}
