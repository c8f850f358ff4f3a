//! Writes line plots as SVG.

use plotters::chart::SeriesLabelPosition;
use plotters::prelude::{
    ChartBuilder, Circle, Color, IntoDrawingArea, IntoLogRange, LineSeries, Palette, Palette99,
    PathElement, SVGBackend,
};
use plotters::style::{BLACK, WHITE};
use std::path::Path;

/// Size of a plot in pixels.
const SIZE_PX: (u32, u32) = (960, 480);

/// One line of a plot.
#[derive(Clone, Debug)]
pub struct Line {
    /// Name in the legend.
    pub name: String,
    /// Values in the order of the labels of the plot.
    pub values: Vec<f64>,
}

/// A plot with labels along the horizontal axis and a logarithmic vertical axis.
#[derive(Clone, Debug)]
pub struct Plot {
    /// Title above the plot.
    pub title: String,
    /// Name of the vertical axis, with its unit.
    pub unit: String,
    /// Labels along the horizontal axis.
    pub labels: Vec<String>,
    /// Lines, in the order of the legend.
    pub lines: Vec<Line>,
}

impl Plot {
    /// Writes the plot as SVG.
    ///
    /// # Errors
    ///
    /// Returns an error if the plot has no values or the file cannot be written.
    pub fn write_svg(&self, path: &Path) -> eyre::Result<()> {
        let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
        root.fill(&WHITE)?;
        let (low, high) = self.range()?;
        let last = self.labels.len().saturating_sub(1).max(1) as f64;
        let mut chart = ChartBuilder::on(&root)
            .caption(&self.title, ("sans-serif", 20))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(-0.2..last + 0.2, (low..high).log_scale())?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(2 * self.labels.len())
            .x_label_formatter(&|x| self.label(*x))
            .y_desc(&self.unit)
            .draw()?;
        for (index, line) in self.lines.iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            let points = || (0_u32..).map(f64::from).zip(line.values.iter().copied());
            chart
                .draw_series(LineSeries::new(points(), color.stroke_width(2)))?
                .label(&line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
            chart.draw_series(points().map(|point| Circle::new(point, 3, color.filled())))?;
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        root.present()?;
        Ok(())
    }

    /// Returns the lowest positive and the highest value, with a margin for the logarithmic axis.
    fn range(&self) -> eyre::Result<(f64, f64)> {
        let values = || {
            self.lines
                .iter()
                .flat_map(|line| line.values.iter().copied())
        };
        let low = values()
            .filter(|value| *value > 0.0)
            .fold(f64::MAX, f64::min);
        let high = values().fold(0.0, f64::max);
        if high <= 0.0 {
            eyre::bail!("load: the plot {:?} has no value above 0", self.title);
        }
        Ok((low * 0.8, high * 1.5))
    }

    /// Returns the label at a whole number, and an empty text elsewhere.
    fn label(&self, x: f64) -> String {
        let index = x.round();
        if (x - index).abs() > 0.01 || index < 0.0 {
            return String::new();
        }
        self.labels.get(index as usize).cloned().unwrap_or_default()
    }
}
