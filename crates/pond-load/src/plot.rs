//! Latency plots in SVG.

use crate::report::Report;

const WIDTH: f64 = 720.0;
const HEIGHT: f64 = 400.0;
const MARGIN: f64 = 60.0;
const COLOURS: [&str; 6] = ["#1b6ca8", "#c44536", "#2a9d56", "#8e5ea2", "#b8860b", "#444444"];

/// Quantiles marked on the x axis, one per additional "nine".
const QUANTILES: [(f64, &str); 5] =
    [(0.0, "0"), (0.9, "90 %"), (0.99, "99 %"), (0.999, "99.9 %"), (0.9999, "99.99 %")];

/// Number of points per curve.
const CURVE_POINTS: usize = 200;

/// Renders a plot with one curve per report: latency (logarithmic) over quantile (in "nines").
pub fn svg(title: &str, reports: &[Report]) -> String {
    let slowest = reports.iter().map(|report| report.latency.max).max().unwrap_or(1).max(1000);
    let top = (slowest as f64).log10().ceil();
    let y = |us: u64| {
        let share = ((us.max(10) as f64).log10() - 1.0) / (top - 1.0).max(1.0);
        HEIGHT - MARGIN - share * (HEIGHT - 2.0 * MARGIN)
    };
    let x = |nines: f64| MARGIN + nines / 4.0 * (WIDTH - 2.0 * MARGIN);
    let mut text = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%\" height=\"100%\" \
         fill=\"white\"/>\n<text x=\"{MARGIN}\" y=\"24\" font-size=\"15\">{title}</text>\n"
    );
    for (i, (_, label)) in QUANTILES.iter().enumerate() {
        let tick_x = x(i as f64);
        text.push_str(&format!(
            "<line x1=\"{tick_x}\" y1=\"{MARGIN}\" x2=\"{tick_x}\" y2=\"{}\" stroke=\"#dddddd\"/>\
             <text x=\"{tick_x}\" y=\"{}\" text-anchor=\"middle\">{label}</text>\n",
            HEIGHT - MARGIN,
            HEIGHT - MARGIN + 18.0
        ));
    }
    for decade in 1..=top as u32 {
        let us = 10u64.pow(decade);
        text.push_str(&format!(
            "<line x1=\"{MARGIN}\" y1=\"{0}\" x2=\"{1}\" y2=\"{0}\" stroke=\"#dddddd\"/>\
             <text x=\"{2}\" y=\"{0}\" text-anchor=\"end\">{3} ms</text>\n",
            y(us),
            WIDTH - MARGIN,
            MARGIN - 6.0,
            us as f64 / 1000.0
        ));
    }
    for (i, report) in reports.iter().enumerate() {
        let colour = COLOURS[i % COLOURS.len()];
        let points: Vec<String> = (0..=CURVE_POINTS)
            .map(|point| point as f64 / CURVE_POINTS as f64 * 4.0)
            .map(|nines| (x(nines), y(report.latency_at(1.0 - 10f64.powf(-nines)))))
            .map(|(x, y)| format!("{x:.1},{y:.1}"))
            .collect();
        text.push_str(&format!(
            "<polyline fill=\"none\" stroke=\"{colour}\" stroke-width=\"2\" points=\"{}\"/>\n\
             <text x=\"{}\" y=\"{}\" fill=\"{colour}\">{}</text>\n",
            points.join(" "),
            MARGIN + 10.0,
            MARGIN + 16.0 * (i as f64 + 1.0),
            report.name
        ));
    }
    text.push_str("</svg>\n");
    text
}
