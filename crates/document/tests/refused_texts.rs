//! Errors of refused texts name the file, the line and what was expected.
//!
//! A typing error that is accepted would silently change what a document means, and an error with
//! a wrong line would leave operators to search the document for it.

use document::{Category, Document};
use googletest::prelude::*;

const VALID: &str = "[service]\nname = ledger\nkind = keyed\nkey = segment 2\n\n\
                    [key-group all]\nprefix =\nshards = 8\n\n\
                    [server a]\naddress = 127.0.0.1:9001\ndata_centre = zurich\n\n\
                    [class balance]\nmethod = GET\npath = /ledger/{key}/balance\nidempotent = yes\n";

#[track_caller]
fn assert_refused(text: &str, category: Category, message: &str) {
    let report = Document::from_ini("l.ini", text).expect_err("the text is not valid");
    let error = report.current_context();
    assert_that!(error.to_string(), eq(message));
    assert_eq!(error.category(), category);
}

#[track_caller]
fn assert_change_refused(from: &str, to: &str, category: Category, message: &str) {
    assert!(VALID.contains(from));
    assert_refused(&VALID.replace(from, to), category, message);
}

#[test]
fn valid_text() {
    let document = Document::from_ini("l.ini", VALID).unwrap();
    assert_eq!(document.classes.len(), 2);
    assert_eq!(document.class("GET", "/ledger/x/balance").1.name, "balance");
    assert_eq!(document.class("POST", "/ledger/x/balance").1.name, "other");
}

#[test]
fn unknown_section() {
    let text = format!("{VALID}[sever b]\n");
    let expected = "l.ini:18: unknown section [sever b], expected \
                    [service], [key-group NAME], [server NAME] or [class NAME]";
    assert_refused(&text, Category::Structure, expected);
}

#[test]
fn unknown_key() {
    assert_change_refused(
        "data_centre = zurich\n",
        "data_centre = zurich\nslot = 4\n",
        Category::Structure,
        "l.ini:13: unknown key slot in [server a], expected one of \
         address, data_centre, slots, connections, key_groups, state, checks_fence",
    );
}

#[test]
fn missing_key() {
    assert_change_refused(
        "data_centre = zurich\n",
        "",
        Category::Structure,
        "l.ini:10: data_centre is missing in [server a], expected a text that is not empty",
    );
}

#[test]
fn wrong_unit() {
    assert_change_refused(
        "key = segment 2\n",
        "key = segment 2\nprepare = 5 weeks\n",
        Category::Value,
        "l.ini:5: prepare = 5 weeks, expected a duration of at most ten years with a unit: 250ms, 3s, 10m or 1h",
    );
}

#[test]
fn duplicate_key() {
    assert_change_refused(
        "kind = keyed\n",
        "kind = keyed\nkind = pooled\n",
        Category::Structure,
        "l.ini:4: kind stands twice in [service], expected it once",
    );
}

#[test]
fn duplicate_server() {
    let text = format!("{VALID}[server a]\naddress = 127.0.0.1:9002\ndata_centre = bern\n");
    let expected = "l.ini:18: section [server a] stands twice, expected it once";
    assert_refused(&text, Category::Structure, expected);
}

#[test]
fn duplicate_address() {
    let text = format!("{VALID}[server b]\naddress = 127.0.0.1:9001\ndata_centre = bern\n");
    let expected = "l.ini:18: address 127.0.0.1:9001 is used twice";
    assert_refused(&text, Category::Consistency, expected);
}

#[test]
fn key_group_without_server() {
    assert_change_refused(
        "data_centre = zurich\n",
        "data_centre = zurich\nstate = leaving\n",
        Category::Consistency,
        "l.ini:1: no server may hold key group all, expected one that is not leaving",
    );
}

#[test]
fn too_many_shards() {
    assert_change_refused(
        "shards = 8\n",
        "shards = 4096\n[key-group other]\nprefix = o\nshards = 1\n",
        Category::Consistency,
        "l.ini:1: 4097 shards in all, expected at most 4096",
    );
}

#[test]
fn unknown_group() {
    assert_change_refused(
        "data_centre = zurich\n",
        "data_centre = zurich\nkey_groups = stalls\n",
        Category::Consistency,
        "l.ini:10: key group stalls is unknown, expected a [key-group stalls]",
    );
}

#[test]
fn keyed_without_key() {
    assert_change_refused(
        "key = segment 2\n",
        "",
        Category::Consistency,
        "l.ini:1: key is missing, expected segment 2, header NAME or query NAME",
    );
}

#[test]
fn entry_before_sections() {
    let text = format!("name = x\n{VALID}");
    let expected = "l.ini:1: name stands before the first section";
    assert_refused(&text, Category::Structure, expected);
}

#[test]
fn not_ini() {
    let report = Document::from_ini("l.ini", "[service\nname").expect_err("it is not INI");
    assert_eq!(report.current_context().category(), Category::Syntax);
}

#[test]
fn byte_order_mark() {
    let document = Document::from_ini("l.ini", &format!("\u{feff}{VALID}")).unwrap();
    assert_eq!(document.classes.len(), 2);
}

#[test]
fn long_message_is_shortened() {
    let long_text = format!("{VALID}[{}]\n", "x".repeat(1_100_000));
    let report = Document::from_ini("l.ini", &long_text).expect_err("the text is not valid");
    let message = report.current_context().to_string();
    assert!(message.len() < 500, "{} bytes", message.len());
    assert_that!(message, ends_with("[server NAME] or [class NAME]"));
}

/// Guards against sums and multiples of durations that overflow.
#[test]
fn durations_are_bounded() {
    assert_eq!(document::DURATION.parse("87600h"), Some(315_360_000_000));
    for text in [
        "87601h",
        "315360000001ms",
        "18446744073709551615ms",
        "18446744073709551616ms",
        "5124095576030.5h",
    ] {
        assert_eq!(document::DURATION.parse(text), None, "{text}");
    }
}
