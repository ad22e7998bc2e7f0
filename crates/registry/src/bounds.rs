//! The bounds within which a registration describes a server that can be used.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr};

use crate::Registration;

/// A field of a [`Registration`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Field {
    /// The server's name.
    Server,
    /// When the incarnation started.
    Born,
    /// The service.
    Service,
    /// The address.
    Address,
    /// The data centre.
    DataCentre,
    /// The number of slots.
    Slots,
    /// The end of the warm-up.
    WarmAt,
    /// The number of the report.
    Heartbeat,
}

/// Why a registration does not describe a server that can be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unusable {
    /// The field that is out of its bounds.
    pub field: Field,
    /// The bounds, as text for an error message.
    pub expected: &'static str,
}

/// The longest name; the platform's keys, which end in servers' names, are at most this long.
const MAX_NAME_BYTES: usize = 200;
/// The end of the year 9999. A larger number is no time, and no later incarnation could follow it.
const MAX_BORN_MS: u64 = 253_402_300_799_999;
/// The largest whole number that every JSON reader keeps. Reports are numbered from the start of
/// the incarnation, so none comes near it.
const MAX_HEARTBEAT: u64 = (1 << 53) - 1;
/// More requests than one address can run at once: each needs a connection, which needs a port.
const MAX_SLOTS: u32 = 65_535;
/// Far longer than a start; servers state a few seconds.
const MAX_WARMUP_MS: u64 = 24 * 3_600 * 1_000;

impl Registration {
    /// Checks that the registration describes a server that can be used.
    ///
    /// # Errors
    ///
    /// Fails with the first field that is out of its bounds. `now_ms` is the time of the clock of
    /// `warm_at_ms`.
    pub fn check(&self, now_ms: u64) -> Result<(), Unusable> {
        let born_ms = self.incarnation.born_ms;
        let checks = [
            (Field::Server, is_header_text(&self.incarnation.server), EXPECTED_SERVER),
            (Field::Born, born_ms <= MAX_BORN_MS, "milliseconds since 1970, before the year 10000"),
            (Field::Service, !self.service.is_empty() && is_name(&self.service), EXPECTED_NAME),
            (Field::Address, self.is_address_usable(), "the IP address and port of one server"),
            (Field::DataCentre, is_name(&self.data_centre), EXPECTED_NAME),
            (Field::Slots, (1..=MAX_SLOTS).contains(&self.slots), "a number from 1 to 65535"),
            (
                Field::WarmAt,
                self.warm_at_ms.saturating_sub(now_ms) <= MAX_WARMUP_MS,
                "a duration of at most 24 h",
            ),
            (Field::Heartbeat, self.heartbeat <= MAX_HEARTBEAT, "a number below 2^53"),
        ];
        match checks.into_iter().find(|(_, is_usable, _)| !is_usable) {
            Some((field, _, expected)) => Err(Unusable { field, expected }),
            None => Ok(()),
        }
    }

    fn is_address_usable(&self) -> bool {
        let ip = self.address.ip();
        // A connection to the unspecified address reaches this process's own machine.
        let is_one_host = !ip.is_unspecified() && !ip.is_multicast();
        self.address.port() > 0 && is_one_host && ip != IpAddr::V4(Ipv4Addr::BROADCAST)
    }
}

impl fmt::Display for Unusable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not usable, expected {}", self.field, self.expected)
    }
}

impl std::error::Error for Unusable {}

const EXPECTED_SERVER: &str = "a name of 1 to 200 ASCII characters without spaces";
const EXPECTED_NAME: &str = "a name of at most 200 bytes without control characters";

/// Returns whether a server's name can be sent in a header, which requests to it carry.
fn is_header_text(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(|b| b.is_ascii_graphic())
}

fn is_name(name: &str) -> bool {
    name.len() <= MAX_NAME_BYTES && !name.chars().any(char::is_control)
}
