//! Parses the headers of a platform request for the decision module.

use super::rejection::RejectedRequest;
use crate::cluster::request::RequestMetadata;
use crate::headers::{cookie_pairs, text};
use crate::platform_protocol::{
    CLASS, COST_ESTIMATE_US, KEY_COOKIE_PREFIX, LABELS, REMAINING_MS, RETRY, TENANT, TRANSACTION_ID,
};
use hyper::header::{HeaderMap, HeaderName};
use mintshelf_balancer::api::{ClassId, Settings, TenantId};
use mintshelf_config::platform::Names;
use mintshelf_time::{as_float, from_float, Nanos, MICROSECOND, MILLISECOND};
use std::str::FromStr;

/// Reads the metadata of a request that the decision module needs.
///
/// # Errors
/// The rejection, if a required header is missing or a header is malformed.
pub(super) fn read_metadata(
    headers: &HeaderMap,
    settings: &Settings,
    names: &Names,
) -> Result<RequestMetadata, RejectedRequest> {
    if text(headers, &TRANSACTION_ID).is_none_or(str::is_empty) {
        return Err(missing_transaction_id());
    }
    let class = position_of(headers, &CLASS, &names.classes);
    let class = class.ok_or(RejectedRequest::bad_request("X-Lane is not a class\n"))?;
    let tenant = match position_of(headers, &TENANT, &names.tenants) {
        Some(tenant) => tenant,
        None if names.tenants.is_empty() => 0,
        None => return Err(RejectedRequest::bad_request("X-Org is not a tenant\n")),
    };
    let client_timeout = read_client_timeout(headers, settings.classes[class].deadline)?;
    let cost_estimate = read_cost_estimate(headers)?;
    check_labels(headers)?;
    let key = cookie_pairs(headers).find_map(|pair| pair.strip_prefix(KEY_COOKIE_PREFIX));
    Ok(RequestMetadata {
        class: ClassId::from_index(class),
        tenant: TenantId::from_index(tenant),
        key: key.and_then(|key| u64::from_str_radix(key, 16).ok()),
        cost_estimate,
        is_repeat: text(headers, &RETRY) == Some("1"),
        client_timeout,
    })
}

pub(super) fn missing_transaction_id() -> RejectedRequest {
    RejectedRequest::bad_request("X-Txn is missing\n")
}

/// Returns the index of a header's value in `names`. Compares bytes, as names are not limited to
/// ASCII.
fn position_of(headers: &HeaderMap, header: &HeaderName, names: &[String]) -> Option<usize> {
    let value = headers.get(header)?.as_bytes().trim_ascii();
    names.iter().position(|name| name.as_bytes() == value)
}

/// Reads how long the client waits, in nanoseconds, limited to the deadline of its class.
fn read_client_timeout(headers: &HeaderMap, deadline: Nanos) -> Result<Nanos, RejectedRequest> {
    let remaining_ms = read_number::<u64>(headers, &REMAINING_MS).map_err(|MalformedNumber| {
        RejectedRequest::bad_request("X-Remaining-Ms is not a number\n")
    })?;
    Ok(remaining_ms.map_or(deadline, |ms| ms.saturating_mul(MILLISECOND).min(deadline)))
}

/// Reads the expected processing time in nanoseconds, if the client states one above 0.
fn read_cost_estimate(headers: &HeaderMap) -> Result<Option<Nanos>, RejectedRequest> {
    let cost_us = read_number::<f64>(headers, &COST_ESTIMATE_US)
        .map_err(|MalformedNumber| RejectedRequest::bad_request("X-Estimate is not a number\n"))?;
    let cost_estimate = cost_us.map(|cost_us| from_float(cost_us * as_float(MICROSECOND)));
    Ok(cost_estimate.filter(|cost| *cost > 0))
}

/// Validates the labels, `name=number, ...`, which are not used otherwise.
fn check_labels(headers: &HeaderMap) -> Result<(), RejectedRequest> {
    let labels = text(headers, &LABELS).unwrap_or_default();
    let mut labels = labels.split(',').filter(|label| !label.trim().is_empty());
    let is_number = |value: &str| value.trim().parse::<f64>().is_ok();
    if labels.all(|label| label.split_once('=').is_some_and(|(_, value)| is_number(value))) {
        Ok(())
    } else {
        Err(RejectedRequest::bad_request("X-Labels are not figures\n"))
    }
}

struct MalformedNumber;

/// Parses a numeric header, if it is present.
fn read_number<T: FromStr>(
    headers: &HeaderMap,
    name: &HeaderName,
) -> Result<Option<T>, MalformedNumber> {
    if !headers.contains_key(name) {
        return Ok(None);
    }
    let number = text(headers, name).and_then(|value| value.parse().ok());
    number.map(Some).ok_or(MalformedNumber)
}
