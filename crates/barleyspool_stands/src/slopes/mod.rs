//! Measures the cost of operations at several sizes and computes it at a planned size by a linear fit.
//!
//! The planned sizes lie within the measured sizes or are the largest of them. The exception is the number of active
//! organisations, which the measurement reads from the router, so its largest measured size may be below the planned
//! one.

mod core_slopes;
mod node_slopes;

pub use core_slopes::core_slopes;
pub use node_slopes::node_slopes;

/// The cost of one operation or resource at several sizes.
#[derive(Clone, Debug)]
pub struct Slope {
    /// What the cost is of.
    pub name: String,
    /// The unit of the sizes.
    pub size_unit: &'static str,
    /// The unit of the costs.
    pub cost_unit: &'static str,
    /// The measured sizes with their costs.
    pub points: Vec<(f64, f64)>,
    /// The planned size, for which the fit gives the cost.
    pub projected_size: f64,
}

impl Slope {
    /// Fits a line to the points by least squares. Returns its intercept (the cost at size zero), its slope (the
    /// cost per unit of size) and the coefficient of determination (r squared).
    pub fn fit(&self) -> (f64, f64, f64) {
        let n = self.points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| self.points.iter().map(of).sum::<f64>() / n;
        let (x, y) = (mean(|point| point.0), mean(|point| point.1));
        let deviation_products =
            |a: fn(&(f64, f64)) -> f64, mean_a: f64, b: fn(&(f64, f64)) -> f64, mean_b: f64| {
                self.points
                    .iter()
                    .map(|point| (a(point) - mean_a) * (b(point) - mean_b))
                    .sum::<f64>()
            };
        let xx = deviation_products(|point| point.0, x, |point| point.0, x);
        let xy = deviation_products(|point| point.0, x, |point| point.1, y);
        let yy = deviation_products(|point| point.1, y, |point| point.1, y);
        let slope = if xx > 0.0 { xy / xx } else { 0.0 };
        let r_squared = if xx * yy > 0.0 { xy * xy / (xx * yy) } else { 1.0 };
        (y - slope * x, slope, r_squared)
    }

    /// The cost at [`Slope::projected_size`] by the linear fit.
    pub fn projected_cost(&self) -> f64 {
        let (intercept, slope, _) = self.fit();
        intercept + slope * self.projected_size
    }

    /// Formats the slope as a row of the Markdown table.
    pub fn table_row(&self) -> String {
        let points: Vec<String> = self
            .points
            .iter()
            .map(|(size, cost)| format!("{size:.0}:{cost:.4}"))
            .collect();
        let (intercept, slope, r_squared) = self.fit();
        format!(
            "| {} | {} | {} | {intercept:.4} + {slope:.3e} x size (r2 {r_squared:.2}) | {:.0}: {:.4} {} |",
            self.name,
            self.size_unit,
            points.join(", "),
            self.projected_size,
            self.projected_cost(),
            self.cost_unit
        )
    }
}
