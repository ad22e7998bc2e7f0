//! The operators' side of a daemon: tarpc, and the documents in the store.

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

use crate::input::{Input, Question};
use crate::watch::DOCUMENTS;

/// The prefix of the keys of earlier documents.
const HISTORY: &str = "history/";
/// How many edits of each service are remembered.
const MOST_PAST: usize = 50;

/// Answers operators' calls.
#[derive(Clone, Debug)]
struct Desk<S> {
    store: S,
    inputs: mpsc::Sender<Input>,
}

/// Serves operators until it is dropped.
pub(crate) async fn serve<S: Store>(listener: TcpListener, store: S, inputs: mpsc::Sender<Input>) {
    let desk = Desk { store, inputs };
    let mut calls = tokio::task::JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let codec =
            LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_framed(stream);
        let transport = tarpc::serde_transport::new(codec, Json::default());
        let channel = BaseChannel::with_defaults(transport);
        let desk = desk.clone();
        calls.spawn(channel.execute(desk.serve()).for_each_concurrent(None, |call| call));
        while calls.try_join_next().is_some() {}
    }
}

impl<S: Store> Operator for Desk<S> {
    async fn apply(self, _: Context, edit: Edit) -> Result<AcceptedEdit, Error> {
        let document = Document::from_ini("document", &edit.text)
            .map_err(|report| invalid(report.current_context().to_string()))?;
        let service = document.name.clone();
        let present = self.read(&service).await?;
        if let Some(present) = &present {
            check_key_groups(&document, &present.text)?;
        }
        let expect = edit.expected.map_or(Expect::Missing, Expect::At);
        let key = format!("{DOCUMENTS}{service}");
        let revision = match self.store.write(&key, expect, &edit.text, None).await {
            Ok(revision) => revision,
            Err(report) => return Err(self.explain_failure(&service, &edit, &report).await),
        };
        let before = present.map_or_else(String::new, |present| present.text);
        let changed = changed_sections(&before, &edit.text);
        self.remember(&service, revision, &edit, changed.clone()).await;
        let text = Name::from(edit.text);
        let accepted = Question::Accepted { service: service.clone(), revision, text };
        // The watch brings the document too, a little later.
        drop(self.inputs.send(Input::Question(accepted)).await);
        Ok(AcceptedEdit { service, revision, changed })
    }

    async fn get(
        self,
        _: Context,
        service: Name,
        revision: Option<Revision>,
    ) -> Result<StoredDocument, Error> {
        if let Some(revision) = revision {
            let past = self.past(&service, revision).await?;
            return Ok(StoredDocument { service, revision, text: past.text });
        }
        let value = self.read(&service).await?;
        let value = value.ok_or_else(|| missing(format!("service {service} has no document")))?;
        Ok(StoredDocument { service, revision: value.revision, text: value.text })
    }

    async fn history(self, _: Context, service: Name) -> Result<Vec<PastEdit>, Error> {
        let prefix = format!("{HISTORY}{service}/");
        let changes = self.store.watch(&prefix, Revision(0), 0).await.map_err(unavailable)?;
        let texts = changes.entries.into_iter().filter_map(|entry| entry.text);
        let mut past: Vec<PastEdit> =
            texts.filter_map(|text| serde_json::from_str(&text).ok()).collect();
        past.sort_by_key(|past| std::cmp::Reverse(past.revision));
        Ok(past)
    }

    async fn status(self, _: Context) -> Result<StatusAnswer, Error> {
        self.ask(Question::Status).await
    }

    async fn explain(self, _: Context, service: Name, key: String) -> Result<Explanation, Error> {
        self.ask(|answer| Question::Explain { service, key, answer }).await?
    }

    async fn dump(self, _: Context) -> Result<String, Error> {
        self.ask(Question::Dump).await
    }
}

impl<S: Store> Desk<S> {
    async fn ask<T>(
        &self,
        question: impl FnOnce(oneshot::Sender<T>) -> Question,
    ) -> Result<T, Error> {
        let (answer, answered) = oneshot::channel();
        let gone = || Error::new(ErrorKind::Unavailable, "the daemon is stopping");
        self.inputs.send(Input::Question(question(answer))).await.map_err(|_gone| gone())?;
        answered.await.map_err(|_gone| gone())
    }

    async fn read(&self, service: &Name) -> Result<Option<Value>, Error> {
        self.store.read(&format!("{DOCUMENTS}{service}")).await.map_err(unavailable)
    }

    async fn past(&self, service: &Name, revision: Revision) -> Result<PastEdit, Error> {
        let key = history_key(service, revision);
        let value = self.store.read(&key).await.map_err(unavailable)?;
        let value = value.ok_or_else(|| {
            missing(format!("revision {revision} of {service} is not remembered"))
        })?;
        serde_json::from_str(&value.text).map_err(|error| missing(error.to_string()))
    }

    /// Says why a write failed; a conflict names what the other edit changed.
    async fn explain_failure(
        &self,
        service: &Name,
        edit: &Edit,
        report: &Report<store::Error>,
    ) -> Error {
        match report.current_context().category() {
            Category::Conflict => {}
            Category::Unknown => {
                let message = "the store did not answer; look with get before trying again";
                return Error::new(ErrorKind::Unknown, message);
            }
            Category::Missing | Category::Refused | Category::Compacted => {
                return Error::new(ErrorKind::Unavailable, report.to_string());
            }
        }
        let present = match self.read(service).await {
            Ok(Some(present)) => present,
            Ok(None) => return missing(format!("service {service} has no document yet")),
            Err(fault) => return fault,
        };
        let Some(expected) = edit.expected else {
            let message = format!("{service} has revision {}, expected none", present.revision);
            return Error::new(ErrorKind::Conflict, message);
        };
        let changed = match self.past(service, expected).await {
            Ok(base) => changed_sections(&base.text, &present.text).join(", "),
            Err(_forgotten) => "sections that are not remembered".to_owned(),
        };
        let message = format!(
            "revision {} is in force, not {expected}; since then changed: {changed}",
            present.revision
        );
        Error::new(ErrorKind::Conflict, message)
    }

    /// Keeps an accepted edit; losing one of these loses no document.
    async fn remember(
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
        let prefix = format!("{HISTORY}{service}/");
        let Ok(known) = self.store.watch(&prefix, Revision(0), 0).await else { return };
        let mut kept: Vec<_> = known.entries.iter().filter(|e| e.text.is_some()).collect();
        kept.sort_by_key(|entry| std::cmp::Reverse(entry.revision));
        for entry in kept.into_iter().skip(MOST_PAST) {
            drop(self.store.remove(&entry.key).await);
        }
    }
}

/// Refuses a change of the key groups, under which keys would change owners unseen.
fn check_key_groups(document: &Document, present: &str) -> Result<(), Error> {
    let Ok(present) = Document::from_ini("present", present) else { return Ok(()) };
    if present.key_groups == document.key_groups && present.kind == document.kind {
        return Ok(());
    }
    Err(invalid(
        "kind and key groups cannot change once a service exists, expected them as they are"
            .to_owned(),
    ))
}

fn history_key(service: &Name, revision: Revision) -> String {
    format!("{HISTORY}{service}/{revision}")
}

fn invalid(message: String) -> Error {
    Error::new(ErrorKind::Invalid, message)
}

fn missing(message: String) -> Error {
    Error::new(ErrorKind::Missing, message)
}

#[expect(clippy::needless_pass_by_value, reason = "it is given to map_err")]
fn unavailable(report: Report<store::Error>) -> Error {
    Error::new(ErrorKind::Unavailable, report.to_string())
}
