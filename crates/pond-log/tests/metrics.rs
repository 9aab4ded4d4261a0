//! Metrics kept in memory.

use pond_log::Metrics;

#[test]
fn metrics_in_memory_are_rendered_as_text() {
    let metrics = Metrics::in_memory();
    metrics.count("requests", 2);
    metrics.count("requests", 1);
    metrics.gauge("term", 7);
    for us in [100, 200, 300] {
        metrics.time_us("sync", us);
    }
    let text = metrics.text();
    for line in ["requests 3", "term 7", "sync_us_count 3", "sync_us{quantile=\"0.5\"} 200"] {
        assert!(text.lines().any(|found| found == line), "{line} is not in:\n{text}");
    }
}

#[test]
fn number_of_metric_names_is_bounded() {
    let metrics = Metrics::in_memory();
    for i in 0..2_000 {
        metrics.count(&format!("name{i}"), 1);
    }
    assert_eq!(metrics.text().lines().count(), 512);
}

#[test]
fn metrics_without_settings_are_discarded() {
    let metrics = Metrics::default();
    metrics.count("requests", 1);
    assert_eq!(metrics.text(), "");
}
