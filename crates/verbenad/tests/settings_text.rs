//! Guards against valid settings that are refused, and against errors that do not name the file,
//! the line and what was expected.

use verbenad::Settings;

const VALID: &str = "[instance]\nname = entry-1\ndata_centre = zurich\n\
                    [listen]\nhttp = 127.0.0.1:8001\npeer = 127.0.0.1:8101\n\
                    operator = 127.0.0.1:8201\nadmin = 127.0.0.1:8301\n\
                    [store]\naddress = 127.0.0.1:7000\n";

#[track_caller]
fn assert_refused(text: &str, message: &str) {
    let report = Settings::from_ini("e.ini", text).expect_err("the text is not valid");
    assert_eq!(report.current_context().to_string(), message);
}

#[test]
fn valid_settings() {
    let settings = Settings::from_ini("e.ini", VALID).unwrap();
    assert_eq!(settings.store_timeout_ms, 2_000);
    assert_eq!(settings.limits.max_body_bytes, 256 << 10);
}

#[test]
fn example_files() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    for site in ["local", "mittelland", "sapporo"] {
        for number in 1..=4 {
            let file = format!("{root}/{site}/entry-{number}.ini");
            let text = std::fs::read_to_string(&file).unwrap();
            Settings::from_ini(&file, &text).unwrap();
        }
    }
}

#[test]
fn unknown_section() {
    let text = format!("{VALID}[trafic]\n");
    let expected = "e.ini:11: unknown section [trafic], expected \
                    [instance], [listen], [store], [traffic], [log], [stop] or [peer NAME]";
    assert_refused(&text, expected);
}

#[test]
fn unknown_key() {
    let text = format!("{VALID}retries = 4\n");
    let expected = "e.ini:11: unknown key retries in [store], expected one of address, timeout";
    assert_refused(&text, expected);
}

#[test]
fn bad_unit() {
    let text = format!("{VALID}timeout = 2 minutes\n");
    let expected = "e.ini:11: timeout = 2 minutes, \
                    expected a duration of at most ten years with a unit: 250ms, 3s, 10m or 1h";
    assert_refused(&text, expected);
}

#[test]
fn bad_address() {
    let text = VALID.replace("http = 127.0.0.1:8001", "http = localhost");
    let expected =
        "e.ini:5: http = localhost, expected an IP address with a port, as 10.0.0.7:9000";
    assert_refused(&text, expected);
}
