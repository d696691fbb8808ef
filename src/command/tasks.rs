//! The tasks that last as long as the process: one that ends by itself is told, so that none is silent.

use tokio::sync::mpsc;

/// Tells the end of a task that should last as long as the process, also by a panic.
struct Watch(&'static str, mpsc::UnboundedSender<&'static str>);

impl Drop for Watch {
    fn drop(&mut self) {
        let _ = self.1.send(self.0);
    }
}

/// Runs a task that should last as long as the process, and tells its end.
pub fn watched<F: Future>(
    name: &'static str, ended: &mpsc::UnboundedSender<&'static str>, task: F,
) -> impl Future<Output = ()> + use<F> {
    let watch = Watch(name, ended.clone());
    async move {
        let _watch = watch;
        task.await;
    }
}
