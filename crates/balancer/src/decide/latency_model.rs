//! Latency estimation: typical latencies of classes and hardware models, and how servers deviate
//! from them.

use crate::api::{ClassId, Settings};
use crate::decay::DecayingMean;
use mintshelf_time::{as_float, Nanos, MILLISECOND, SECOND};

/// Weight of one new sample in the typical latency of a class.
const TYPICAL_GAIN: f64 = 0.05;
/// Maximum weight of one new sample in the offset of a hardware model.
const MAX_MODEL_GAIN: f64 = 2.0 * TYPICAL_GAIN;
/// Typical latency before the first sample, as a fraction of the latency objective.
const INITIAL_OBJECTIVE_FRACTION: f64 = 0.3;
/// Limit of the absolute log latency ratio of one sample, since work is heavy-tailed.
const MAX_LOG_RATIO: f64 = 2.5;
/// Smoothing of a server's latency samples if the instances do not exchange samples.
const LOCAL_SMOOTHING: Smoothing = Smoothing { prior_samples: 3.0, half_life: 12 * SECOND };
/// Smoothing of a server's latency samples if the instances exchange samples by gossip.
const SHARED_SMOOTHING: Smoothing = Smoothing { prior_samples: 0.5, half_life: 6 * SECOND };
/// Time in which the weight of a sample decays to half in the recent latency ratio over all
/// servers.
const RECENT_RATIO_HALF_LIFE: Nanos = 700 * MILLISECOND;
/// Weight, in samples, of the prior of the recent latency ratio, which is 1.
const RECENT_RATIO_PRIOR_SAMPLES: f64 = 3.0;

/// Parameters of the decaying mean of a server's latency samples.
#[derive(Debug, Clone, Copy)]
struct Smoothing {
    /// Weight, in samples, of the prior that the server is as fast as is typical.
    prior_samples: f64,
    /// Time in which the weight of a sample decays to half.
    half_life: Nanos,
}

/// Whether the measured time of an attempt is its latency or only a lower bound of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LatencyBound {
    /// The attempt was served after this time, which is the latency.
    Exact,
    /// The attempt timed out or was cancelled after this time, a lower bound of the latency.
    AtLeast,
}

/// Latency sample of one attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LatencySample {
    pub(crate) class: ClassId,
    /// Natural log of the expected work in core nanoseconds, if known.
    pub(crate) log_work: Option<f64>,
    pub(crate) elapsed: Nanos,
    pub(crate) bound: LatencyBound,
}

/// Decaying mean of the log ratios of one server's latencies to the typical latencies.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ServerLatency {
    log_ratio: DecayingMean,
}

/// Aggregated samples of one server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LatencySamples {
    /// Sum of the natural logs of the latency ratios.
    pub(crate) sum: f64,
    /// Number of latency ratios in the sum.
    pub(crate) count: f64,
}

/// Latency estimates of one class. Fields named `log_` hold natural logs of nanoseconds.
#[derive(Debug)]
struct ClassLatency {
    /// Typical latency in nanoseconds before the first sample.
    initial_typical: f64,
    /// Log of the typical latency; `None` before the first sample.
    log_typical: Option<f64>,
    /// Log of the typical ratio of latency to expected work; `None` before the first sample with
    /// known work.
    log_typical_per_work: Option<f64>,
    /// Number of served attempts of the class.
    served_samples: f64,
    /// Offset of each hardware model from the log of the typical latency, indexed by the model's
    /// number.
    model_offsets: Vec<f64>,
}

/// Latency estimates by class and hardware model.
#[derive(Debug)]
pub(crate) struct LatencyModel {
    classes: Vec<ClassLatency>,
    /// Mean of the recent log ratios of latencies to the typical latencies, over all servers.
    recent_ratio: DecayingMean,
    smoothing: Smoothing,
}

impl LatencyModel {
    /// Creates the model of an instance without samples.
    pub(crate) fn new(settings: &Settings) -> Self {
        let models = settings.hardware_models.max(1) as usize;
        let classes = settings.classes.iter().map(|class| ClassLatency {
            initial_typical: as_float(class.latency_objective) * INITIAL_OBJECTIVE_FRACTION,
            log_typical: None,
            log_typical_per_work: None,
            served_samples: 0.0,
            model_offsets: vec![0.0; models],
        });
        LatencyModel {
            classes: classes.collect(),
            recent_ratio: DecayingMean::default(),
            smoothing: if settings.has_peers { SHARED_SMOOTHING } else { LOCAL_SMOOTHING },
        }
    }

    /// Records the latency of an attempt at a server of a hardware model. A served attempt updates
    /// the typical latency; an attempt that timed out or was cancelled is a lower bound and counts
    /// only if it is not below the typical latency. Errors must not be recorded, since a fast error
    /// would make the server look fast.
    pub(crate) fn record_sample(
        &mut self,
        now: Nanos,
        server: &mut ServerLatency,
        model: usize,
        sample: LatencySample,
    ) {
        let is_served = sample.bound == LatencyBound::Exact;
        let ratio = self.classes[sample.class.index()].update(sample, model);
        if is_served || ratio >= 0.0 {
            self.recent_ratio.add(now, RECENT_RATIO_HALF_LIFE, ratio, 1.0);
            self.add_samples(now, server, LatencySamples { sum: ratio, count: 1.0 });
        }
    }

    /// Adds samples to a server's mean.
    pub(crate) fn add_samples(
        &self,
        now: Nanos,
        server: &mut ServerLatency,
        samples: LatencySamples,
    ) {
        server.log_ratio.add(now, self.smoothing.half_life, samples.sum, samples.count);
    }

    /// Removes half of a server's samples and returns them, or returns `None` and removes nothing
    /// if half is not more than `min_count`.
    pub(crate) fn take_half(
        &self,
        now: Nanos,
        server: &mut ServerLatency,
        min_count: f64,
    ) -> Option<LatencySamples> {
        let half_life = self.smoothing.half_life;
        let sum = server.log_ratio.sum.get(now, half_life) / 2.0;
        let count = server.log_ratio.count.get(now, half_life) / 2.0;
        if count <= min_count {
            return None;
        }
        self.add_samples(now, server, LatencySamples { sum: -sum, count: -count });
        Some(LatencySamples { sum, count })
    }

    /// Returns the mean log latency ratio of a server, shrunk towards 0 by the prior.
    pub(crate) fn mean_log_ratio(&self, now: Nanos, server: &ServerLatency) -> f64 {
        server.log_ratio.get(now, self.smoothing.half_life, self.smoothing.prior_samples)
    }

    /// Returns the typical latency of a class in nanoseconds.
    pub(crate) fn typical_latency(&self, class: ClassId) -> f64 {
        self.classes[class.index()].typical_latency()
    }

    /// Returns the mean of the typical latencies of all classes, in nanoseconds.
    pub(crate) fn mean_typical_latency(&self) -> f64 {
        let sum: f64 = self.classes.iter().map(ClassLatency::typical_latency).sum();
        sum / self.classes.len() as f64
    }

    /// Returns the typical latency of a class on a hardware model, in nanoseconds.
    pub(crate) fn typical_latency_on(&self, class: ClassId, model: usize) -> f64 {
        self.typical_latency(class) * self.model_offset(class, model).exp()
    }

    /// Returns the current latency of a class in nanoseconds: its typical latency times the recent
    /// latency ratio over all servers.
    pub(crate) fn current_latency(&self, now: Nanos, class: ClassId) -> f64 {
        let ratio = self.recent_ratio.get(now, RECENT_RATIO_HALF_LIFE, RECENT_RATIO_PRIOR_SAMPLES);
        self.typical_latency(class) * ratio.exp()
    }

    /// Returns the typical latency, in nanoseconds, of a request of known work on a hardware model,
    /// or `None` if the work or the typical ratio is unknown.
    pub(crate) fn latency_for_work(
        &self,
        class: ClassId,
        log_work: Option<f64>,
        model: usize,
    ) -> Option<f64> {
        let class = &self.classes[class.index()];
        let offset = class.model_offsets[model];
        let (log_work, log_per_work) = log_work.zip(class.log_typical_per_work)?;
        Some((log_work + log_per_work + offset).exp())
    }

    /// Returns the typical latency, in nanoseconds, of a request of known work on the fastest
    /// hardware model, or `None` if the work or the typical ratio is unknown.
    pub(crate) fn latency_for_work_on_fastest(
        &self,
        class: ClassId,
        log_work: Option<f64>,
    ) -> Option<f64> {
        let class = &self.classes[class.index()];
        let fastest = class.model_offsets.iter().copied().fold(f64::INFINITY, f64::min);
        let (log_work, log_per_work) = log_work.zip(class.log_typical_per_work)?;
        Some((log_work + log_per_work + fastest).exp())
    }

    /// Returns the number of served attempts of a class.
    pub(crate) fn sample_count(&self, class: ClassId) -> f64 {
        self.classes[class.index()].served_samples
    }

    /// Returns the offset of a hardware model from the log of a class's typical latency.
    pub(crate) fn model_offset(&self, class: ClassId, model: usize) -> f64 {
        self.classes[class.index()].model_offsets[model]
    }

    /// Returns the mean, over all classes, of the offsets of a hardware model from the logs of the
    /// typical latencies.
    pub(crate) fn mean_model_offset(&self, model: usize) -> f64 {
        let sum: f64 = self.classes.iter().map(|class| class.model_offsets[model]).sum();
        sum / self.classes.len() as f64
    }
}

impl ClassLatency {
    /// Returns the typical latency in nanoseconds: the observed one, or a fraction of the latency
    /// objective before the first sample.
    fn typical_latency(&self) -> f64 {
        self.log_typical.map_or(self.initial_typical, f64::exp)
    }

    /// Moves the typical latencies and the offset of the hardware model towards a sample. Returns
    /// the sample's bounded log ratio to the typical latency. If the work is known, the ratio
    /// compares latency per work, so that what remains is due to the server.
    fn update(&mut self, sample: LatencySample, model: usize) -> f64 {
        let gain = match sample.bound {
            // The first samples are averaged with equal weights; otherwise the very first one would
            // dominate for a long time.
            LatencyBound::Exact => TYPICAL_GAIN.max(1.0 / (self.served_samples + 1.0)),
            LatencyBound::AtLeast => 0.0,
        };
        if sample.bound == LatencyBound::Exact {
            self.served_samples += 1.0;
        }
        let log_latency = as_float(sample.elapsed.max(1)).ln();
        let offset = self.model_offsets[model];
        let log_typical = self.log_typical.get_or_insert(log_latency);
        let mut ratio = bounded_ratio(log_latency - *log_typical - offset);
        *log_typical += gain * ratio;
        if let Some(log_work) = sample.log_work {
            let log_typical = self.log_typical_per_work.get_or_insert(log_latency - log_work);
            ratio = bounded_ratio(log_latency - log_work - *log_typical - offset);
            *log_typical += gain * ratio;
        }
        self.model_offsets[model] += gain.min(MAX_MODEL_GAIN) * ratio;
        ratio
    }
}

/// Clamps a log latency ratio to the limit of one sample.
fn bounded_ratio(log_ratio: f64) -> f64 {
    log_ratio.clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO)
}
