//! How a long run tells how far it is.

/// Hears how far a run is. A run tells it about once for each simulated tenth of a second.
pub trait Progress {
    /// So much of the run is done, 0 to 1; `step` says in a few words what it does.
    fn reached(&mut self, part: f64, step: &str);
}

/// Tells nobody.
#[derive(Clone, Copy, Debug, Default)]
pub struct Silent;

impl Progress for Silent {
    fn reached(&mut self, _: f64, _: &str) {}
}
