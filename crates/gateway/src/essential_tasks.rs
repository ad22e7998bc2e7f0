//! Tasks that the process cannot do without.

use document::HashMap;
use tokio::task::{Id, JoinSet};

/// Tasks that run as long as the process; if one ends, by a panic or not, the process has to stop.
///
/// A panic of a task that is not awaited would go unnoticed, and the process would go on with
/// what it knew until then.
#[derive(Debug, Default)]
pub(crate) struct EssentialTasks {
    tasks: JoinSet<()>,
    names: HashMap<Id, &'static str>,
}

impl EssentialTasks {
    /// Starts a task; the name is for the log.
    pub(crate) fn spawn(
        &mut self,
        name: &'static str,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        let handle = self.tasks.spawn(task);
        self.names.insert(handle.id(), name);
    }

    /// Waits until a task ends and logs which one; waits forever if there is none.
    pub(crate) async fn ended(&mut self) {
        let (id, cause) = match self.tasks.join_next_with_id().await {
            Some(Ok((id, ()))) => (id, "it returned".to_owned()),
            Some(Err(error)) => (error.id(), error.to_string()),
            None => return std::future::pending().await,
        };
        let task = self.names.get(&id).copied().unwrap_or_default();
        spdlog::error!("task ended, stopping the process", kv: { task, cause });
    }
}
