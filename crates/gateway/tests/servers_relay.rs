//! Who reads the servers' entries, and when a daemon may rely on another one's reading.
use document::{Name, Revision};
use gateway::{Header, Heard, Relay, Role};
use googletest::prelude::*;

fn names(count: usize) -> Vec<Name> {
    (0..count).map(|at| Name::from(format!("edge-{at:04}").as_str())).collect()
}

fn hears(from: &str) -> Role {
    Role::Hears { from: from.into() }
}

/// A message of `from`; whole ones list all servers.
fn message(from: &Name, number: u64, revision: u64, is_whole: bool) -> Header<'_> {
    Header { from, number, revision: Revision(revision), is_whole, is_over: false }
}

#[googletest::test]
fn one_reader_a_group() {
    let all = names(200);
    let roles: Vec<Role> = all.iter().map(|me| Role::of(me, all.clone())).collect();
    let readers: Vec<&Role> =
        roles.iter().filter(|role| matches!(role, Role::Reads { .. })).collect();
    expect_that!(readers.len(), eq(4), "200 daemons are four groups of at most 64");
    let mut told: Vec<Name> = Vec::new();
    for (me, role) in all.iter().zip(&roles) {
        match role {
            Role::Reads { tells } => {
                expect_that!(tells.len(), lt(64));
                told.extend(tells.clone());
            }
            Role::Hears { from } => {
                let reader = all.iter().position(|name| name == from).unwrap();
                let is_told = matches!(&roles[reader], Role::Reads { tells } if tells.contains(me));
                expect_that!(is_told, eq(true), "{me} is told by the one it hears");
            }
        }
    }
    expect_that!(told.len(), eq(196), "everybody else is told once");
}

#[googletest::test]
fn alone_or_unknown_it_reads() {
    let me = Name::from("edge-0001");
    expect_that!(Role::of(&me, vec![me.clone()]), eq(&Role::Reads { tells: vec![] }));
    expect_that!(Role::of(&me, names(1)), eq(&Role::Reads { tells: vec![] }), "not listed yet");
}

#[googletest::test]
fn whole_list_then_changes() {
    let (reader, role) = (Name::from("a"), hears("a"));
    let mut relay = Relay::default();
    expect_that!(relay.is_told(0, &role), eq(false));
    let first = relay.hear(0, &role, message(&reader, 7, 10, false), Revision(10));
    expect_that!(first, eq(Heard::Lacks), "changes without the list they change");
    let whole = relay.hear(10, &role, message(&reader, 7, 11, true), Revision(10));
    expect_that!(whole, eq(Heard::Applies));
    let next = relay.hear(20, &role, message(&reader, 8, 12, false), Revision(11));
    expect_that!(next, eq(Heard::Applies));
    expect_that!(relay.is_told(30, &role), eq(true));
}

#[googletest::test]
fn missed_message_is_asked_for_once() {
    let (reader, role) = (Name::from("a"), hears("a"));
    let mut relay = Relay::default();
    relay.hear(0, &role, message(&reader, 1, 1, true), Revision(0));
    let gap = relay.hear(300, &role, message(&reader, 3, 3, false), Revision(1));
    expect_that!(gap, eq(Heard::Lacks));
    let again = relay.hear(400, &role, message(&reader, 4, 4, false), Revision(1));
    expect_that!(again, eq(Heard::Nothing), "it was asked a moment ago");
    let later = relay.hear(900, &role, message(&reader, 5, 5, false), Revision(1));
    expect_that!(later, eq(Heard::Lacks));
}

#[googletest::test]
fn silent_reader_is_not_relied_on() {
    let (reader, role) = (Name::from("a"), hears("a"));
    let mut relay = Relay::default();
    relay.hear(0, &role, message(&reader, 1, 1, true), Revision(0));
    expect_that!(relay.is_told(999, &role), eq(true));
    expect_that!(relay.is_told(1_000, &role), eq(false));
    // It read by itself meanwhile: what the reader says is from before that.
    let stale = relay.hear(1_100, &role, message(&reader, 2, 4, false), Revision(5));
    expect_that!(stale, eq(Heard::Lacks));
    expect_that!(relay.is_told(1_100, &role), eq(false), "a stale beat proves nothing");
    let stale = relay.hear(1_700, &role, message(&reader, 2, 4, true), Revision(5));
    expect_that!(stale, eq(Heard::Lacks), "nor does a stale list");
    let fresh = relay.hear(2_300, &role, message(&reader, 4, 6, true), Revision(5));
    expect_that!(fresh, eq(Heard::Applies));
    expect_that!(relay.is_told(2_300, &role), eq(true));
}

#[googletest::test]
fn only_the_reader_counts() {
    let (reader, other) = (Name::from("a"), Name::from("b"));
    let mut relay = Relay::default();
    let heard = relay.hear(0, &hears("a"), message(&other, 1, 1, true), Revision(0));
    expect_that!(heard, eq(Heard::Nothing));
    relay.hear(0, &hears("a"), message(&reader, 1, 1, true), Revision(0));
    // Daemons came and went: another one reads now, and has to be heard first.
    expect_that!(relay.is_told(10, &hears("b")), eq(false));
    expect_that!(relay.is_told(10, &Role::Reads { tells: vec![] }), eq(false));
    let change = relay.hear(20, &hears("b"), message(&other, 2, 2, false), Revision(1));
    expect_that!(change, eq(Heard::Lacks));
}

#[googletest::test]
fn end_of_reading_is_told() {
    let (reader, role) = (Name::from("a"), hears("a"));
    let mut relay = Relay::default();
    relay.hear(0, &role, message(&reader, 1, 1, true), Revision(0));
    let over = Header { is_over: true, ..message(&reader, 2, 1, false) };
    expect_that!(relay.hear(100, &role, over, Revision(1)), eq(Heard::Nothing));
    expect_that!(relay.is_told(100, &role), eq(false));
}
