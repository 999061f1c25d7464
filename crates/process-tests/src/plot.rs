//! Plots of service and load over time, as one SVG file without external resources. Values are not smoothed,
//! so that gaps in the service stay visible.

use std::path::Path;

use plotters::prelude::*;

use crate::recovery_measurement::{CaseResult, RunMeasurement, median};

const SIZE_PX: (u32, u32) = (1100, 720);
/// The seconds between two points of a plot.
const STEP_S: f64 = 0.1;

/// Returns the points of one line: for each step, the median over all runs of a case.
fn median_series(result: &CaseResult, series: impl Fn(&RunMeasurement) -> &Vec<f64>) -> Vec<(f64, f64)> {
    let step_count =
        result.measurements.iter().map(|measurement| series(measurement).len()).min().unwrap_or(0);
    let point = |step: usize| {
        let values: Vec<f64> =
            result.measurements.iter().map(|measurement| series(measurement)[step]).collect();
        (step as f64 * STEP_S, median(&values).map_or(0.0, |median| median.median))
    };
    (0..step_count).map(point).collect()
}

/// Plots the results of all cases into a file.
///
/// # Errors
///
/// Fails if the file can't be written.
pub fn write_svg(results: &[CaseResult], path: &Path) -> Result<(), String> {
    render(results, path).map_err(|error| format!("{}: {error}", path.display()))
}

fn render(results: &[CaseResult], path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let (above, below) = root.split_vertically(SIZE_PX.1 / 2);
    let served: Vec<_> =
        results.iter().map(|result| median_series(result, |measurement| &measurement.service)).collect();
    let attempts: Vec<_> =
        results.iter().map(|result| median_series(result, |measurement| &measurement.load)).collect();
    let attempts_per_second: Vec<Vec<_>> = attempts
        .into_iter()
        .map(|line| line.into_iter().map(|(at, count)| (at, count / STEP_S)).collect())
        .collect();
    let charts = [
        (&above, "served requests relative to a run without the fault (median)", served, 1.05),
        (&below, "attempts per second at all endpoints (median)", attempts_per_second, 0.0),
    ];
    for (area, title, lines, top) in charts {
        let end = lines.iter().flatten().map(|(at, _)| *at).fold(1.0, f64::max);
        let highest = lines.iter().flatten().map(|(_, value)| *value).fold(top, f64::max);
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 16))
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..end, 0.0..highest * 1.02)?;
        chart
            .configure_mesh()
            .x_desc("seconds since the start of the load")
            .light_line_style(WHITE)
            .draw()?;
        for (index, (result, line)) in results.iter().zip(lines).enumerate() {
            let colour = Palette99::pick(index).to_rgba();
            let series =
                chart.draw_series(LineSeries::new(line, colour.stroke_width(2)))?.label(result.case.clone());
            series.legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
        }
        let mut legend = chart.configure_series_labels();
        legend.position(SeriesLabelPosition::LowerRight).background_style(WHITE.mix(0.8)).border_style(BLACK);
        legend.draw()?;
    }
    root.present()?;
    Ok(())
}
