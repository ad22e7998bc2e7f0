//! Draws the timeline of a run as an SVG chart.

use std::path::Path;

use error_stack::{Report, ResultExt};
use plotters::prelude::{
    BLUE, ChartBuilder, GREEN, IntoDrawingArea, IntoFont, LineSeries, PathElement, RED, RGBColor,
    SVGBackend, WHITE,
};
use serde::Serialize;

use crate::site::{Error, Result};

/// Samples of several values over the time of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Timeline {
    /// The times of the samples, in seconds from the start.
    pub at_s: Vec<f64>,
    /// The name and the values of each series, with one value for each sample.
    pub series: Vec<(String, Vec<f64>)>,
}

const SIZE_PIXELS: (u32, u32) = (960, 420);
const COLOURS: [RGBColor; 3] = [BLUE, RED, GREEN];

impl Timeline {
    /// Creates a timeline with named series and no samples.
    #[must_use]
    pub fn new(names: &[&str]) -> Self {
        let series = names.iter().map(|name| ((*name).to_owned(), Vec::new())).collect();
        Self { at_s: Vec::new(), series }
    }

    /// Adds a sample with one value for each series.
    pub fn push(&mut self, at_s: f64, values: &[f64]) {
        self.at_s.push(at_s);
        for ((_, series), value) in self.series.iter_mut().zip(values) {
            series.push(*value);
        }
    }
}

/// Draws a timeline as an SVG chart.
///
/// # Errors
///
/// Fails when the file cannot be written.
pub fn plot(timeline: &Timeline, title: &str, file: &Path) -> Result<()> {
    draw(timeline, title, file)
        .map_err(|message| Report::new(Error::new(message)))
        .attach_with(|| file.display().to_string())
}

fn draw(timeline: &Timeline, title: &str, file: &Path) -> std::result::Result<(), String> {
    let to_text = |error: &dyn std::fmt::Display| error.to_string();
    let end_s = timeline.at_s.last().copied().unwrap_or(1.0);
    let values = timeline.series.iter().flat_map(|(_, values)| values);
    let max_value = values.copied().fold(1.0, f64::max);
    let area = SVGBackend::new(file, SIZE_PIXELS).into_drawing_area();
    area.fill(&WHITE).map_err(|error| to_text(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18).into_font())
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..end_s, 0.0..max_value * 1.05)
        .map_err(|error| to_text(&error))?;
    chart.configure_mesh().x_desc("seconds").draw().map_err(|error| to_text(&error))?;
    for ((name, values), colour) in timeline.series.iter().zip(COLOURS.iter().cycle()) {
        let points = timeline.at_s.iter().copied().zip(values.iter().copied());
        chart
            .draw_series(LineSeries::new(points, colour))
            .map_err(|error| to_text(&error))?
            .label(name.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart.configure_series_labels().background_style(WHITE).draw().map_err(|e| to_text(&e))?;
    area.present().map_err(|error| to_text(&error))
}
