//! Guards against daemons that miss servers' entries or apply stale or incomplete messages.
//!
//! Each group needs exactly one reader, and the others apply its messages only without gaps and
//! while it is alive.

use document::{Name, Revision};
use gateway::{MessageAction, MessageHeader, Relay, Role};
use googletest::prelude::*;

fn names(count: usize) -> Vec<Name> {
    (0..count).map(|number| Name::from(format!("edge-{number:04}").as_str())).collect()
}

fn gets_entries_from(from: &str) -> Role {
    Role::Hears { from: from.into() }
}

/// Returns the header of a message of `from`; with `is_whole` the message lists all servers.
fn message(from: &Name, number: u64, revision: u64, is_whole: bool) -> MessageHeader<'_> {
    MessageHeader {
        from,
        number,
        revision: Revision(revision),
        is_whole,
        has_stopped_reading: false,
    }
}

#[googletest::test]
fn each_group_has_one_reader() {
    let all = names(200);
    let roles: Vec<Role> = all.iter().map(|daemon| Role::of(daemon, all.clone())).collect();
    let readers: Vec<&Role> =
        roles.iter().filter(|role| matches!(role, Role::Reads { .. })).collect();
    expect_that!(readers.len(), eq(9), "200 daemons are nine groups of at most 24");
    let mut receivers: Vec<Name> = Vec::new();
    for (daemon, role) in all.iter().zip(&roles) {
        match role {
            Role::Reads { tells } => {
                expect_that!(tells.len(), lt(24));
                receivers.extend(tells.clone());
            }
            Role::Hears { from } => {
                let reader = all.iter().position(|name| name == from).unwrap();
                let gets_messages =
                    matches!(&roles[reader], Role::Reads { tells } if tells.contains(daemon));
                expect_that!(gets_messages, eq(true), "{daemon} gets messages from its reader");
            }
        }
    }
    expect_that!(receivers.len(), eq(191), "each non-reader gets messages from one reader");
}

#[googletest::test]
fn single_or_unlisted_daemon_reads() {
    let daemon = Name::from("edge-0001");
    expect_that!(Role::of(&daemon, vec![daemon.clone()]), eq(&Role::Reads { tells: vec![] }));
    expect_that!(Role::of(&daemon, names(1)), eq(&Role::Reads { tells: vec![] }), "not listed yet");
}

#[googletest::test]
fn changes_apply_only_after_a_full_list() {
    let (reader, role) = (Name::from("a"), gets_entries_from("a"));
    let mut relay = Relay::default();
    expect_that!(relay.has_live_reader(0, &role), eq(false));
    let first = relay.on_message(0, &role, message(&reader, 7, 10, false), Revision(10));
    expect_that!(first, eq(MessageAction::RequestAll), "no full list has arrived");
    let whole = relay.on_message(10, &role, message(&reader, 7, 11, true), Revision(10));
    expect_that!(whole, eq(MessageAction::Apply));
    let next = relay.on_message(20, &role, message(&reader, 8, 12, false), Revision(11));
    expect_that!(next, eq(MessageAction::Apply));
    expect_that!(relay.has_live_reader(30, &role), eq(true));
}

#[googletest::test]
fn missed_message_is_requested_once_per_interval() {
    let (reader, role) = (Name::from("a"), gets_entries_from("a"));
    let mut relay = Relay::default();
    relay.on_message(0, &role, message(&reader, 1, 1, true), Revision(0));
    let gap = relay.on_message(300, &role, message(&reader, 3, 3, false), Revision(1));
    expect_that!(gap, eq(MessageAction::RequestAll));
    let again = relay.on_message(400, &role, message(&reader, 4, 4, false), Revision(1));
    expect_that!(
        again,
        eq(MessageAction::Ignore),
        "servers were requested less than an interval ago"
    );
    let later = relay.on_message(900, &role, message(&reader, 5, 5, false), Revision(1));
    expect_that!(later, eq(MessageAction::RequestAll));
}

#[googletest::test]
fn reader_times_out_without_messages() {
    let (reader, role) = (Name::from("a"), gets_entries_from("a"));
    let mut relay = Relay::default();
    relay.on_message(0, &role, message(&reader, 1, 1, true), Revision(0));
    expect_that!(relay.has_live_reader(999, &role), eq(true));
    expect_that!(relay.has_live_reader(1_000, &role), eq(false));
    // The daemon read entries itself meanwhile, so the reader's messages are outdated.
    let stale = relay.on_message(1_100, &role, message(&reader, 2, 4, false), Revision(5));
    expect_that!(stale, eq(MessageAction::RequestAll));
    expect_that!(
        relay.has_live_reader(1_100, &role),
        eq(false),
        "an outdated heartbeat does not count"
    );
    let stale = relay.on_message(1_700, &role, message(&reader, 2, 4, true), Revision(5));
    expect_that!(stale, eq(MessageAction::RequestAll), "an outdated list does not count");
    let fresh = relay.on_message(2_300, &role, message(&reader, 4, 6, true), Revision(5));
    expect_that!(fresh, eq(MessageAction::Apply));
    expect_that!(relay.has_live_reader(2_300, &role), eq(true));
}

#[googletest::test]
fn messages_of_other_daemons_are_ignored() {
    let (reader, other) = (Name::from("a"), Name::from("b"));
    let mut relay = Relay::default();
    let action =
        relay.on_message(0, &gets_entries_from("a"), message(&other, 1, 1, true), Revision(0));
    expect_that!(action, eq(MessageAction::Ignore));
    relay.on_message(0, &gets_entries_from("a"), message(&reader, 1, 1, true), Revision(0));
    // The reader is another daemon now, of which no message has arrived yet.
    expect_that!(relay.has_live_reader(10, &gets_entries_from("b")), eq(false));
    expect_that!(relay.has_live_reader(10, &Role::Reads { tells: vec![] }), eq(false));
    let change =
        relay.on_message(20, &gets_entries_from("b"), message(&other, 2, 2, false), Revision(1));
    expect_that!(change, eq(MessageAction::RequestAll));
}

#[googletest::test]
fn reader_that_stops_is_no_longer_relied_on() {
    let (reader, role) = (Name::from("a"), gets_entries_from("a"));
    let mut relay = Relay::default();
    relay.on_message(0, &role, message(&reader, 1, 1, true), Revision(0));
    let last = MessageHeader { has_stopped_reading: true, ..message(&reader, 2, 1, false) };
    expect_that!(relay.on_message(100, &role, last, Revision(1)), eq(MessageAction::Ignore));
    expect_that!(relay.has_live_reader(100, &role), eq(false));
}

#[googletest::test]
fn started_daemon_waits_for_its_reader_a_moment() {
    let mut relay = Relay::default();
    let (reader, role) = (Name::from("edge-0000"), gets_entries_from("edge-0000"));
    let waits = |relay: &Relay, now_ms, role| relay.awaits_reader(now_ms, 1_000, role);
    expect_that!(waits(&relay, 1_100, None), eq(true), "it does not know its reader yet");
    expect_that!(waits(&relay, 1_100, Some(&role)), eq(true));
    expect_that!(waits(&relay, 2_000, Some(&role)), eq(false), "it reads the entries itself");
    let reads = Role::Reads { tells: vec![] };
    expect_that!(waits(&relay, 1_100, Some(&reads)), eq(false), "a reader waits for no other");
    relay.on_message(1_200, &role, message(&reader, 5, 7, true), Revision(0));
    expect_that!(waits(&relay, 1_300, Some(&role)), eq(false));
    expect_that!(relay.has_live_reader(1_300, &role), eq(true));
}
