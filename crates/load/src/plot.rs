//! A line chart of worth over time, as SVG.

use plotters::{
    chart::ChartBuilder,
    element::PathElement,
    prelude::{IntoDrawingArea, SVGBackend},
    series::LineSeries,
    style::{Color, Palette, Palette99, WHITE},
};

use crate::{LoadError, Outcome, Policy};

/// The width and height of the chart, in pixels.
const SIZE_PX: (u32, u32) = (900, 480);
/// The size of the axes' label areas, in pixels. The outer margin is half of it.
const LABEL_AREA_PX: u32 = 40;

/// Draws the worth of the jobs that arrived in each time window as SVG, with one line for each policy.
///
/// # Errors
///
/// Returns [`LoadError::Plot`] if the chart cannot be drawn.
pub fn draw(outcomes: &[(Policy, Outcome)]) -> Result<String, LoadError> {
    let mut text = String::new();
    draw_into(&mut text, outcomes).map_err(LoadError::Plot)?;
    Ok(text)
}

fn draw_into(text: &mut String, outcomes: &[(Policy, Outcome)]) -> Result<(), String> {
    let message = |e: &dyn std::fmt::Display| e.to_string();
    let area = SVGBackend::with_string(text, SIZE_PX).into_drawing_area();
    area.fill(&WHITE).map_err(|e| message(&e))?;
    let windows = outcomes.iter().flat_map(|(_, outcome)| &outcome.windows);
    let last = windows.map(|window| window.from_s).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .margin(LABEL_AREA_PX / 2)
        .x_label_area_size(LABEL_AREA_PX)
        .y_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(0.0..last, 0.0..1.05)
        .map_err(|e| message(&e))?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("worth of what is owed")
        .draw()
        .map_err(|e| message(&e))?;
    for (number, (policy, outcome)) in outcomes.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let points = outcome.windows.iter().map(|w| (w.from_s, w.worth));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))
            .map_err(|e| message(&e))?
            .label(policy.name())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .draw()
        .map_err(|e| message(&e))?;
    area.present().map_err(|e| message(&e))
}
