//! Registers metrics and encodes them.

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Prefix of all metric names.
const PREFIX: &str = "mintshelf";

/// Name and value of a label.
pub(super) type Label = (&'static str, String);

/// Name and help text of a metric.
#[derive(Clone, Copy)]
pub(super) struct Metric {
    name: &'static str,
    help: &'static str,
}

impl Metric {
    pub(super) const fn new(name: &'static str, help: &'static str) -> Self {
        Metric { name, help }
    }
}

/// Converts a value for a gauge; a value that does not fit becomes the maximum.
pub(super) fn gauge_value(value: impl TryInto<i64>) -> i64 {
    value.try_into().unwrap_or(i64::MAX)
}

/// The metrics of one scrape, in order of registration.
pub(super) struct MetricRegistry {
    registry: Registry,
}

impl MetricRegistry {
    pub(super) fn new() -> Self {
        MetricRegistry { registry: Registry::with_prefix(PREFIX) }
    }

    /// Returns the metrics as text, or only the end marker if they cannot be encoded.
    pub(super) fn encode(&self) -> String {
        let mut encoded = String::new();
        match text::encode(&mut encoded, &self.registry) {
            Ok(()) => encoded,
            Err(_) => "# EOF\n".to_string(),
        }
    }

    /// Registers a gauge without labels.
    pub(super) fn gauge(&mut self, metric: Metric, value: i64) {
        let gauge: Gauge = Gauge::default();
        gauge.set(value);
        self.registry.register(metric.name, metric.help, gauge);
    }

    /// Registers a counter without labels.
    pub(super) fn counter(&mut self, metric: Metric, value: u64) {
        let counter: Counter = Counter::default();
        counter.inc_by(value);
        self.registry.register(metric.name, metric.help, counter);
    }

    /// Registers a gauge with one label.
    pub(super) fn gauges(
        &mut self,
        metric: Metric,
        label: &'static str,
        values: impl IntoIterator<Item = (String, i64)>,
    ) {
        let labelled = values.into_iter().map(|(name, value)| ([(label, name)], value));
        self.labelled_gauges(metric, labelled);
    }

    /// Registers a gauge with several labels. Values with equal labels are added up.
    pub(super) fn labelled_gauges<const N: usize>(
        &mut self,
        metric: Metric,
        values: impl IntoIterator<Item = ([Label; N], i64)>,
    ) {
        let family = Family::<[Label; N], Gauge>::default();
        for (labels, value) in values {
            family.get_or_create(&labels).inc_by(value);
        }
        self.registry.register(metric.name, metric.help, family);
    }

    /// Registers a counter with one label.
    pub(super) fn counters(
        &mut self,
        metric: Metric,
        label: &'static str,
        counts: impl IntoIterator<Item = (String, u64)>,
    ) {
        let labelled = counts.into_iter().map(|(name, count)| ([(label, name)], count));
        self.labelled_counters(metric, labelled);
    }

    /// Registers a counter with several labels. Counts with equal labels are added up.
    pub(super) fn labelled_counters<const N: usize>(
        &mut self,
        metric: Metric,
        counts: impl IntoIterator<Item = ([Label; N], u64)>,
    ) {
        let family = Family::<[Label; N], Counter>::default();
        for (labels, count) in counts {
            family.get_or_create(&labels).inc_by(count);
        }
        self.registry.register(metric.name, metric.help, family);
    }
}
