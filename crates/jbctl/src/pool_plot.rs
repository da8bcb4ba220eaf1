//! SVG chart of the CPU that each kind of task held and waited for in each pool over time.

use std::path::Path;

use plotters::{
    chart::{
        ChartBuilder,
        LabelAreaPosition, //
    },
    coord::Shift,
    drawing::{
        DrawingArea,
        DrawingAreaErrorKind,
        IntoDrawingArea, //
    },
    element::{
        PathElement,
        Rectangle, //
    },
    prelude::SVGBackend,
    series::{
        AreaSeries,
        LineSeries, //
    },
    style::{
        BLACK,
        Color,
        RGBColor,
        ShapeStyle,
        WHITE, //
    },
};

use crate::{
    PoolUsageHistory,
    UsageError,
    pool_usage_history::PoolSample, //
};

/// The size of one pool's chart, in pixels.
const CHART_WIDTH_PX: u32 = 960;
const CHART_HEIGHT_PX: u32 = 420;
const LONG_RUNNING_COLOR: RGBColor = RGBColor(70, 110, 160);
const SHORT_COLOR: RGBColor = RGBColor(225, 150, 60);
const FILLER_COLOR: RGBColor = RGBColor(110, 160, 90);
const MARGIN_PX: u32 = 12;
const AXIS_LABELS_PX: u32 = 70;
const CAPTION_FONT_PX: u32 = 18;
const LEGEND_SYMBOL_PX: i32 = 18;

type ChartArea<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type DrawError = DrawingAreaErrorKind<std::io::Error>;

impl PoolUsageHistory {
    /// Writes an SVG file with one chart for each pool, stacked from top to bottom.
    ///
    /// # Errors
    ///
    /// Returns [`UsageError::UnwritableFile`] if the file can't be written.
    pub fn plot(&self, path: &Path) -> Result<(), UsageError> {
        self.draw(path).map_err(|error| UsageError::UnwritableFile {
            path: path.to_owned(),
            reason: error.to_string(),
        })
    }

    fn draw(&self, path: &Path) -> Result<(), DrawError> {
        let pools: Vec<(&str, Vec<PoolSample>)> = self.pools().collect();
        // CAST: The number of pools is far below 2^32.
        let pool_count = pools.len().max(1) as u32;
        let root = SVGBackend::new(path, (CHART_WIDTH_PX, CHART_HEIGHT_PX * pool_count))
            .into_drawing_area();
        root.fill(&WHITE)?;
        let areas = root.split_evenly((pool_count as usize, 1));
        for (area, (pool, samples)) in areas.iter().zip(&pools) {
            draw_pool(area, pool, samples)?;
        }
        root.present()
    }
}

/// Draws one pool's chart: areas for the CPU held by long-running and short tasks, lines for capacity, fillers and demand.
fn draw_pool(area: &ChartArea<'_>, pool: &str, samples: &[PoolSample]) -> Result<(), DrawError> {
    let start_s = samples.first().map_or(0.0, |sample| sample.timestamp_s);
    let duration_s = samples
        .last()
        .map_or(0.0, |sample| sample.timestamp_s - start_s);
    let highest_cores = samples.iter().map(|sample| {
        let wanted_cores = sample.wanted_cores.iter().copied().fold(0.0, f64::max);
        sample.capacity_cores.max(wanted_cores)
    });
    let highest_cores = highest_cores.fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(
            format!("pool {pool}: processors held, and waited for"),
            ("sans-serif", CAPTION_FONT_PX),
        )
        .margin(MARGIN_PX)
        .set_label_area_size(LabelAreaPosition::Left, AXIS_LABELS_PX)
        .set_label_area_size(LabelAreaPosition::Bottom, AXIS_LABELS_PX / 2)
        .build_cartesian_2d(0.0..duration_s.max(1.0), 0.0..highest_cores)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("processors")
        .draw()?;
    let curve = |value: fn(&PoolSample) -> f64| {
        let points = samples.iter();
        points.map(move |sample| (sample.timestamp_s - start_s, value(sample)))
    };
    // The short tasks' area reaches from 0 to the sum of both kinds; the long-running tasks' area, drawn over it,
    // leaves only the short tasks' part visible.
    let stacked = AreaSeries::new(
        curve(|sample| sample.held_cores[0] + sample.held_cores[1]),
        0.0,
        SHORT_COLOR,
    );
    chart
        .draw_series(stacked)?
        .label("short, held")
        .legend(|position| legend_rectangle(position, SHORT_COLOR.filled()));
    chart
        .draw_series(AreaSeries::new(
            curve(|sample| sample.held_cores[0]),
            0.0,
            LONG_RUNNING_COLOR,
        ))?
        .label("long-running, held")
        .legend(|position| legend_rectangle(position, LONG_RUNNING_COLOR.filled()));
    chart
        .draw_series(LineSeries::new(
            curve(|sample| sample.capacity_cores),
            BLACK.stroke_width(2),
        ))?
        .label("capacity")
        .legend(|position| legend_line(position, BLACK.stroke_width(2)));
    chart
        .draw_series(LineSeries::new(
            curve(|sample| sample.held_cores[2]),
            FILLER_COLOR.stroke_width(2),
        ))?
        .label("fillers, beside them")
        .legend(|position| legend_line(position, FILLER_COLOR.stroke_width(2)));
    chart
        .draw_series(LineSeries::new(
            curve(|sample| sample.wanted_cores[1]),
            SHORT_COLOR.stroke_width(2),
        ))?
        .label("short, waiting")
        .legend(|position| legend_line(position, SHORT_COLOR.stroke_width(2)));
    chart
        .draw_series(LineSeries::new(
            curve(|sample| sample.wanted_cores[2]),
            FILLER_COLOR.stroke_width(1),
        ))?
        .label("fillers, waiting")
        .legend(|position| legend_line(position, FILLER_COLOR.stroke_width(1)));
    chart
        .configure_series_labels()
        .background_style(WHITE.filled())
        .border_style(BLACK)
        .draw()
}

/// Returns the legend symbol of an area.
fn legend_rectangle((x, y): (i32, i32), style: ShapeStyle) -> Rectangle<(i32, i32)> {
    Rectangle::new(
        [
            (x, y - LEGEND_SYMBOL_PX / 4),
            (x + LEGEND_SYMBOL_PX, y + LEGEND_SYMBOL_PX / 4),
        ],
        style,
    )
}

/// Returns the legend symbol of a line.
fn legend_line((x, y): (i32, i32), style: ShapeStyle) -> PathElement<(i32, i32)> {
    PathElement::new(vec![(x, y), (x + LEGEND_SYMBOL_PX, y)], style)
}
