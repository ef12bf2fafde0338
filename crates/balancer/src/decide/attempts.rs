//! A request from arrival to end: sends, retries, refusals, and what is legal.

use super::*;

/// A request without a server is looked at again after this.
pub const HOLD_STEP: Nanos = 40 * MS;
/// Longest hold, as a fraction of the class's aim.
pub const HOLD_SHARE: f64 = 0.5;
/// An attempt is overdue, and counts as congested, past this fraction of its aim.
const CONGESTED_AT: f64 = 0.6;
/// Nor before this many times what its known work usually takes; nor what the
/// class usually takes on that kind, there up to the aim. 1.5 is within its spread.
const OVERDUE_AT: f64 = 2.0;
/// Weight of an attempt in the usual share of failures, and such a share that lets each count.
const USUAL_FAILS_GAIN: f64 = 0.005;
const RARE_FAILS: f64 = 0.01;
/// What a "queue full" answer counts as, of a congested attempt.
const FULL_COUNTS: f64 = 0.3;

impl Balancer {
    pub(super) fn on_request(&mut self, now: Nanos, id: RequestId, request: Request, out: Out<'_>) {
        let (class, tenant) = (request.class, request.tenant);
        if class >= self.set.classes.len() || self.requests.contains_key(&id) {
            return;
        }
        if !request.repeat {
            self.arrivals.add(now, RATE_HALF_LIFE, 1.0);
        }
        self.retries.earn();
        self.count_mix(now, class, tenant);
        self.tell_peer(now, out);
        self.fade_level(now);
        let hopeless = self.hopeless(now, &request);
        self.requests.insert(id.clone(), request);
        let chance = self.refuse_chance(now, class, tenant);
        if hopeless || self.rng.draw() < chance {
            self.end(now, &id, out)
        } else {
            self.advance(now, &id, out)
        }
    }

    /// What is legal for a request now. Every send, refusal and failure asks here.
    pub(super) fn legal(&self, now: Nanos, request: &Request) -> Legal {
        let class = &self.set.classes[request.class];
        let nothing = Legal { send: false, group_of: None, refuse: false };
        if request.finished || request.streaming {
            return nothing;
        }
        let room = request.attempts.len() < class.max_attempts.min(self.set.max_attempts) as usize
            && now < request.deadline
            && (self.set.allows_parallel_attempts || !request.attempts.iter().any(Attempt::out));
        let first = request.attempts.iter().find(|a| a.may_have_run());
        match (class.effect, first) {
            (Effect::Safe, _) | (_, None) => Legal { send: room, group_of: None, refuse: true },
            (Effect::Unsafe, Some(_)) => nothing,
            (Effect::Idempotent, Some(first)) => {
                // Danger: a resend that arrives after the memory has gone would run twice.
                let until = (first.sent + class.dedup_window).saturating_sub(self.set.tick);
                let refuse = class.group == Group::All && now < until;
                Legal { send: room && now < until, group_of: Some(first.server), refuse }
            }
        }
    }

    /// Sends a request if it can go somewhere, else holds or ends it.
    pub(super) fn advance(&mut self, now: Nanos, id: &RequestId, out: Out<'_>) {
        let Some(request) = self.requests.get(id) else { return };
        let settled = request.finished || request.streaming || request.pair.is_some();
        if settled || request.attempts.iter().any(Attempt::out) || self.try_send(now, id, out) {
            return;
        }
        let request = &self.requests[id];
        let hold = (self.set.classes[request.class].latency_objective as f64 * HOLD_SHARE) as Nanos;
        let until = (request.arrived + hold).min(request.deadline.saturating_sub(HOLD_STEP));
        if self.legal(now, request).send && now < until {
            // No server now: wait a little, with an end, for a list or for credit.
            self.wake(HOLD_STEP, id, Wake::Held(id.clone()), out);
        } else {
            self.end(now, id, out);
        }
    }

    fn try_send(&mut self, now: Nanos, id: &RequestId, out: Out<'_>) -> bool {
        let Some(request) = self.requests.remove(id) else { return false };
        let legal = self.legal(now, &request);
        let drawn = if legal.send { self.draw_for(now, &request, legal) } else { None };
        self.requests.insert(id.clone(), request);
        let s = match drawn {
            None => return false,
            Some(Candidates::One(s)) => s,
            Some(Candidates::AdjacentPair(pair)) if self.asks_first() => {
                self.requests.entry(id.clone()).and_modify(|r| r.pair = Some(pair));
                for s in pair.servers {
                    self.ask(now, s, out);
                }
                let left = self.requests[id].deadline.saturating_sub(now);
                let wait = (health::REPORT_TICKS * self.set.tick).min(left);
                self.wake(wait, id, Wake::Reports(id.clone()), out);
                self.settle(now, id, false, out);
                return true;
            }
            Some(Candidates::AdjacentPair(pair)) => {
                let queues = self.queues(now, &pair);
                pair.join(|| self.rng.draw(), queues)
            }
        };
        self.send(now, id, s, out);
        true
    }

    pub(super) fn send(&mut self, now: Nanos, id: &RequestId, s: usize, out: Out<'_>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        let (class, attempt, deadline) = (request.class, request.attempts.len(), request.deadline);
        let server = &mut self.servers[s];
        server.in_flight += 1;
        server.report_queue += 1.0;
        server.cold_credit -= 1.0;
        let server_id = server.listed.id;
        request.attempts.push(Attempt { server: server_id, sent: now, ..Attempt::default() });
        out.push(Action::Send { id: id.clone(), server: server_id, timeout_at: deadline });
        // Danger: known long work is slow without a queue; as congestion it had others refused.
        let latency_objective = self.set.classes[class].latency_objective as f64;
        let usual = self.typical_of(class) * self.kind_offset[class][self.kind_of(s)].exp();
        let known = self.usual(s, &self.requests[id]) * OVERDUE_AT;
        let after = (latency_objective * CONGESTED_AT)
            .max(known)
            .max((usual * OVERDUE_AT).min(latency_objective)) as Nanos;
        if now + after < deadline {
            self.wake(after, id, Wake::Overdue(id.clone(), attempt), out);
        }
    }

    /// Ends a request that this instance still owes an answer.
    pub(super) fn end(&mut self, now: Nanos, id: &RequestId, out: Out<'_>) {
        let Some(request) = self.requests.get(id).filter(|r| !r.finished) else { return };
        // In overload a repeat that comes at once meets the same queue.
        let loaded = self.set.retry_after && self.refuse_level > admission::ADMIT_DEADBAND;
        let retry_after = u64::from(loaded) * self.set.max_retry_after;
        // Danger: who is told to come back when the window is over would have it run twice.
        out.push(if self.legal(now + retry_after, request).refuse {
            Action::Reject { id: id.clone(), retry_after }
        } else {
            Action::Fail { id: id.clone() }
        });
        self.close(id, out);
    }

    fn wake(&mut self, after: Nanos, id: &RequestId, what: Wake, out: Out<'_>) {
        let token = self.wakes.set(after, what, out);
        self.requests.entry(id.clone()).and_modify(|request| request.wakes.push(token));
    }

    /// Marks a request finished; its record stays while attempts are out.
    pub(super) fn close(&mut self, id: &RequestId, out: Out<'_>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.finished = true;
        if !request.attempts.iter().any(Attempt::out) {
            let wakes = std::mem::take(&mut request.wakes);
            wakes.into_iter().for_each(|token| self.wakes.drop(token, out));
            self.requests.remove(id);
        }
    }

    pub(super) fn on_ended(
        &mut self,
        now: Nanos,
        id: RequestId,
        at: usize,
        end: End,
        out: Out<'_>,
    ) {
        let (outcome, finished, took) = end;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (class, cost) = (request.class, request.cost);
        let Some(record) = request.attempts.get_mut(at).filter(|a| a.out()) else { return };
        record.outcome = Some(outcome);
        let (overdue, sent, mut silent) = (record.overdue, record.sent, false);
        let over = finished || request.finished;
        if let Some(&s) = self.index.get(&record.server) {
            silent = self.silent(now, s, sent);
            let server = &mut self.servers[s];
            server.in_flight = server.in_flight.saturating_sub(1);
            server.overdue = server.overdue.saturating_sub(u32::from(overdue));
            server.heard = if outcome.answered() { now } else { server.heard };
            self.line_stale |= overdue;
            // Danger: where all fail now and then, chance alone makes rows of failures.
            let failed = f64::from(u8::from(outcome.failed()));
            self.usual_fails += USUAL_FAILS_GAIN * (failed - self.usual_fails);
            let counts = self.usual_fails.log(RARE_FAILS).clamp(0.0, 1.0);
            match outcome {
                Outcome::Ok => {
                    server.answered = server.answered.max(sent);
                    self.learn(now, s, (class, cost, took), true);
                    self.record_success(s);
                    self.served.add(now, RATE_HALF_LIFE, 1.0);
                    let unit = f64::from(!self.servers[s].leaving()) / self.capacity(now);
                    self.served_by_unit.add(now, RATE_HALF_LIFE, unit);
                }
                Outcome::TimedOut => {
                    self.learn(now, s, (class, cost, took), false);
                    self.record_failure(now, s, 0.5);
                }
                Outcome::Cancelled => self.learn(now, s, (class, cost, took), false),
                o if o.failed() => self.record_failure(now, s, counts),
                _ => {}
            }
        }
        match outcome {
            Outcome::Ok if !overdue => self.note_congestion(now, 0.0),
            Outcome::TimedOut if !overdue && !silent => self.note_congestion(now, 1.0),
            Outcome::Full => self.note_congestion(now, FULL_COUNTS),
            // Overdue ones have counted already; failures are no sign of load.
            _ => {}
        }
        if over {
            return self.close(&id, out);
        }
        // Never-run attempts go elsewhere at once; the rest asks the retry budget.
        let price = f64::from(u8::from(!outcome.never_ran()));
        // Danger: sent on, an unfit request would have every server turn it away; one whose
        // stream broke can't be sent on, and would never end.
        let again = outcome != Outcome::Rejected && !self.requests[&id].streaming;
        if again && self.retries.pay(price) {
            match self.backoff(now, &id) {
                0 => self.advance(now, &id, out),
                after => self.wake(after, &id, Wake::Held(id.clone()), out),
            }
        } else if !self.requests[&id].attempts.iter().any(Attempt::out) {
            self.end(now, &id, out);
        }
    }

    /// Silence counts against the server, and as congestion, before any
    /// time-out. Danger: a time-out may come seconds after the jam began.
    pub(super) fn on_overdue(&mut self, now: Nanos, id: RequestId, attempt: usize) {
        // An answer that has begun is no silence.
        let Some(request) = self.requests.get_mut(&id).filter(|r| !r.streaming) else { return };
        let Some(record) = request.attempts.get_mut(attempt).filter(|a| a.out()) else { return };
        self.line_stale = true;
        let Some(&s) = self.index.get(&record.server) else { return };
        let (server, class, sent) = (&mut self.servers[s], request.class, record.sent);
        // Danger: a fault of one class would take the server from all. If what was sent later
        // is answered, it is no queue; a lone heavy request costs the class for a while.
        if server.answered > record.sent + self.set.classes[class].latency_objective / 4 {
            server.stuck.resize(self.set.classes.len(), 0);
            server.stuck[class] = now + health::EJECT_BASE;
            return;
        }
        (record.overdue, server.overdue) = (true, server.overdue + 1);
        if !self.silent(now, s, sent) {
            self.note_congestion(now, 1.0);
        }
    }

    /// Silent for half of an attempt while others end: stuck; a jammed one answers what came before.
    fn silent(&self, now: Nanos, s: usize, sent: Nanos) -> bool {
        let half = now - now.saturating_sub(sent) / 2;
        self.set.is_silence_local && self.servers[s].heard < half && self.ended_at > half
    }

    /// Full jitter under a doubling bound, so that those who failed together part; none
    /// where it might outlast the request.
    fn backoff(&mut self, now: Nanos, id: &RequestId) -> Nanos {
        let Some(r) = self.requests.get(id) else { return 0 };
        let bound = self.set.classes[r.class].backoff.bound(r.attempts.len());
        let part = if bound > 0 && now + bound < r.deadline { self.rng.draw() } else { 0.0 };
        (part * bound as f64) as Nanos
    }

    /// A second copy beside a first that is slow, where that is allowed and paid for.
    pub(super) fn on_second_copy(&mut self, now: Nanos, id: &RequestId, out: Out<'_>) {
        let Some(request) = self.requests.get(id).filter(|r| r.has_one_out()) else { return };
        let safe = self.set.classes[request.class].effect == Effect::Safe;
        if safe && self.retries.covers(1.0) && self.try_send(now, id, out) {
            self.retries.pay(1.0);
        }
    }
}
