//! Parses the settings of attempts, which the file's defaults, classes and routes can set.

use super::clusters::{MAX_ATTEMPTS, MAX_CONNECT_TIMEOUT};
use super::error::FieldError;
use super::parsed::ParsedAttempts;
use super::reader::Located;
use super::table::Table;
use super::value::{ms, parse_duration, MAX_DURATION};
use crate::model::{AttemptSettings, HedgeSetting};
use mintshelf_retry::policy::{HedgeDelay, HedgePolicy};
use mintshelf_retry::schedule::{AttemptTimeout, Backoff, DedupGroup, RetryOn};
use mintshelf_time::from_duration;

/// Upper bound of hedges as a fraction of requests, so that hedges never double the load.
const MAX_HEDGE_SHARE: f64 = 0.5;
const DEFAULT_HEDGE_SHARE: f64 = 0.05;
/// Upper bound of the number of client retries that schedules are checked with.
const MAX_CLIENT_RETRIES: u32 = 100;
/// The default maximum backoff as a multiple of the first backoff.
const DEFAULT_BACKOFF_GROWTH: u32 = 8;

/// Parses the settings of attempts in a table. Settings that the table does not set are inherited.
pub fn parse(table: &Table, inherited: &ParsedAttempts) -> ParsedAttempts {
    let ParsedAttempts { settings: inherited, mut locations } = inherited.clone();
    let max_attempts = table.optional_integer("max-attempts", 1, 1..=MAX_ATTEMPTS);
    let client_retries = table.optional_integer("client-retries", 0, 0..=MAX_CLIENT_RETRIES);
    let connect_timeout = table.optional_duration("connect-timeout", ms(1)..=MAX_CONNECT_TIMEOUT);
    let idle_timeout = table.optional_duration("idle-timeout", ms(0)..=MAX_DURATION);
    let settings = AttemptSettings {
        attempt_timeout: locations
            .record("per-try-timeout", attempt_timeout(table))
            .or(inherited.attempt_timeout),
        max_attempts: locations.record("max-attempts", max_attempts).or(inherited.max_attempts),
        backoff: locations.record("backoff", backoff(table)).or(inherited.backoff),
        retry_on: locations.record("retry-on", retry_on(table)).or(inherited.retry_on),
        hedge: locations.record("hedge", hedge(table)).or(inherited.hedge),
        client_retries: locations
            .record("client-retries", client_retries)
            .or(inherited.client_retries),
        dedup_group: locations.record("dedup-group", dedup_group(table)).or(inherited.dedup_group),
        connect_timeout: locations
            .record("connect-timeout", connect_timeout)
            .or(inherited.connect_timeout),
        idle_timeout: locations.record("idle-timeout", idle_timeout).or(inherited.idle_timeout),
    };
    ParsedAttempts { settings, locations }
}

fn attempt_timeout(table: &Table) -> Option<Located<AttemptTimeout>> {
    let remedy = "write a duration as in \"400ms\", \"adaptive\" or \"none\"";
    table.parsed("per-try-timeout", remedy, parse_attempt_timeout)
}

fn parse_attempt_timeout(text: &str) -> Result<AttemptTimeout, FieldError> {
    match text {
        "adaptive" => Ok(AttemptTimeout::Adaptive),
        "none" => Ok(AttemptTimeout::Deadline),
        duration => {
            let timeout = parse_duration(duration, &(ms(1)..=MAX_DURATION))?;
            Ok(AttemptTimeout::Fixed(from_duration(timeout)))
        }
    }
}

fn retry_on(table: &Table) -> Option<Located<RetryOn>> {
    let remedy = "write \"never-ran\" or \"may-have-run\"";
    table.parsed("retry-on", remedy, |text| match text {
        "never-ran" => Ok(RetryOn::NeverRan),
        "may-have-run" => Ok(RetryOn::MayHaveRun),
        _ => Err(FieldError::NotA("a condition for retries")),
    })
}

fn dedup_group(table: &Table) -> Option<Located<DedupGroup>> {
    let remedy = "write \"cluster\" or \"zone\"";
    table.parsed("dedup-group", remedy, |text| match text {
        "cluster" => Ok(DedupGroup::Cluster),
        "zone" => Ok(DedupGroup::Zone),
        _ => Err(FieldError::NotA("a dedup group")),
    })
}

fn backoff(table: &Table) -> Option<Located<Backoff>> {
    let table = table.table("backoff")?;
    let initial = table.duration("first", ms(0), ms(0)..=MAX_DURATION);
    let default_max = initial.value.saturating_mul(DEFAULT_BACKOFF_GROWTH).min(MAX_DURATION);
    let max = table.duration("most", default_max, ms(0)..=MAX_DURATION);
    if max.value < initial.value {
        let message = "the maximum backoff is shorter than the first";
        table.reader.report(&max.location, message, "make most at least as long as first");
    }
    let location = table.location.clone();
    table.finish();
    let value = Backoff { initial: from_duration(initial.value), max: from_duration(max.value) };
    Some(Located { value, location })
}

fn parse_hedge_delay(text: &str) -> Result<HedgeDelay, FieldError> {
    if text == "p95" {
        return Ok(HedgeDelay::P95);
    }
    let delay = parse_duration(text, &(ms(1)..=MAX_DURATION))?;
    Ok(HedgeDelay::Fixed(from_duration(delay)))
}

fn hedge(table: &Table) -> Option<Located<HedgeSetting>> {
    const NO_DELAY: &str = "does not set when a hedge is sent";
    if let Some(flag) = table.flag_if_boolean("hedge") {
        if flag.value {
            let remedy = "write hedge = { after = \"p95\" } or hedge = false";
            table.reader.report(&flag.location, NO_DELAY, remedy);
        }
        return Some(flag.map(|_| HedgeSetting::Off));
    }
    let table = table.table("hedge")?;
    let remedy = "write a duration as in \"30ms\", or \"p95\"";
    let delay = table.parsed("after", remedy, parse_hedge_delay);
    if !table.has("after") {
        table.reader.report(&table.location, NO_DELAY, remedy);
    }
    let policy = HedgePolicy {
        delay: delay.map_or(HedgeDelay::P95, |delay| delay.value),
        max_share: table.number("share", DEFAULT_HEDGE_SHARE, 0.0..=MAX_HEDGE_SHARE).value,
    };
    let location = table.location.clone();
    table.finish();
    Some(Located { value: HedgeSetting::On(policy), location })
}
