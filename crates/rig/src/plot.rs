//! Plots of a load over time.

use std::{collections::BTreeMap, fs, io, path::Path, time::Duration};

use plotters::prelude::*;

use crate::load::{Measurements, Sample};

/// Width of a slice of time.
const SLICE: Duration = Duration::from_millis(100);
/// Size of a plot in pixels.
const SIZE: (u32, u32) = (900, 600);

/// Draws goodput, failures and the 99th percentile of each slice as an SVG file.
///
/// # Errors
///
/// If the file can't be written.
pub fn timeline(measurements: &Measurements, path: &Path) -> io::Result<()> {
    if let Some(folder) = path.parent() {
        fs::create_dir_all(folder)?;
    }
    draw(measurements, path).map_err(|s| io::Error::other(s.to_string()))
}

type Drawn = Result<(), Box<dyn std::error::Error>>;

fn draw(measurements: &Measurements, path: &Path) -> Drawn {
    let mut slices: BTreeMap<u64, Vec<&Sample>> = BTreeMap::new();
    for sample in &measurements.samples {
        slices
            .entry((sample.scheduled.as_millis() / SLICE.as_millis()) as u64)
            .or_default()
            .push(sample);
    }
    let seconds = |slice: u64| slice as f64 * SLICE.as_secs_f64();
    let points = |value: fn(&[&Sample]) -> f64| -> Vec<(f64, f64)> {
        slices
            .iter()
            .map(|(at, samples)| (seconds(*at), value(samples)))
            .collect()
    };
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let (upper, lower) = root.split_vertically(SIZE.1 / 2);
    let counts = [
        ("answers per slice", points(answers)),
        ("failures per slice", points(failures)),
    ];
    chart(
        &upper,
        "answers (blue) and failures (red) per 100 ms",
        &counts,
    )?;
    chart(
        &lower,
        "99th percentile of answers in ms",
        &[("p99 ms", points(p99))],
    )?;
    root.present()?;
    Ok(())
}

fn chart(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    caption: &str,
    lines: &[(&str, Vec<(f64, f64)>)],
) -> Drawn {
    let all = || lines.iter().flat_map(|(_, points)| points);
    let end = all().map(|p| p.0).fold(1.0, f64::max);
    let top = all().map(|p| p.1).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(25)
        .y_label_area_size(45)
        .build_cartesian_2d(0.0..end, 0.0..top * 1.1)?;
    chart.configure_mesh().x_desc("s").draw()?;
    for ((_, points), color) in lines.iter().zip([BLUE, RED]) {
        chart.draw_series(LineSeries::new(points.iter().copied(), color))?;
    }
    Ok(())
}

fn answers(samples: &[&Sample]) -> f64 {
    samples.iter().filter(|s| s.result == "ok").count() as f64
}

fn failures(samples: &[&Sample]) -> f64 {
    samples.len() as f64 - answers(samples)
}

fn p99(samples: &[&Sample]) -> f64 {
    let mut times: Vec<Duration> = samples
        .iter()
        .filter(|s| s.result == "ok")
        .map(|s| s.latency)
        .collect();
    times.sort_unstable();
    let at = (times.len() * 99).div_ceil(100).saturating_sub(1);
    times.get(at).map_or(0.0, |t| t.as_secs_f64() * 1e3)
}
