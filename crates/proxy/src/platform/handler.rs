//! The platform's protocol in front of the decision module.

use crate::budget::ResourceBudget;
use crate::client::connection::{Client, Phase};
use crate::client::listener::{RequestHandler, ResponseBody};
use crate::clock::nanos;
use crate::cluster::runtime::{ClusterRuntime, RequestMetadata, RequestOutcome, UpstreamRequest};
use crate::headers::{strip_hop_by_hop, text, BufferedBody, BODY_MAX, HEADERS_MAX};
use crate::upstream::request_body::RequestBody;
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Incoming};
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use mintshelf_balancer::api::{Nanos, Settings};
use mintshelf_config::platform::Names;
use mintshelf_retry::shutdown::ShutdownDeadlines;
use std::cell::Cell;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep_until, timeout};

/// Header with the id that a client gives a request.
const TXN: &str = "x-txn";
/// How long a body waits for room among the bodies held. Its sender is held
/// back meanwhile, and the client's time has not begun.
const ROOM_WAIT: Duration = Duration::from_secs(1);

/// A client that is refused at the planned end comes back after this: the next process has
/// started by then.
const RESTART_ADVICE: Nanos = 1_000_000_000;

/// Requests as the platform's application sends them.
pub struct PlatformHandler {
    driver: Rc<ClusterRuntime>,
    settings: Settings,
    names: Names,
    room: Arc<Semaphore>,
    ending: Cell<Option<ShutdownDeadlines>>,
}

impl PlatformHandler {
    /// In front of a driver.
    pub fn new(
        driver: Rc<ClusterRuntime>,
        settings: Settings,
        names: Names,
        limits: &ResourceBudget,
    ) -> Rc<Self> {
        let room = limits.bodies.clone();
        Rc::new(PlatformHandler { driver, settings, names, room, ending: Cell::new(None) })
    }

    /// Announces the planned end, of classes whose longest deadline is this; all that is taken
    /// gets its final answer in the time that is left. Back comes when that has happened.
    pub async fn end(&self, longest: Duration) {
        let clock = self.driver.clock();
        let ending = ShutdownDeadlines::new(clock.now(), nanos(longest));
        self.ending.set(Some(ending));
        sleep_until(clock.instant(ending.cut_at())).await;
        self.driver.give_up(self.restart_advice());
    }

    fn restart_advice(&self) -> Nanos {
        RESTART_ADVICE.min(self.settings.max_retry_after)
    }
}

impl RequestHandler for PlatformHandler {
    const HEADERS_MAX: Option<usize> = Some(HEADERS_MAX);

    async fn respond(
        self: Rc<Self>,
        client: Rc<Client>,
        request: Request<Incoming>,
        draining: bool,
    ) -> Response<ResponseBody> {
        let mut last = false;
        let mut headers = HeaderMap::new();
        let (status, body) = if request.uri().path() == "/-/ready" {
            match draining {
                false => (StatusCode::OK, Bytes::from_static(b"ready\n")),
                true => (StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"draining\n")),
            }
        } else {
            match self.take(&client, request).await {
                Ok(RequestOutcome::Served(answer)) => {
                    headers = answer.headers;
                    strip_hop_by_hop(&mut headers);
                    (StatusCode::OK, answer.body.whole())
                }
                Ok(RequestOutcome::Refused { after, .. } | RequestOutcome::Paced(after)) => {
                    let seconds = HeaderValue::from_str(&format!("{:.3}", after as f64 / 1e9));
                    if let Some(seconds) = seconds.ok().filter(|_| after > 0) {
                        headers.insert(header::RETRY_AFTER, seconds);
                    }
                    (StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"refused\n"))
                }
                Ok(RequestOutcome::Failed { .. }) => {
                    (StatusCode::BAD_GATEWAY, Bytes::from_static(b"failed\n"))
                }
                Err(unfit) => {
                    // What comes behind such a request cannot be trusted either.
                    last = true;
                    (unfit.status, Bytes::from_static(unfit.what.as_bytes()))
                }
            }
        };
        let mut response = Response::new(ResponseBody::whole(body));
        (*response.status_mut(), *response.headers_mut()) = (status, headers);
        if last {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

impl PlatformHandler {
    /// Reads a request whole and gets it its final answer.
    async fn take(
        self: &Rc<Self>,
        client: &Rc<Client>,
        request: Request<Incoming>,
    ) -> Result<RequestOutcome, RejectedRequest> {
        let bad = |what| RejectedRequest::new(StatusCode::BAD_REQUEST, what);
        let (mut head, mut body) = request.into_parts();
        if client.scan.borrow_mut().next_head().framed_twice() {
            return Err(bad("Content-Length and Transfer-Encoding\n"));
        }
        let mut arrival = self.arrival(&head.headers)?;
        let txn = head.headers.get(TXN).cloned().ok_or(bad("X-Txn is missing\n"))?;
        let (body, room) = self.hold(&mut body, arrival.patience).await?;
        client.enter(Phase::Busy);
        strip_hop_by_hop(&mut head.headers);
        head.version = hyper::Version::HTTP_11;
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        head.uri = path.parse().map_err(|_| bad("path\n"))?;
        if let Some(ending) = self.ending.get() {
            match ending.patience(self.driver.clock().now(), arrival.patience) {
                Some(patience) => arrival.patience = patience,
                None => {
                    return Ok(RequestOutcome::Refused {
                        after: self.restart_advice(),
                        ran_at: None,
                    })
                }
            }
        }
        let request = Request::from_parts(head, RequestBody::Buffered(body));
        let client = Some(client.clone());
        let message = UpstreamRequest { request, txn: Some(txn), _room: room, client };
        let reply = self.driver.serve(arrival, message).await;
        reply
            .ok_or(RejectedRequest::new(StatusCode::CONFLICT, "X-Txn is that of an open request\n"))
    }

    /// Reads what the module is told of a request.
    fn arrival(&self, headers: &HeaderMap) -> Result<RequestMetadata, RejectedRequest> {
        let bad = |what| RejectedRequest::new(StatusCode::BAD_REQUEST, what);
        // By its bytes: a name may be in any script.
        let number_of = |header: &str, of: &[String]| {
            let name = headers.get(header)?.as_bytes().trim_ascii();
            of.iter().position(|n| n.as_bytes() == name)
        };
        if text(headers, TXN).is_none_or(str::is_empty) {
            return Err(bad("X-Txn is missing\n"));
        }
        let class =
            number_of("x-lane", &self.names.classes).ok_or(bad("X-Lane is not a class\n"))?;
        let tenant = match number_of("x-org", &self.names.tenants) {
            Some(tenant) => tenant,
            None if self.names.tenants.is_empty() => 0,
            None => return Err(bad("X-Org is not a tenant\n")),
        };
        let deadline = self.settings.classes[class].deadline;
        let patience = match figure::<u64>(headers, "x-remaining-ms") {
            Ok(left) => left.map_or(deadline, |ms| ms.saturating_mul(1_000_000).min(deadline)),
            Err(()) => return Err(bad("X-Remaining-Ms is not a number\n")),
        };
        let cost_hint = figure::<f64>(headers, "x-estimate")
            .map_err(|()| bad("X-Estimate is not a number\n"))?
            .map(|micros| (micros * 1e3) as Nanos);
        let labels = text(headers, "x-labels").unwrap_or_default();
        let mut labels = labels.split(',').filter(|label| !label.trim().is_empty());
        if !labels.all(|label| {
            label.split_once('=').is_some_and(|(_, value)| value.trim().parse::<f64>().is_ok())
        }) {
            return Err(bad("X-Labels are not figures\n"));
        }
        let cookies = headers.get_all(header::COOKIE).iter().filter_map(|c| c.to_str().ok());
        let mut pairs = cookies.flat_map(|cookie| cookie.split(';'));
        let key = pairs.find_map(|pair| pair.trim().strip_prefix("obj="));
        Ok(RequestMetadata {
            class: class as u32,
            tenant: tenant as u32,
            key: key.and_then(|key| u64::from_str_radix(key, 16).ok()),
            cost_hint: cost_hint.filter(|cost| *cost > 0),
            repeat: text(headers, "x-resent") == Some("1"),
            patience,
        })
    }

    /// Reads a body, as far as there is room for it among those held while its client waits.
    async fn hold(
        &self,
        body: &mut Incoming,
        patience: Nanos,
    ) -> Result<(BufferedBody, Option<OwnedSemaphorePermit>), RejectedRequest> {
        let too_long = RejectedRequest::new(StatusCode::PAYLOAD_TOO_LARGE, "body is too long\n");
        if body.size_hint().lower() > BODY_MAX as u64 {
            return Err(too_long);
        }
        let room_wait = ROOM_WAIT.min(Duration::from_nanos(patience));
        let (mut held, mut room) = (BytesMut::new(), None::<OwnedSemaphorePermit>);
        while let Some(frame) = poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await {
            let frame =
                frame.map_err(|_| RejectedRequest::new(StatusCode::BAD_REQUEST, "body\n"))?;
            let Ok(data) = frame.into_data() else { continue };
            if held.len() + data.len() > BODY_MAX {
                return Err(too_long);
            }
            let more = self.room.clone().acquire_many_owned(data.len() as u32);
            let Ok(Ok(more)) = timeout(room_wait, more).await else {
                // Nothing has been sent for it: the client may try again.
                return Err(RejectedRequest::new(StatusCode::SERVICE_UNAVAILABLE, "no room\n"));
            };
            match &mut room {
                Some(room) => room.merge(more),
                None => room = Some(more),
            }
            held.extend_from_slice(&data);
        }
        Ok((BufferedBody::new(held.freeze()), room))
    }
}

/// Reads a header that holds a number, if it is there.
fn figure<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, ()> {
    match headers.get(name) {
        None => Ok(None),
        Some(_) => text(headers, name).and_then(|v| v.parse().ok()).map(Some).ok_or(()),
    }
}

/// Why a request goes no further.
#[derive(Debug)]
struct RejectedRequest {
    status: StatusCode,
    what: &'static str,
}

impl RejectedRequest {
    fn new(status: StatusCode, what: &'static str) -> Self {
        RejectedRequest { status, what }
    }
}
