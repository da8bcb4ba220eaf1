//! Draws who held each pool's processors over time, and who waited for them.

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
    PoolHistory,
    UsageError,
    pool_history::PoolMoment, //
};

/// The size of a pool's picture, in pixels.
const WIDTH: u32 = 960;
const HEIGHT: u32 = 420;
const LONG_RUNNING: RGBColor = RGBColor(70, 110, 160);
const SHORT: RGBColor = RGBColor(225, 150, 60);
const FILLER: RGBColor = RGBColor(110, 160, 90);
const MARGIN: u32 = 12;
const AXIS: u32 = 70;
const CAPTION: u32 = 18;
const LEGEND: i32 = 18;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type DrawError = DrawingAreaErrorKind<std::io::Error>;

impl PoolHistory {
    /// Writes a picture of all pools to a file, as SVG.
    ///
    /// # Errors
    ///
    /// [`UsageError::Unwritable`] if the file can't be written.
    pub fn plot(&self, path: &Path) -> Result<(), UsageError> {
        self.draw(path).map_err(|error| UsageError::Unwritable {
            path: path.to_owned(),
            reason: error.to_string(),
        })
    }

    fn draw(&self, path: &Path) -> Result<(), DrawError> {
        let pools: Vec<(&str, Vec<PoolMoment>)> = self.pools().collect();
        // CAST: A fleet has a handful of pools.
        let count = pools.len().max(1) as u32;
        let root = SVGBackend::new(path, (WIDTH, HEIGHT * count)).into_drawing_area();
        root.fill(&WHITE)?;
        let areas = root.split_evenly((count as usize, 1));
        for (area, (pool, moments)) in areas.iter().zip(&pools) {
            draw_pool(area, pool, moments)?;
        }
        root.present()
    }
}

fn draw_pool(area: &Area<'_>, pool: &str, moments: &[PoolMoment]) -> Result<(), DrawError> {
    let first = moments.first().map_or(0.0, |moment| moment.at);
    let last = moments.last().map_or(0.0, |moment| moment.at - first);
    let highest = moments.iter().map(|moment| {
        let wanted = moment.wanted.iter().copied().fold(0.0, f64::max);
        moment.capacity.max(wanted)
    });
    let highest = highest.fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(
            format!("pool {pool}: processors held, and waited for"),
            ("sans-serif", CAPTION),
        )
        .margin(MARGIN)
        .set_label_area_size(LabelAreaPosition::Left, AXIS)
        .set_label_area_size(LabelAreaPosition::Bottom, AXIS / 2)
        .build_cartesian_2d(0.0..last.max(1.0), 0.0..highest)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("processors")
        .draw()?;
    let curve = |value: fn(&PoolMoment) -> f64| {
        let points = moments.iter();
        points.map(move |moment| (moment.at - first, value(moment)))
    };
    // Short tasks stand on top of long-running ones, whose area hides the rest of theirs.
    let stacked = AreaSeries::new(curve(|moment| moment.held[0] + moment.held[1]), 0.0, SHORT);
    chart
        .draw_series(stacked)?
        .label("short, held")
        .legend(|at| swatch(at, SHORT.filled()));
    chart
        .draw_series(AreaSeries::new(
            curve(|moment| moment.held[0]),
            0.0,
            LONG_RUNNING,
        ))?
        .label("long-running, held")
        .legend(|at| swatch(at, LONG_RUNNING.filled()));
    chart
        .draw_series(LineSeries::new(
            curve(|moment| moment.capacity),
            BLACK.stroke_width(2),
        ))?
        .label("capacity")
        .legend(|at| line(at, BLACK.stroke_width(2)));
    chart
        .draw_series(LineSeries::new(
            curve(|moment| moment.held[2]),
            FILLER.stroke_width(2),
        ))?
        .label("fillers, beside them")
        .legend(|at| line(at, FILLER.stroke_width(2)));
    chart
        .draw_series(LineSeries::new(
            curve(|moment| moment.wanted[1]),
            SHORT.stroke_width(2),
        ))?
        .label("short, waiting")
        .legend(|at| line(at, SHORT.stroke_width(2)));
    chart
        .draw_series(LineSeries::new(
            curve(|moment| moment.wanted[2]),
            FILLER.stroke_width(1),
        ))?
        .label("fillers, waiting")
        .legend(|at| line(at, FILLER.stroke_width(1)));
    chart
        .configure_series_labels()
        .background_style(WHITE.filled())
        .border_style(BLACK)
        .draw()
}

fn swatch((x, y): (i32, i32), style: ShapeStyle) -> Rectangle<(i32, i32)> {
    Rectangle::new([(x, y - LEGEND / 4), (x + LEGEND, y + LEGEND / 4)], style)
}

fn line((x, y): (i32, i32), style: ShapeStyle) -> PathElement<(i32, i32)> {
    PathElement::new(vec![(x, y), (x + LEGEND, y)], style)
}
