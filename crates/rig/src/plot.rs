//! SVG plots of measurements over time.

use std::{collections::BTreeMap, fs, io, path::Path, time::Duration};

use plotters::prelude::*;

use crate::load::{Measurements, Sample};

/// Width of the time slices that samples are grouped into, by scheduled time.
const SLICE_WIDTH: Duration = Duration::from_millis(100);
const SIZE_PX: (u32, u32) = (900, 600);

/// Plots goodput, failures and the 99th latency percentile of each time slice into an SVG file.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn timeline(measurements: &Measurements, path: &Path) -> io::Result<()> {
    if let Some(dir) = path.parent() {
        fs::create_dir_all(dir)?;
    }
    draw(measurements, path).map_err(|e| io::Error::other(e.to_string()))
}

type DrawResult = Result<(), Box<dyn std::error::Error>>;

fn draw(measurements: &Measurements, path: &Path) -> DrawResult {
    let mut slices: BTreeMap<u64, Vec<&Sample>> = BTreeMap::new();
    for sample in &measurements.samples {
        slices
            .entry((sample.scheduled.as_millis() / SLICE_WIDTH.as_millis()) as u64)
            .or_default()
            .push(sample);
    }
    let seconds = |slice: u64| slice as f64 * SLICE_WIDTH.as_secs_f64();
    let points = |aggregate: fn(&[&Sample]) -> f64| -> Vec<(f64, f64)> {
        slices
            .iter()
            .map(|(slice, samples)| (seconds(*slice), aggregate(samples)))
            .collect()
    };
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let (upper, lower) = root.split_vertically(SIZE_PX.1 / 2);
    let counts = [
        ("answers per slice", points(ok_count)),
        ("failures per slice", points(failure_count)),
    ];
    chart(
        &upper,
        "answers (blue) and failures (red) per 100 ms",
        &counts,
    )?;
    chart(
        &lower,
        "99th percentile of answers in ms",
        &[("p99 ms", points(p99_ms))],
    )?;
    root.present()?;
    Ok(())
}

fn chart(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    caption: &str,
    series: &[(&str, Vec<(f64, f64)>)],
) -> DrawResult {
    let all_points = || series.iter().flat_map(|(_, points)| points);
    let x_max = all_points().map(|p| p.0).fold(1.0, f64::max);
    let y_max = all_points().map(|p| p.1).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(25)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max * 1.1)?;
    chart.configure_mesh().x_desc("s").draw()?;
    for ((_, points), color) in series.iter().zip([BLUE, RED]) {
        chart.draw_series(LineSeries::new(points.iter().copied(), color))?;
    }
    Ok(())
}

fn ok_count(samples: &[&Sample]) -> f64 {
    samples.iter().filter(|s| s.result == "ok").count() as f64
}

fn failure_count(samples: &[&Sample]) -> f64 {
    samples.len() as f64 - ok_count(samples)
}

fn p99_ms(samples: &[&Sample]) -> f64 {
    let mut latencies: Vec<Duration> = samples
        .iter()
        .filter(|s| s.result == "ok")
        .map(|s| s.latency)
        .collect();
    latencies.sort_unstable();
    let index = (latencies.len() * 99).div_ceil(100).saturating_sub(1);
    latencies.get(index).map_or(0.0, |t| t.as_secs_f64() * 1e3)
}
