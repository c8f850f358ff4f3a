//! Counts a request at a target until its answer has ended.

use heatherhinge_steering::{MoveGauge, Side, Target};
use std::sync::Arc;

/// A request that counts as in flight at a target; dropping it ends that.
#[derive(Debug)]
pub struct InFlight {
    target: Arc<Target>,
    gauge: Option<Arc<MoveGauge>>,
    side: Side,
}

impl InFlight {
    pub(crate) fn begin(target: Arc<Target>, gauge: Option<Arc<MoveGauge>>, side: Side) -> Self {
        target.cell.begin();
        if let Some(gauge) = &gauge {
            gauge.begin(side);
        }
        Self {
            target,
            gauge,
            side,
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.target.cell.end();
        if let Some(gauge) = &self.gauge {
            gauge.end(self.side);
        }
    }
}
