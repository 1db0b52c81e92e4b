//! SVG chart of calls by cause over time.

use std::{io, path::Path};

use plotters::{
    backend::SVGBackend,
    chart::{ChartBuilder, SeriesLabelPosition},
    drawing::{DrawingAreaErrorKind, IntoDrawingArea},
    element::Rectangle,
    style::{Color, Palette, Palette99, WHITE},
};
use thiserror::Error;

use super::{Summary, summary::format_time};

/// Width and height of the chart, in pixels.
const CHART_SIZE_PX: (u32, u32) = (1_000, 420);

/// Size of the label areas of the axes, in pixels.
const AXIS_LABELS_PX: u32 = 50;

/// Maximum number of time labels.
const TIME_LABELS_MAX: usize = 6;

/// Side of the colour squares in the legend, in pixels.
const LEGEND_MARKER_PX: i32 = 10;

/// Error of drawing or writing a chart.
#[derive(Debug, Error)]
#[error("the chart can't be written: {0}")]
pub struct ChartError(#[from] DrawingAreaErrorKind<io::Error>);

/// Draws a stacked bar for each time bucket, with one segment per cause.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn draw_chart(summary: &Summary, file: &Path) -> Result<(), ChartError> {
    let area = SVGBackend::new(file, CHART_SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let (causes, buckets) = (summary.causes(), summary.buckets());
    let starts: Vec<i64> = buckets.keys().copied().collect();
    let (Some(first), Some(last)) = (starts.first(), starts.last()) else {
        // No call failed or was slow: the chart stays empty.
        return Ok(area.present()?);
    };
    let max_calls = buckets.values().map(|counts| counts.values().sum::<u64>()).max().unwrap_or(0);
    let end = last + summary.bucket_s();
    let mut chart = ChartBuilder::on(&area)
        .margin(LEGEND_MARKER_PX)
        .x_label_area_size(AXIS_LABELS_PX)
        .y_label_area_size(AXIS_LABELS_PX)
        .build_cartesian_2d(*first..end, 0..max_calls + 1)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(TIME_LABELS_MAX)
        .x_label_formatter(&|time| format_time(*time))
        .y_desc("calls")
        .draw()?;
    for (index, (cause, _)) in causes.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let segment = |(start, counts): (&i64, &super::summary::Counts)| {
            let below = causes[..index].iter().filter_map(|(name, _)| counts.get(name));
            let bottom = below.sum::<u64>();
            let top = bottom + counts.get(cause).copied().unwrap_or(0);
            Rectangle::new([(*start, bottom), (start + summary.bucket_s(), top)], colour.filled())
        };
        chart.draw_series(buckets.iter().map(segment))?.label(cause).legend(move |(x, y)| {
            Rectangle::new(
                [(x, y - LEGEND_MARKER_PX / 2), (x + LEGEND_MARKER_PX, y + LEGEND_MARKER_PX / 2)],
                colour.filled(),
            )
        });
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.filled())
        .draw()?;
    Ok(area.present()?)
}
