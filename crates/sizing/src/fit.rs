//! Fits least-squares lines through measured points.

use serde::Serialize;

/// A line through measured points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Fit {
    /// Increase per unit of the varied dimension.
    pub slope: f64,
    /// Value of the line at zero.
    pub intercept: f64,
    /// Share of the variance explained by the line, 0 to 1; well below 1 if the cost is not linear.
    pub r_squared: f64,
}

impl Fit {
    /// Fits a line through `(x, y)` points; `None` with fewer than two different `x`.
    #[must_use]
    pub fn of(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let xy: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let yy: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
        if points.len() < 2 || xx == 0.0 {
            return None;
        }
        let slope = xy / xx;
        let r_squared = if yy == 0.0 { 1.0 } else { xy * xy / (xx * yy) };
        Some(Self {
            slope,
            intercept: mean_y - slope * mean_x,
            r_squared,
        })
    }
}
