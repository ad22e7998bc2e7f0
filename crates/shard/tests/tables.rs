//! Guards against daemons that route by wrong owners after patching a table with changes.
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use registry::Incarnation;
use shard::{KeyRange, Owner, Span, Table};

/// Number of random pairs of tables.
const TABLE_PAIRS: u64 = 300;

fn owner(random: &mut StdRng) -> Owner {
    let incarnation =
        Incarnation { server: format!("s{}", random.random_range(0..5)).into(), born_ms: 1 };
    if random.random_bool(0.5) { Owner::Server(incarnation) } else { Owner::Moving(incarnation) }
}

fn random_table(random: &mut StdRng) -> Table {
    let mut cuts: Vec<u16> = (0..random.random_range(0..12)).map(|_| random.random()).collect();
    cuts.sort_unstable();
    cuts.dedup();
    let mut spans = Vec::new();
    let mut rest = KeyRange::WHOLE;
    for cut in cuts {
        if let Some((left, right)) = rest.split_at(cut) {
            spans.push(Span { range: left, owner: owner(random) });
            rest = right;
        }
    }
    spans.push(Span { range: rest, owner: owner(random) });
    Table { spans }
}

#[test]
fn patched_table_equals_later_one() {
    for seed in 0..TABLE_PAIRS {
        let mut random = StdRng::seed_from_u64(seed);
        let earlier = random_table(&mut random);
        let later = random_table(&mut random);
        let mut patched = earlier.clone();
        patched.patch(&later.changes_since(&earlier));
        for key in (0..=u16::MAX).step_by(97) {
            let expected = &later.find(key).unwrap().owner;
            assert_eq!(&patched.find(key).unwrap().owner, expected, "seed {seed}, key {key}");
        }
    }
}

#[test]
fn equal_tables_have_no_changes() {
    let table = random_table(&mut StdRng::seed_from_u64(7));
    assert!(table.changes_since(&table).is_empty());
}
