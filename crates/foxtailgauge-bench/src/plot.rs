//! Draws recorded measurements as SVG plots.

use crate::json_file::{BenchError, BenchResult};
use clap::Args;
use error_stack::{Report, ResultExt};
use plotters::prelude::*;
use serde_json::Value;
use std::path::{Path, PathBuf};

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (640, 400);

/// Arguments of `plot`.
#[derive(Clone, Debug, Args)]
pub struct PlotArguments {
    /// Directory with the recorded results, one JSON object per line.
    #[arg(long, default_value = "docs/measurements")]
    from: PathBuf,
    /// Directory for the plots.
    #[arg(long, default_value = "docs/plots")]
    to: PathBuf,
}

struct Series {
    name: &'static str,
    color: RGBColor,
    points: Vec<(f64, f64)>,
}

/// Draws all plots.
pub fn run(arguments: &PlotArguments) -> BenchResult<()> {
    std::fs::create_dir_all(&arguments.to)
        .change_context_lazy(|| BenchError::File(arguments.to.clone()))?;
    let convergence = read_lines(&arguments.from.join("convergence.jsonl"))?;
    let by_daemons = |label: &str, key: &str| points(&convergence, label, "daemons", key);
    draw(
        &arguments.to.join("convergence.svg"),
        "One change: acceptance to in force on every daemon",
        ("daemons", "ms"),
        &[
            series("p50", BLUE, by_daemons("one-change", "convergence_p50_ms")),
            series(
                "max of 20",
                RED,
                by_daemons("one-change", "convergence_max_ms"),
            ),
        ],
    )?;
    draw(
        &arguments.to.join("bytes-per-change.svg"),
        "Bytes sent for one change",
        ("daemons", "bytes"),
        &[
            series(
                "busiest daemon",
                RED,
                by_daemons("one-change", "source_bytes_per_change"),
            ),
            series(
                "whole fleet",
                BLUE,
                by_daemons("one-change", "fleet_bytes_per_change"),
            ),
        ],
    )?;
    let overload = read_lines(&arguments.from.join("overload.jsonl"))?;
    draw(
        &arguments.to.join("overload.svg"),
        "Goodput within 1 s, capacity 800 a second",
        ("offered, percent of the capacity", "answers a second"),
        &[
            series("gateway", BLUE, overload_points(&overload, "gateway-")),
            series(
                "round robin without limits",
                RED,
                overload_points(&overload, "round-robin-"),
            ),
        ],
    )
}

fn series(name: &'static str, color: RGBColor, points: Vec<(f64, f64)>) -> Series {
    Series {
        name,
        color,
        points,
    }
}

fn read_lines(path: &Path) -> BenchResult<Vec<Value>> {
    let file_error = || BenchError::File(path.to_owned());
    let text = std::fs::read_to_string(path).change_context_lazy(file_error)?;
    let parse = |line: &str| serde_json::from_str(line).change_context_lazy(file_error);
    text.lines().map(parse).collect()
}

fn points(lines: &[Value], label: &str, x: &str, y: &str) -> Vec<(f64, f64)> {
    let matching = lines.iter().filter(|line| line["label"] == label);
    matching
        .filter_map(|line| Some((line[x].as_f64()?, line[y].as_f64()?)))
        .collect()
}

/// Points of the results whose label is `PREFIX` followed by `N-percent`.
fn overload_points(lines: &[Value], prefix: &str) -> Vec<(f64, f64)> {
    let point = |line: &Value| {
        let percent = line["label"]
            .as_str()?
            .strip_prefix(prefix)?
            .strip_suffix("-percent")?;
        Some((percent.parse().ok()?, line["good_per_second"].as_f64()?))
    };
    lines.iter().filter_map(point).collect()
}

fn draw(path: &Path, title: &str, axes: (&str, &str), all_series: &[Series]) -> BenchResult<()> {
    let file_error = |_| Report::new(BenchError::File(path.to_owned()));
    let points = || all_series.iter().flat_map(|series| &series.points);
    let max = |pick: fn(&(f64, f64)) -> f64| points().map(pick).fold(1.0, f64::max) * 1.05;
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(file_error)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..max(|p| p.0), 0.0..max(|p| p.1))
        .map_err(file_error)?;
    chart
        .configure_mesh()
        .x_desc(axes.0)
        .y_desc(axes.1)
        .draw()
        .map_err(file_error)?;
    for series in all_series {
        let color = series.color;
        let line =
            LineSeries::new(series.points.iter().copied(), color.stroke_width(2)).point_size(3);
        chart
            .draw_series(line)
            .map_err(file_error)?
            .label(series.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(file_error)?;
    root.present().map_err(file_error)
}
