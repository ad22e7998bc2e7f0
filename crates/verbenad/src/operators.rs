//! The operators' RPC interface: documents and their history in the store, and status.

use std::time::{SystemTime, UNIX_EPOCH};

use document::{Document, Name, Revision, changed_sections};
use error_stack::Report;
use futures::StreamExt;
use operator::{
    AcceptedEdit, Edit, Error, ErrorKind, Explanation, MAX_FRAME_BYTES, Operator, PastEdit,
    StatusAnswer, StoredDocument,
};
use store::{Category, Expect, Store, Value};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Json;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::input::{ControlRequest, Input};
use crate::watch::DOCUMENTS_PREFIX;

/// The prefix of the keys of accepted edits.
const HISTORY_PREFIX: &str = "history/";
/// The number of accepted edits that are kept for each service.
const MAX_HISTORY: usize = 50;

/// The implementation of the operators' calls.
#[derive(Clone, Debug)]
struct OperatorServer<S> {
    store: S,
    inputs: mpsc::Sender<Input>,
}

/// Accepts operators' connections and answers their calls until `close` is cancelled.
///
/// Returns when the calls that have arrived by then are answered. An edit is recorded in the history
/// only after the store has accepted it, so a call must not be cut short.
pub(crate) async fn serve<S: Store>(
    listener: TcpListener,
    store: S,
    inputs: mpsc::Sender<Input>,
    close: CancellationToken,
) {
    let server = OperatorServer { store, inputs };
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = close.cancelled() => break,
        };
        let Ok((stream, _)) = accepted else { continue };
        let codec =
            LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream);
        let transport = tarpc::serde_transport::new(codec, Json::default());
        // The channel ends when no more calls arrive and all answers are written.
        let transport = transport.take_until(close.clone().cancelled_owned());
        let channel = BaseChannel::with_defaults(transport);
        let server = server.clone();
        connections.spawn(channel.execute(server.serve()).for_each_concurrent(None, |call| call));
        while connections.try_join_next().is_some() {}
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

impl<S: Store> Operator for OperatorServer<S> {
    async fn apply(self, _: Context, edit: Edit) -> Result<AcceptedEdit, Error> {
        let document = Document::from_ini("document", &edit.text)
            .map_err(|report| invalid(report.current_context().to_string()))?;
        let service = document.name.clone();
        let current = self.read_document(&service).await?;
        if let Some(current) = &current {
            check_unchanged_key_groups(&document, &current.text)?;
        }
        let expect = edit.expected.map_or(Expect::Missing, Expect::At);
        let key = format!("{DOCUMENTS_PREFIX}{service}");
        let revision = match self.store.write(&key, expect, &edit.text, None).await {
            Ok(revision) => revision,
            Err(report) => return Err(self.describe_write_failure(&service, &edit, &report).await),
        };
        let previous_text = current.map_or_else(String::new, |current| current.text);
        let changed = changed_sections(&previous_text, &edit.text);
        self.write_history(&service, revision, &edit, changed.clone()).await;
        let text = Name::from(edit.text);
        let accepted = ControlRequest::EditAccepted { service: service.clone(), revision, text };
        // The watch would deliver the document too, but later.
        drop(self.inputs.send(Input::Request(accepted)).await);
        Ok(AcceptedEdit { service, revision, changed })
    }

    async fn get(
        self,
        _: Context,
        service: Name,
        revision: Option<Revision>,
    ) -> Result<StoredDocument, Error> {
        if let Some(revision) = revision {
            let past = self.read_history(&service, revision).await?;
            return Ok(StoredDocument { service, revision, text: past.text });
        }
        let value = self.read_document(&service).await?;
        let value = value.ok_or_else(|| missing(format!("service {service} has no document")))?;
        Ok(StoredDocument { service, revision: value.revision, text: value.text })
    }

    async fn history(self, _: Context, service: Name) -> Result<Vec<PastEdit>, Error> {
        let prefix = format!("{HISTORY_PREFIX}{service}/");
        let changes = self.store.watch(&prefix, Revision(0), 0).await.map_err(unavailable)?;
        let texts = changes.entries.into_iter().filter_map(|entry| entry.text);
        let mut edits: Vec<PastEdit> =
            texts.filter_map(|text| serde_json::from_str(&text).ok()).collect();
        edits.sort_by_key(|edit| std::cmp::Reverse(edit.revision));
        Ok(edits)
    }

    async fn status(self, _: Context) -> Result<StatusAnswer, Error> {
        self.call_control_thread(ControlRequest::Status).await
    }

    async fn explain(self, _: Context, service: Name, key: String) -> Result<Explanation, Error> {
        self.call_control_thread(|reply_to| ControlRequest::Explain { service, key, reply_to })
            .await?
    }

    async fn dump(self, _: Context) -> Result<String, Error> {
        self.call_control_thread(ControlRequest::Dump).await
    }
}

impl<S: Store> OperatorServer<S> {
    /// Sends a request to the control thread and waits for the answer.
    async fn call_control_thread<T>(
        &self,
        to_request: impl FnOnce(oneshot::Sender<T>) -> ControlRequest,
    ) -> Result<T, Error> {
        let (sender, receiver) = oneshot::channel();
        let stopping = || Error::new(ErrorKind::Unavailable, "the daemon is stopping");
        self.inputs.send(Input::Request(to_request(sender))).await.map_err(|_closed| stopping())?;
        receiver.await.map_err(|_closed| stopping())
    }

    /// Reads a service's current document from the store.
    async fn read_document(&self, service: &Name) -> Result<Option<Value>, Error> {
        self.store.read(&format!("{DOCUMENTS_PREFIX}{service}")).await.map_err(unavailable)
    }

    /// Reads an accepted edit from the history.
    async fn read_history(&self, service: &Name, revision: Revision) -> Result<PastEdit, Error> {
        let key = history_key(service, revision);
        let value = self.store.read(&key).await.map_err(unavailable)?;
        let value = value.ok_or_else(|| {
            missing(format!("revision {revision} of service {service} is not in the history"))
        })?;
        serde_json::from_str(&value.text).map_err(|error| missing(error.to_string()))
    }

    /// Returns the error for a failed write; for a conflict it names the changed sections.
    async fn describe_write_failure(
        &self,
        service: &Name,
        edit: &Edit,
        report: &Report<store::Error>,
    ) -> Error {
        match report.current_context().category() {
            Category::Conflict => {}
            Category::Unknown => {
                let message =
                    "the store did not answer, check the document with get before trying again";
                return Error::new(ErrorKind::Unknown, message);
            }
            Category::Missing | Category::Refused | Category::Compacted => {
                return Error::new(ErrorKind::Unavailable, report.to_string());
            }
        }
        let current = match self.read_document(service).await {
            Ok(Some(current)) => current,
            Ok(None) => return missing(format!("service {service} has no document yet")),
            Err(error) => return error,
        };
        let Some(expected) = edit.expected else {
            let message = format!(
                "service {service} already has revision {}, expected no document",
                current.revision
            );
            return Error::new(ErrorKind::Conflict, message);
        };
        let changed = match self.read_history(service, expected).await {
            Ok(base) => changed_sections(&base.text, &current.text).join(", "),
            Err(_missing) => "unknown (text no longer in the history)".to_owned(),
        };
        let message = format!(
            "revision {} is in force, not {expected}; changed since then: {changed}",
            current.revision
        );
        Error::new(ErrorKind::Conflict, message)
    }

    /// Adds an accepted edit to the history, and removes the oldest edits.
    ///
    /// Failures are ignored: the document itself is stored under another key.
    async fn write_history(
        &self,
        service: &Name,
        revision: Revision,
        edit: &Edit,
        changed: Vec<String>,
    ) {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let past = PastEdit {
            revision,
            operator: edit.operator.clone(),
            at_unix_ms: u64::try_from(since_1970.as_millis()).unwrap_or(u64::MAX),
            changed,
            text: edit.text.clone(),
        };
        let Ok(text) = serde_json::to_string(&past) else { return };
        let key = history_key(service, revision);
        drop(self.store.write(&key, Expect::Anything, &text, None).await);
        let prefix = format!("{HISTORY_PREFIX}{service}/");
        let Ok(history) = self.store.watch(&prefix, Revision(0), 0).await else { return };
        let mut stored: Vec<_> =
            history.entries.iter().filter(|entry| entry.text.is_some()).collect();
        stored.sort_by_key(|entry| std::cmp::Reverse(entry.revision));
        for entry in stored.into_iter().skip(MAX_HISTORY) {
            drop(self.store.remove(&entry.key).await);
        }
    }
}

/// Checks that an edit changes neither the kind nor the key groups of a service.
///
/// Such a change would give keys other owners without a handover.
fn check_unchanged_key_groups(document: &Document, current: &str) -> Result<(), Error> {
    let Ok(current) = Document::from_ini("present", current) else { return Ok(()) };
    if current.key_groups == document.key_groups && current.kind == document.kind {
        return Ok(());
    }
    Err(invalid(
        "kind or key groups differ from the current document, expected them unchanged".to_owned(),
    ))
}

fn history_key(service: &Name, revision: Revision) -> String {
    format!("{HISTORY_PREFIX}{service}/{revision}")
}

fn invalid(message: String) -> Error {
    Error::new(ErrorKind::Invalid, message)
}

fn missing(message: String) -> Error {
    Error::new(ErrorKind::Missing, message)
}

#[expect(clippy::needless_pass_by_value, reason = "map_err passes the report by value")]
fn unavailable(report: Report<store::Error>) -> Error {
    Error::new(ErrorKind::Unavailable, report.to_string())
}
