//! Measuring what things cost at several sizes, and drawing a line through it.

mod core_slopes;
mod node_slopes;

pub use core_slopes::core_slopes;
pub use node_slopes::node_slopes;

/// What one thing costs at several sizes.
#[derive(Clone, Debug)]
pub struct Slope {
    /// What was measured.
    pub name: String,
    /// What the size counts.
    pub size_unit: &'static str,
    /// What the cost counts.
    pub cost_unit: &'static str,
    /// Sizes with their costs.
    pub points: Vec<(f64, f64)>,
    /// The size to draw it out to.
    pub projected_size: f64,
}

impl Slope {
    /// The line through the points by least squares: cost at size zero, cost per size, and how much of the
    /// variation it explains.
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

    /// The cost that the line gives at the target size.
    pub fn projected_cost(&self) -> f64 {
        let (intercept, slope, _) = self.fit();
        intercept + slope * self.projected_size
    }

    /// A line of the table.
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
