//! Begins and ends the exchanges of a client connection, and decides whether the connection serves
//! another one.

use super::connection::{Client, Phase};
use super::exchange::Exchange;
use super::handler::ResponseBody;
use super::request_body::ClientBody;
use crate::headers::{close_connection, closes_connection};
use hyper::body::{Body, Incoming};
use hyper::{Request, Response, StatusCode};
use std::rc::Rc;
use tokio::time::Instant;

impl Client {
    /// Begins the exchange of a request that the HTTP library has delivered, and returns the request
    /// for its handler. A pipelined request had arrived while the connection was busy.
    pub(super) fn begin_request(
        self: &Rc<Self>,
        request: Request<Incoming>,
    ) -> Request<ClientBody> {
        if self.phase.get() == Phase::Discarding {
            // The HTTP library has read the last body to its end, or there would be no next request.
            self.end_exchange();
        }
        if self.phase.get() == Phase::Idle {
            self.enter(Phase::Receiving);
        }
        let exchange = Rc::new(Exchange::begin(&request));
        self.exchange.replace(exchange.clone());
        request.map(|body| ClientBody::new(body, exchange, self.clone()))
    }

    /// Returns the current exchange.
    pub(super) fn exchange(&self) -> Rc<Exchange> {
        self.exchange.borrow().clone()
    }

    /// Decides whether the connection is closed behind a response that is about to be written, and
    /// states it in the response. This is the only place that decides what becomes of a request body
    /// that has not been read.
    pub(super) fn decide_close(&self, response: &mut Response<ResponseBody>, is_draining: bool) {
        let exchange = self.exchange();
        let is_upgrade = response.status() == StatusCode::SWITCHING_PROTOCOLS;
        if closes_connection(response.headers()) {
            // The handler does not trust what follows the request.
            exchange.close_behind_response();
        } else if exchange.is_body_undecided() {
            exchange.dispose_of_body(!self.is_in_body(), self.memory.is_low());
        }
        let closes =
            is_draining || self.closes_after_response() || exchange.closes_behind_response();
        if closes && !is_upgrade {
            close_connection(response.headers_mut());
        }
    }

    /// Records that a response begins to be written.
    pub(super) fn begin_response(&self, response: &Response<ResponseBody>) {
        self.memory.count_response(response);
        self.exchange().begin_response(response.body().size_hint().exact().is_some());
        self.enter(Phase::Busy);
        self.responding_since.set(Some(Instant::now()));
    }

    /// Records that the response has been written. The exchange lasts until its body is read.
    pub(super) fn finish_response(&self) {
        self.responding_since.set(None);
        let exchange = self.exchange();
        exchange.finish_response();
        if exchange.awaits_body_end() {
            self.enter(Phase::Discarding);
        } else {
            self.end_exchange();
        }
    }

    /// Ends an exchange whose body has been read to its end, if its response is written too.
    pub(super) fn end_exchange_behind_body(&self, exchange: &Rc<Exchange>) {
        let is_current = Rc::ptr_eq(&self.exchange.borrow(), exchange);
        if is_current && self.phase.get() == Phase::Discarding {
            self.end_exchange();
            if self.holds_idle_buffers() {
                // The HTTP library has read the end of the body already, and may not be polled again.
                self.buffers_wanted.notify_one();
            }
        }
    }

    fn end_exchange(&self) {
        // The beginning of the next request may have been read together with the last one.
        let is_in_head = self.scanner.borrow().is_in_head();
        self.enter(if is_in_head { Phase::Receiving } else { Phase::Idle });
        self.memory.end_exchange();
    }
}
