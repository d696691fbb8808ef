//! Supervision of tasks that run as long as the process: if one ends by itself, its name is reported.

use tokio::sync::mpsc;

/// Sends the name of a task when it is dropped, and so also when the task panics.
struct EndReporter(&'static str, mpsc::UnboundedSender<&'static str>);

impl Drop for EndReporter {
    fn drop(&mut self) {
        let _ = self.1.send(self.0);
    }
}

/// Wraps a task that should run as long as the process, so that its name is sent to `ended` when it ends.
pub fn watched<F: Future>(
    name: &'static str, ended: &mpsc::UnboundedSender<&'static str>, task: F,
) -> impl Future<Output = ()> + use<F> {
    let reporter = EndReporter(name, ended.clone());
    async move {
        let _reporter = reporter;
        task.await;
    }
}
