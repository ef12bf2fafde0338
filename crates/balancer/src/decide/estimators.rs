//! Estimated speed, latency and capacity of servers, combined from latency, traffic and warm-up.

use super::latency_model::LatencyModel;
use super::slow_start::SlowStart;
use super::traffic::TrafficRates;
use crate::api::{ClassId, Settings, SizeKind};
use crate::state::{Request, ServerIndex, ServerState, ServerTable};
use mintshelf_time::Nanos;

/// Exponent of the latency ratio in a server's speed. Above 1, load shifts away from an overloaded
/// server.
const SPEED_EXPONENT: f64 = 1.5;
/// Exponent of the latency ratio of a server's hardware model if no sizes are listed. The exponent
/// is large because time spent waiting elsewhere hides part of the difference in speed.
const MODEL_SPEED_EXPONENT: f64 = 2.5;
/// Minimum factor by which the estimates multiply a server's listed size.
const MIN_SPEED_FACTOR: f64 = 0.03;
/// Maximum factor by which the estimates multiply a server's listed size.
const MAX_SPEED_FACTOR: f64 = 1.5;
/// Lower bound of a listed size; a smaller size is raised to the bound.
const MIN_SIZE: f64 = 1e-6;
/// Lower bound of the total capacity, in units of listed size.
const MIN_TOTAL_CAPACITY: f64 = 0.1;
/// Price of crossing zones (weight per request) that halves the speed of servers in other zones.
const CROSS_ZONE_HALF_SPEED_PRICE: f64 = 0.01;

/// Estimators of latency, traffic and warm-up.
#[derive(Debug)]
pub(crate) struct Estimators {
    pub(crate) latency: LatencyModel,
    pub(crate) traffic: TrafficRates,
    slow_start: SlowStart,
    size_kind: SizeKind,
    hardware_models: u32,
    zone_preference: ZonePreference,
}

/// Preference of this instance for servers in its own zone.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ZonePreference {
    own_zone: u32,
    cross_zone_price: f64,
}

impl ZonePreference {
    /// Creates the zone preference of an instance from its settings.
    pub(crate) fn new(settings: &Settings) -> Self {
        ZonePreference { own_zone: settings.zone, cross_zone_price: settings.prices.cross_zone }
    }

    /// Returns the divisor of the speed of servers in a zone, which is 1 for the own zone.
    pub(crate) fn speed_divisor(self, zone: u32) -> f64 {
        if zone == self.own_zone {
            1.0
        } else {
            1.0 + self.cross_zone_price / CROSS_ZONE_HALF_SPEED_PRICE
        }
    }
}

impl Estimators {
    /// Creates the estimators of an instance that starts at `now`.
    pub(crate) fn new(settings: &Settings, now: Nanos) -> Self {
        Estimators {
            latency: LatencyModel::new(settings),
            traffic: TrafficRates::new(now),
            slow_start: SlowStart::new(settings),
            size_kind: settings.size_kind,
            hardware_models: settings.hardware_models,
            zone_preference: ZonePreference::new(settings),
        }
    }

    /// Returns a server's hardware model as an index into the latency model. Numbers out of range
    /// give the last model.
    pub(crate) fn hardware_model(&self, server: &ServerState) -> usize {
        let last = self.hardware_models.max(1) - 1;
        server.listed.hardware_model.min(last) as usize
    }

    /// Returns the speed of a server over all classes, in units of listed size.
    pub(crate) fn speed(&self, now: Nanos, server: &ServerState) -> f64 {
        let failures = server.health.recent_failures(now);
        let zone_divisor = self.zone_preference.speed_divisor(server.listed.zone);
        let log_slowdown = SPEED_EXPONENT * self.latency.mean_log_ratio(now, &server.latency);
        let factor = (-log_slowdown).exp().clamp(MIN_SPEED_FACTOR, MAX_SPEED_FACTOR);
        let size = server.listed.size.max(MIN_SIZE);
        size * self.capacity_fraction(now, server) * factor / zone_divisor / (1.0 + failures)
    }

    /// Returns the speed of a server for a class: its general speed, adjusted by how its hardware
    /// model performs for this class compared with all classes.
    pub(crate) fn speed_for(&self, now: Nanos, class: ClassId, server: &ServerState) -> f64 {
        let model = self.hardware_model(server);
        let offset = self.latency.model_offset(class, model);
        let log_suitability = match self.size_kind {
            // Compared with the mean over all classes, slow models would get as much load as fast
            // ones, since no listed size distinguishes them.
            SizeKind::Uniform => -MODEL_SPEED_EXPONENT * offset,
            _ => self.latency.mean_model_offset(model) - offset,
        };
        self.speed(now, server) * log_suitability.exp()
    }

    /// Returns the expected latency, in nanoseconds, of a request of known work at a server.
    /// Returns `None` if the work or the typical latency for the work is unknown.
    pub(crate) fn expected_latency(
        &self,
        now: Nanos,
        server: &ServerState,
        request: &Request,
    ) -> Option<f64> {
        let model = self.hardware_model(server);
        let expected = self.latency.latency_for_work(request.class, request.log_work, model)?;
        Some(expected * self.latency.mean_log_ratio(now, &server.latency).exp())
    }

    /// Returns the capacity of all servers in service, in units of listed size.
    pub(crate) fn total_capacity(&self, now: Nanos, servers: &ServerTable) -> f64 {
        let totals = servers.capacity();
        let progress = totals.warming_progress(now);
        let warming = self.slow_start.warming_capacity(totals.warming_size(), progress);
        (totals.warm_size() + warming).max(MIN_TOTAL_CAPACITY)
    }

    /// Returns the rate of requests, per second and unit of capacity, that servers serve for this
    /// instance.
    pub(crate) fn served_per_capacity(&self, now: Nanos, servers: &ServerTable) -> f64 {
        self.traffic.served_per_capacity(now, self.total_capacity(now, servers))
    }

    /// Returns whether a request may be sent to a server: the server is in service and, while it is
    /// warming up, has warm-up credit left. Every send is checked by this function.
    pub(crate) fn may_send(
        &self,
        now: Nanos,
        servers: &mut ServerTable,
        index: ServerIndex,
    ) -> bool {
        let server = &servers[index];
        if !server.is_live() {
            return false;
        }
        let capacity_fraction = self.capacity_fraction(now, server);
        if capacity_fraction >= 1.0 {
            return true;
        }
        let warm_rate = self.served_per_capacity(now, servers) * server.listed.size;
        self.slow_start.may_send(
            &mut servers[index].warm_up_credit,
            capacity_fraction,
            warm_rate,
            now,
        )
    }

    /// Returns the minimum fraction of its full capacity that a server has now.
    fn capacity_fraction(&self, now: Nanos, server: &ServerState) -> f64 {
        self.slow_start.capacity_fraction(server.started_at, now)
    }
}
