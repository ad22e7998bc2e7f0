//! Turns at servers that limit the rate of their requests.
//!
//! Such a server names how many requests it accepts in a second from all daemons together. One
//! daemon of its data centre, the keeper, hands out its turns, and every daemon asks the keeper
//! before it sends a request to the server. While the keeper does not answer, a daemon uses half
//! of an equal part of the rate.

use document::{HashMap, Name};
use peer::{FleetBody, TurnRequest};
use registry::Incarnation;
use route::{ColdLimit, Rate, RateLimiter, Turn};
use store::Store;
use telemetry::Counter;
use tokio::sync::oneshot;
use tokio::time::{Duration, sleep, timeout};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::control::input::Input;
use crate::control::node::Node;
use crate::request::server::Server;
use crate::{Orders, Shared, Source};

/// The rate at which a server that accepts fewer requests, or none, still gets some: only an
/// answer tells that the limit has changed.
const MIN_RATE: Rate = Rate::from_milli_per_s(250);
/// How long a request waits for the keeper's reply; it takes a round trip between data centres.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);
/// How long the keeper is not asked again after it did not reply.
const SILENCE_MS: u64 = 500;
/// How long the turns of a server are kept after the last one.
const IDLE_MS: u64 = 60_000;
/// The part of a daemon's equal share that it uses while the keeper does not reply.
///
/// The keeper may still hand out the whole rate to other daemons.
const SHARE_DIVISOR: u32 = 2;

/// A request for a turn, which the control thread passes to the keeper.
#[derive(Debug)]
pub(crate) struct TurnQuery {
    pub(crate) server: Incarnation,
    pub(crate) data_centre: Name,
    pub(crate) rate: Rate,
    pub(crate) max_wait_ms: u64,
    pub(crate) answer: oneshot::Sender<Turn>,
}

/// The turns that this daemon keeps, and the requests for turns that it has sent.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    kept: HashMap<Incarnation, KeptTurns>,
    last_number: u64,
    unanswered: HashMap<u64, oneshot::Sender<Turn>>,
}

#[derive(Debug)]
struct KeptTurns {
    limiter: RateLimiter,
    idle_deadline_ms: u64,
}

/// Waits for a turn at the server if it limits its rate.
///
/// Returns how long there is none in milliseconds if the request would have to wait for more than
/// `max_wait_ms`.
pub(crate) async fn wait_for_turn(
    shared: &Shared,
    server: &Server,
    max_wait_ms: u64,
) -> Result<(), u64> {
    let cold_rate = server.cold_limit().map(ColdLimit::rate);
    let Some(rate) = server.rate_limit().into_iter().chain(cold_rate).min() else { return Ok(()) };
    let turn = match ask_keeper(shared, server, rate, max_wait_ms).await {
        Some(turn) => turn,
        None if cold_rate.is_some() => {
            let rate = rate.part(SHARE_DIVISOR);
            server.take_own_cold_turn(rate, shared.share(), max_wait_ms)
        }
        None => server.take_own_turn(rate.part(shared.daemons() * SHARE_DIVISOR), max_wait_ms),
    };
    if cold_rate.is_some() {
        shared.counters.count(match turn {
            Turn::In { .. } => Counter::ColdTurns,
            Turn::Full { .. } => Counter::ColdTurnsRefused,
        });
    }
    match turn {
        Turn::In { wait_ms } => {
            if wait_ms > 0 {
                sleep(Duration::from_millis(wait_ms)).await;
            }
            Ok(())
        }
        Turn::Full { remaining_ms } => {
            // A keeper that replies again may have a turn before this daemon's own share has one.
            let max_refusal_ms = if cold_rate.is_some() { SILENCE_MS } else { u64::MAX };
            server.refuse_turns(remaining_ms.min(max_refusal_ms));
            Err(remaining_ms)
        }
    }
}

async fn ask_keeper(
    shared: &Shared,
    server: &Server,
    rate: Rate,
    max_wait_ms: u64,
) -> Option<Turn> {
    if server.is_keeper_silent() {
        return None;
    }
    let (answer, answered) = oneshot::channel();
    let query = TurnQuery {
        server: server.registration.incarnation.clone(),
        data_centre: server.registration.data_centre.clone(),
        rate,
        max_wait_ms,
        answer,
    };
    let is_asked = shared.send_input(Input::Turn(query));
    let turn = if is_asked { timeout(REPLY_TIMEOUT, answered).await.ok()?.ok() } else { None };
    if turn.is_none() {
        server.on_silent_keeper(SILENCE_MS);
        spdlog::warn!(
            "no reply about turns",
            kv: { server: = server.registration.incarnation, rate: = rate }
        );
    }
    turn
}

/// Returns the daemon that keeps the turns of a server: one in its data centre if there is any.
///
/// Daemons that know the same daemons choose the same one.
#[must_use]
pub fn turn_keeper<'a>(
    server: &str,
    data_centre: &str,
    daemons: impl Iterator<Item = (&'a Name, &'a Name)>,
) -> Option<&'a Name> {
    let seed = xxh3_64(server.as_bytes());
    let chosen = daemons.max_by_key(|(daemon, of)| {
        (of.as_str() == data_centre, xxh3_64_with_seed(daemon.as_bytes(), seed))
    });
    chosen.map(|(daemon, _)| daemon)
}

impl Turns {
    /// Takes a turn of a server whose turns this daemon keeps.
    ///
    /// `cold_limit` is the limit on the server while it is cold.
    fn take(
        &mut self,
        now_ms: u64,
        server: &Incarnation,
        rate: Rate,
        max_wait_ms: u64,
        cold_limit: Option<ColdLimit>,
    ) -> Turn {
        let rate = cold_limit.map_or(rate, |limit| rate.min(limit.rate())).max(MIN_RATE);
        let kept = self.kept.entry(server.clone()).or_insert_with(|| KeptTurns {
            limiter: RateLimiter::new(now_ms, rate, 0),
            idle_deadline_ms: 0,
        });
        kept.idle_deadline_ms = now_ms + IDLE_MS;
        match cold_limit {
            Some(limit) => {
                kept.limiter.take_with_burst(now_ms, max_wait_ms, rate, limit.burst_us())
            }
            None => kept.limiter.take(now_ms, max_wait_ms, rate),
        }
    }

    /// Forgets servers without recent requests, and requests that no longer wait for a turn.
    pub(crate) fn forget_old(&mut self, now_ms: u64) {
        self.kept.retain(|_, kept| now_ms < kept.idle_deadline_ms);
        self.unanswered.retain(|_, answer| !answer.is_closed());
    }
}

impl<S: Store, O: Orders, R: Source> Node<S, O, R> {
    /// Answers a request for a turn of this daemon, or passes it to the keeper.
    pub(crate) fn on_turn_query(&mut self, query: TurnQuery) {
        let TurnQuery { server, data_centre, rate, max_wait_ms, answer } = query;
        let daemons = self.daemons.iter().map(|(name, daemon)| (name, &daemon.data_centre));
        let keeper = turn_keeper(&server.server, &data_centre, daemons);
        let address = keeper
            .filter(|keeper| **keeper != self.settings.instance)
            .and_then(|keeper| self.address(keeper));
        let Some(address) = address else {
            let turn = self.take_turn(&server, rate, max_wait_ms);
            // The request may have been cancelled.
            let _is_awaited = answer.send(turn).is_ok();
            return;
        };
        // A restarted process must not reuse the numbers of the process before it.
        let number = (self.turns.last_number + 1).max(self.clock.now_ms());
        self.turns.last_number = number;
        self.turns.unanswered.insert(number, answer);
        let request = TurnRequest { number, server, rate, max_wait_ms };
        self.send(address, FleetBody::TurnRequest(request));
    }

    /// Takes a turn of a server whose turns this daemon keeps.
    fn take_turn(&mut self, server: &Incarnation, rate: Rate, max_wait_ms: u64) -> Turn {
        let known = self.servers.get(server);
        let cold_limit = known.and_then(|known| known.cold_limit_at(rate));
        self.turns.take(self.clock.now_ms(), server, rate, max_wait_ms, cold_limit)
    }

    /// Hands out a turn to another daemon.
    pub(crate) fn on_turn_request(&mut self, from: &Name, request: &TurnRequest) {
        let Some(address) = self.address(from) else { return };
        let TurnRequest { number, server, rate, max_wait_ms } = request;
        let turn = self.take_turn(server, *rate, *max_wait_ms);
        self.send(address, FleetBody::TurnReply(*number, turn));
    }

    /// Handles the keeper's reply.
    pub(crate) fn on_turn_reply(&mut self, number: u64, turn: Turn) {
        if let Some(answer) = self.turns.unanswered.remove(&number) {
            // The request may have been cancelled or no longer waits.
            let _is_awaited = answer.send(turn).is_ok();
        }
    }
}
