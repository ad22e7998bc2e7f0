//! Guards against daemons that disagree on who hands out the turns of a server.

use document::Name;
use gateway::turn_keeper;

fn daemons(count: u32) -> Vec<(Name, Name)> {
    (0..count)
        .map(|number| {
            let data_centre = ["a", "b", "c"][number as usize % 3];
            (Name::from(format!("edge-{number}")), Name::from(data_centre))
        })
        .collect()
}

fn keeper(server: &str, daemons: &[(Name, Name)]) -> Option<Name> {
    turn_keeper(server, "b", daemons.iter().map(|(daemon, of)| (daemon, of))).cloned()
}

#[test]
fn keeper_does_not_depend_on_the_order() {
    let mut daemons = daemons(60);
    let chosen = keeper("s1", &daemons);
    daemons.reverse();
    assert_eq!(keeper("s1", &daemons), chosen);
}

#[test]
fn keeper_stands_in_the_data_centre_of_the_server() {
    let daemons = daemons(60);
    for server in 0..50 {
        let chosen = keeper(&format!("s{server}"), &daemons).unwrap();
        let (_, data_centre) = daemons.iter().find(|(daemon, _)| *daemon == chosen).unwrap();
        assert_eq!(&**data_centre, "b");
    }
}

#[test]
fn other_data_centres_take_over_when_none_is_left() {
    let daemons: Vec<_> = daemons(60).into_iter().filter(|(_, of)| &**of != "b").collect();
    assert!(keeper("s1", &daemons).is_some());
    assert_eq!(keeper("s1", &[]), None);
}

#[test]
fn loss_of_another_daemon_moves_no_turns() {
    let all = daemons(60);
    for server in 0..50 {
        let server = format!("s{server}");
        let chosen = keeper(&server, &all).unwrap();
        let is_left = |daemon: &Name| *daemon == chosen || !daemon.ends_with('4');
        let left: Vec<_> = all.iter().filter(|(daemon, _)| is_left(daemon)).cloned().collect();
        assert_eq!(keeper(&server, &left), Some(chosen));
    }
}
