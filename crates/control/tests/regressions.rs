//! Schedules of faults that once broke a safety rule or never settled, named after the cause.
mod world;

use world::schedule::Step::{
    Cut, Edit, KillDaemon, KillServer, Late, Loss, PauseDaemon, PauseServer, Run, StartDaemon,
    StartServer, StoreDown,
};
use world::schedule::run_schedule;

/// Guards against two owners of a shard after the restart of its successor.
///
/// The successor forgot that it had been granted the shard, so the earlier owner was granted
/// it again.
#[test]
fn restarted_successor_forgets() {
    let steps = [
        PauseServer(0, 10),
        KillServer(1),
        Run(270),
        Run(1),
        PauseServer(5, 1131),
        Run(898),
        PauseServer(4, 1510),
        StoreDown(true),
        Run(363),
        Run(1150),
        StartServer(0),
    ];
    run_schedule(426_188_806_563_896_158, true, &steps);
}

/// Guards against a restarted voter that starts a candidacy while there is a controller.
#[test]
fn restarted_voter_becomes_candidate() {
    let steps = [
        Loss(31),
        PauseServer(5, 908),
        StartServer(0),
        KillServer(1),
        Run(52),
        Late(4, 460),
        KillDaemon(1),
        StartDaemon(0),
        PauseServer(0, 10),
        Run(1160),
        Late(0, 1),
        PauseServer(0, 10),
        Run(131),
        KillServer(0),
        KillServer(0),
    ];
    run_schedule(455_689_036_704_238_157, true, &steps);
}

/// Guards against two owners of an unfenced shard after voters forgot a term and used it again.
///
/// A daemon kept the table of the first controller of that term and got route leases from the
/// second one.
#[test]
fn reused_term() {
    let steps = [
        Late(0, 1),
        Run(79),
        PauseDaemon(1, 675),
        Run(7),
        KillDaemon(2),
        StoreDown(true),
        Run(447),
        Run(1487),
        Run(510),
        KillDaemon(1),
        KillDaemon(3),
    ];
    run_schedule(7_920_817_414_343_817_465, false, &steps);
}

/// Guards against a daemon without a table that is never sent one.
#[test]
fn daemon_without_table() {
    let steps = [Run(1), Run(1), StartDaemon(0), KillDaemon(0), PauseServer(0, 10)];
    run_schedule(6_034_494_147_437_918_398, false, &steps);
}

/// Guards against granting a shard to its recorded owner again after that owner released it.
#[test]
fn released_owner_returns() {
    let steps = [
        Edit(26),
        Cut(1, 1),
        StartServer(2),
        PauseServer(0, 522),
        PauseServer(2, 2760),
        Run(141),
        Loss(70),
        PauseDaemon(2, 2049),
        Run(627),
        Run(772),
        Run(1164),
        Edit(32),
        Run(1),
        Run(1),
        KillServer(5),
        StartServer(0),
    ];
    run_schedule(115_307_799_788_624_141, true, &steps);
}

/// Guards against a route lease for a daemon whose table still names an earlier unfenced owner.
#[test]
fn lease_with_old_table() {
    let steps = [Run(249), Run(154), Cut(1, 0), Run(1097), Run(857), Run(908)];
    run_schedule(1_357_435_864_018_239_861, false, &steps);
}

/// Guards against a late report of an earlier server process that replaces a later one's report.
#[test]
fn late_report_of_old_process() {
    let steps = [
        Late(48, 1828),
        PauseDaemon(2, 1487),
        Run(1101),
        StartServer(4),
        Edit(80),
        Run(48),
        Edit(124),
        Run(886),
        KillDaemon(1),
        Run(502),
        Edit(172),
        Run(1245),
        Run(693),
        Run(272),
        Edit(104),
        Run(492),
        StartServer(2),
        PauseDaemon(1, 10),
        Run(188),
        Edit(172),
        Run(621),
        Run(1),
        Run(1),
    ];
    run_schedule(8_552_287_634_165_495_542, false, &steps);
}

/// Guards against granting a shard by a record that has already been replaced.
///
/// The reply to the write that replaced it was lost.
#[test]
fn grant_under_replaced_record() {
    let steps = [
        PauseDaemon(3, 2391),
        Loss(84),
        PauseServer(0, 734),
        Late(43, 2683),
        PauseServer(3, 1122),
        Run(729),
        KillServer(2),
        Edit(82),
        PauseServer(0, 1106),
        PauseDaemon(0, 227),
        Run(554),
        Cut(1, 0),
        StartServer(1),
        Run(1),
        PauseServer(0, 136),
        Run(1),
        Run(1),
        Run(1),
        KillDaemon(3),
        Run(1),
        Run(1),
        Run(1),
        Run(663),
        PauseServer(0, 10),
        KillDaemon(1),
    ];
    run_schedule(16_494_242_978_765_911_191, true, &steps);
}

/// Guards against granting a shard again to an unfenced server that was ordered to release it.
///
/// The release then freed the shard at once, without waiting for the route leases.
#[test]
fn late_release_of_unfenced_server() {
    let steps = [
        Edit(32),
        PauseServer(4, 2784),
        Run(1),
        Run(1142),
        PauseDaemon(2, 1886),
        Run(282),
        Edit(32),
    ];
    run_schedule(0, false, &steps);
}

/// Guards against taking a late reply to an earlier write for the reply to the current one.
#[test]
fn late_reply_of_earlier_write() {
    let steps = [
        StartServer(3),
        PauseServer(5, 911),
        StoreDown(true),
        Loss(70),
        PauseDaemon(0, 1984),
        PauseServer(4, 1271),
        Run(667),
        StartServer(5),
        Run(1304),
        Run(198),
    ];
    run_schedule(12_994_508_197_981_739_434, true, &steps);
}

/// Guards against granting a shard that an unresolved write of the record changes.
#[test]
fn unresolved_write() {
    let steps = [
        Loss(15),
        Run(945),
        Run(640),
        Edit(64),
        PauseServer(0, 530),
        Run(255),
        Edit(40),
        Run(465),
        Run(1075),
        KillDaemon(1),
        PauseDaemon(2, 423),
        Run(1452),
        Late(188, 2566),
        Run(572),
        PauseDaemon(0, 599),
        StartServer(2),
        Run(1),
        Run(1184),
        Run(1351),
    ];
    run_schedule(11_548_634_341_840_414_640, false, &steps);
}

/// Guards against waiting forever for a write that has not taken effect.
///
/// The controller had nothing else to write, so that no newer revision ruled the write out.
#[test]
fn lost_write_is_superseded() {
    let steps = [
        Edit(150),
        Run(453),
        Edit(186),
        PauseServer(5, 3407),
        PauseDaemon(0, 1409),
        StoreDown(true),
        StartServer(4),
        StartServer(1),
        KillServer(2),
        Late(23, 2349),
        Cut(2, 1),
        Loss(83),
        Run(928),
        Run(480),
        PauseDaemon(0, 3279),
        Late(153, 2194),
        Run(317),
        StartServer(2),
        Run(467),
        Run(1426),
        Late(4, 779),
        Run(1057),
        Run(453),
        Run(1492),
        Run(934),
        StartServer(4),
        Run(1176),
        PauseServer(2, 1185),
        StoreDown(false),
        StartDaemon(0),
        Late(153, 78),
        PauseDaemon(3, 1115),
        Run(1),
        Run(1113),
    ];
    run_schedule(9_668_770_995_937_296_839, true, &steps);
}

/// Guards against two owners of a shard after a late report of an earlier server process.
///
/// The report was taken for that of a later process, so that the controller forgot what it
/// had granted to the current one.
#[test]
fn earlier_process_reports_later() {
    let steps = [
        Late(187, 1859),
        PauseDaemon(3, 70),
        KillDaemon(0),
        StartServer(0),
        StartDaemon(0),
        Loss(23),
        Run(1054),
        PauseDaemon(2, 3167),
        Edit(168),
        Run(1041),
        Run(1256),
        Run(478),
        Run(974),
        StartServer(0),
        Late(100, 2601),
        StartServer(0),
        Loss(44),
        StartServer(0),
        StartServer(5),
        Run(171),
        Run(1100),
    ];
    run_schedule(9_023_586_392_793_747_600, true, &steps);
}
