//! Runs the event loop and simulates callers, the receiving hosts and targets.

use crate::attempt::{Attempt, Phase};
use crate::clock::Clock;
use crate::event::{Event, TargetResponse};
use crate::fleet::Fleet;
use crate::invariant_checker::InvariantChecker;
use crate::net::Net;
use crate::process::host_name;
use crate::{Experiment, RunSummary, Step};
use heatherhinge_claims::{ClaimResponse, Outcome, StoredResponse};
use heatherhinge_controllers::OwnershipEvent;
use heatherhinge_types::{Code, IdempotencyKey, WallMs};
use rand::{Rng, RngExt};

const FIRST_BOOKING_MS: u64 = 15_000;
const BOOKING_INTERVAL_MS: u64 = 50;
const CLAIM_TIMEOUT_MS: u64 = 500;
const TARGET_TIMEOUT_MS: u64 = 3_000;
const CALLER_TIMEOUT_MS: u64 = 5_000;
const LATE_SEND_DELAY_MS: u64 = 30_000;
/// Time after the last booking in which callers still resend.
const RESEND_PERIOD_MS: u64 = 60_000;
/// Timeouts of claim messages, or messages to hosts that are not the owner, after which an attempt
/// is rejected.
const MAX_CLAIM_MESSAGES: u32 = 2;

/// State of one run of the model.
#[derive(Debug)]
pub(crate) struct Simulation {
    experiment: Experiment,
    net: Net,
    fleet: Fleet,
    target_clock: Clock,
    attempts: Vec<Attempt>,
    /// Number of attempts of each booking.
    attempt_counts: Vec<usize>,
    checker: InvariantChecker,
}

impl Simulation {
    pub(crate) fn new(experiment: Experiment) -> Self {
        let mut net = Net::new(
            experiment.seed,
            experiment.faults,
            !experiment.script.is_empty(),
        );
        let target_clock = Clock::new(experiment.faults.clock_error_ms, &mut net.rng);
        let fleet = Fleet::new(experiment.clone(), &mut net);
        if experiment.script.is_empty() {
            net.schedule(FIRST_BOOKING_MS, Event::SecondStarted);
        }
        for (at_ms, step) in &experiment.script {
            net.schedule(*at_ms, Event::Scripted { step: *step });
        }
        Self {
            experiment,
            net,
            fleet,
            target_clock,
            attempts: Vec::new(),
            attempt_counts: Vec::new(),
            checker: InvariantChecker::default(),
        }
    }

    pub(crate) fn run(mut self) -> RunSummary {
        let bookings = u64::try_from(self.experiment.bookings).unwrap_or(u64::MAX);
        let script_ms = self.experiment.script.iter().map(|(at_ms, _)| *at_ms).max();
        let end_ms = script_ms
            .unwrap_or(FIRST_BOOKING_MS + bookings * BOOKING_INTERVAL_MS + RESEND_PERIOD_MS);
        while let Some((sequence, event)) = self.net.next() {
            if self.net.now_ms > end_ms {
                break;
            }
            let Some((host, run)) = event.required_process() else {
                self.handle(event);
                continue;
            };
            let paused_until_ms = self.fleet.paused_until_ms(host);
            if !self.fleet.is_running(host, run) {
                continue;
            }
            if paused_until_ms > self.net.now_ms {
                self.net.postpone(paused_until_ms, sequence, event);
            } else {
                self.handle(event);
            }
        }
        let transcript = self.net.transcript.unwrap_or_default();
        self.checker.finish(self.fleet.faults, transcript)
    }

    fn handle(&mut self, event: Event) {
        let (fleet, net) = (&mut self.fleet, &mut self.net);
        match event {
            Event::Tick { host, run } => fleet.tick(host, run, net),
            Event::StepController { host, event, .. } => fleet.step_controller(host, event, net),
            Event::StoreRead { host, run, id } => fleet.store_read(host, run, id, net),
            Event::StoreWrite {
                host,
                run,
                id,
                parts,
            } => {
                fleet.store_write((host, run, id), parts, net);
            }
            Event::LateWrite { parts } => fleet.late_write(parts),
            Event::Settle { host, settlement } => fleet.settle(host, settlement, net),
            Event::HandOver { host, handed } => fleet.take_over(host, handed, net),
            Event::Start { host } => fleet.start(host, net),
            Event::HealPartition => fleet.heal_partition(),
            Event::InjectFaults => {
                fleet.inject_faults(net);
                self.target_clock.step(&mut net.rng);
            }
            Event::RequestArrived { host, attempt } => self.handle_request(host, attempt),
            Event::SendClaim { attempt, .. } => self.send_claim(attempt),
            Event::Claim { host, attempt } => self.claim(host, attempt),
            Event::ClaimResponseArrived {
                attempt, response, ..
            } => self.handle_claim_response(attempt, response),
            Event::ClaimTimeout { attempt, .. } => self.claim_timeout(attempt),
            Event::Send {
                attempt, not_after, ..
            } => self.send_to_target(attempt, not_after),
            Event::TargetRequestArrived { attempt, not_after } => {
                self.handle_target_request(attempt, not_after)
            }
            Event::TargetResponseArrived {
                attempt, response, ..
            } => self.handle_target_response(attempt, response),
            Event::CallerResponseArrived { attempt, is_final } => {
                self.handle_caller_response(attempt, is_final)
            }
            Event::CallerTimeout { attempt } => self.resend(attempt),
            Event::SecondStarted => self.plan_second(),
            Event::Book => self.book(None),
            Event::Scripted { step } => self.run_step(step),
        }
    }

    /// Schedules the bookings and the faults of one second.
    fn plan_second(&mut self) {
        for number in 0..1_000 / BOOKING_INTERVAL_MS {
            self.net.schedule(number * BOOKING_INTERVAL_MS, Event::Book);
        }
        let delay_ms = self.net.rng.random_range(0..1_000);
        self.net.schedule(delay_ms, Event::InjectFaults);
        self.net.schedule(1_000, Event::SecondStarted);
    }

    fn run_step(&mut self, step: Step) {
        match step {
            Step::Book { via, partition } => self.book(Some((via, partition))),
            Step::Resend { booking, via } => {
                let first = self
                    .attempts
                    .iter()
                    .find(|attempt| attempt.booking == booking);
                if let Some(key) = first.map(|attempt| attempt.key) {
                    self.start_attempt(booking, key, via);
                }
            }
            Step::Kill { host } => self.fleet.kill(host, &mut self.net),
            Step::Wait => {}
        }
    }

    /// Sends an attempt of a booking through a host.
    fn start_attempt(&mut self, booking: usize, key: IdempotencyKey, host: usize) {
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            booking,
            key,
            host,
            run: 0,
            sender: host_name(host),
            sequence: u64::try_from(attempt).unwrap_or(u64::MAX),
            phase: Phase::Claiming,
            timeouts: 0,
            wrong_owners: 0,
            is_resent: false,
        });
        self.attempt_counts[booking] += 1;
        self.net.send(Event::RequestArrived { host, attempt });
        self.net
            .schedule(CALLER_TIMEOUT_MS, Event::CallerTimeout { attempt });
    }

    fn book(&mut self, scripted: Option<(usize, u8)>) {
        if self.experiment.script.is_empty()
            && self.attempt_counts.len() >= self.experiment.bookings
        {
            return;
        }
        let host = match scripted {
            Some((via, _)) => via,
            None => self.fleet.pick_host(&mut self.net),
        };
        let booking = self.checker.add_booking();
        self.attempt_counts.push(0);
        let clock = Clock::new(self.net.faults.clock_error_ms, &mut self.net.rng);
        let mut random = [0; 10];
        self.net.rng.fill_bytes(&mut random);
        if let Some((_, partition)) = scripted {
            random[9] = partition;
        }
        let key = IdempotencyKey::new(clock.read(self.net.now_ms).wall_ms, random);
        self.start_attempt(booking, key, host);
        if self.net.chance(self.net.faults.duplicated_permille) {
            // The caller sends the same booking through a second host at once.
            let host = self.fleet.pick_host(&mut self.net);
            self.start_attempt(booking, key, host);
        }
    }

    fn handle_caller_response(&mut self, attempt: usize, is_final: bool) {
        if is_final {
            self.checker.record_delivery(self.attempts[attempt].booking);
            return;
        }
        let delay_ms = self.net.rng.random_range(200..4_000);
        self.net
            .schedule(delay_ms, Event::CallerTimeout { attempt });
    }

    /// Sends a booking again through a random host, at most once for each attempt.
    fn resend(&mut self, attempt: usize) {
        let (booking, key) = (self.attempts[attempt].booking, self.attempts[attempt].key);
        let is_resent = std::mem::replace(&mut self.attempts[attempt].is_resent, true);
        let is_last = self.attempt_counts[booking] > self.experiment.resends;
        if is_resent
            || is_last
            || self.checker.is_answered(booking)
            || !self.experiment.script.is_empty()
        {
            return;
        }
        let host = self.fleet.pick_host(&mut self.net);
        self.start_attempt(booking, key, host);
    }

    fn handle_request(&mut self, host: usize, attempt: usize) {
        if let Some(process) = self.fleet.process(host) {
            self.attempts[attempt].run = process.run;
            self.send_claim(attempt);
        }
    }

    fn send_claim(&mut self, attempt: usize) {
        let Attempt { host, run, key, .. } = self.attempts[attempt];
        match self.fleet.owner(host, key) {
            None => self.reject(attempt, Code::NoOwner),
            Some(owner) if owner == host => self.claim(host, attempt),
            Some(owner) => {
                let event = Event::Claim {
                    host: owner,
                    attempt,
                };
                self.fleet.send(host, owner, event, &mut self.net);
                let event = Event::ClaimTimeout { host, run, attempt };
                self.net.schedule(CLAIM_TIMEOUT_MS, event);
            }
        }
    }

    fn claim(&mut self, owner: usize, attempt: usize) {
        let request = self.attempts[attempt].request();
        let Some(response) = self.fleet.claim(owner, &request, &self.net) else {
            return;
        };
        let Attempt {
            booking, host, run, ..
        } = self.attempts[attempt];
        self.net.trace(|| {
            format!("host{owner} answers a claim of host{host} for booking {booking}: {response:?}")
        });
        if owner == host {
            self.handle_claim_response(attempt, response);
        } else {
            let event = Event::ClaimResponseArrived {
                host,
                run,
                attempt,
                response,
            };
            self.fleet.send(owner, host, event, &mut self.net);
        }
    }

    fn claim_timeout(&mut self, attempt: usize) {
        if self.attempts[attempt].phase != Phase::Claiming {
            return;
        }
        self.attempts[attempt].timeouts += 1;
        if self.attempts[attempt].timeouts < MAX_CLAIM_MESSAGES {
            return self.send_claim(attempt);
        }
        self.settle(attempt, Outcome::NotRun);
        self.reject(attempt, Code::OwnerUnreachable);
    }

    fn handle_claim_response(&mut self, attempt: usize, response: ClaimResponse) {
        let Attempt {
            booking,
            host,
            run,
            phase,
            ..
        } = self.attempts[attempt];
        if phase != Phase::Claiming {
            return;
        }
        match response {
            ClaimResponse::Granted { not_after_wall_ms } => {
                self.handle_grant(attempt, not_after_wall_ms)
            }
            ClaimResponse::Completed(response) => {
                let number = response.body.try_into().map_or(0, u64::from_le_bytes);
                self.checker.record_response(booking, number, true);
                self.respond(attempt, true);
            }
            ClaimResponse::Refused { code } => {
                self.reject(
                    attempt,
                    Code::from_number(code).unwrap_or(Code::PeerMalformed),
                );
            }
            ClaimResponse::NotOwner => {
                self.attempts[attempt].wrong_owners += 1;
                if self.attempts[attempt].wrong_owners >= MAX_CLAIM_MESSAGES {
                    return self.reject(attempt, Code::NoOwner);
                }
                self.fleet
                    .step_controller(host, OwnershipEvent::StaleOwnerReported, &mut self.net);
                self.net
                    .schedule(50, Event::SendClaim { host, run, attempt });
            }
        }
    }

    fn handle_grant(&mut self, attempt: usize, not_after: WallMs) {
        let Attempt {
            booking, host, run, ..
        } = self.attempts[attempt];
        self.attempts[attempt].phase = Phase::Sending;
        let now = self.fleet.now(host, &self.net);
        if self.experiment.rules.not_after && now.wall_ms >= not_after {
            self.settle(attempt, Outcome::NotRun);
            return self.reject(attempt, Code::LeaseEnded);
        }
        let is_first = self.attempt_counts[booking] == 1;
        if is_first && self.net.chance(self.net.faults.pause_before_send_permille) {
            self.fleet.pause(host, &self.net);
        }
        let is_late = is_first && self.net.chance(self.net.faults.late_send_permille);
        let delay_ms = if is_late { LATE_SEND_DELAY_MS } else { 0 };
        self.net.schedule(
            delay_ms,
            Event::Send {
                host,
                run,
                attempt,
                not_after,
            },
        );
    }

    fn send_to_target(&mut self, attempt: usize, not_after: WallMs) {
        let Attempt { host, run, .. } = self.attempts[attempt];
        self.net
            .send(Event::TargetRequestArrived { attempt, not_after });
        let response = TargetResponse::NoResponse;
        let event = Event::TargetResponseArrived {
            host,
            run,
            attempt,
            response,
        };
        self.net.schedule(TARGET_TIMEOUT_MS, event);
    }

    fn handle_target_request(&mut self, attempt: usize, not_after: WallMs) {
        let Attempt {
            booking, host, run, ..
        } = self.attempts[attempt];
        let now = self.target_clock.read(self.net.now_ms);
        let response = if self.experiment.rules.not_after && now.wall_ms > not_after {
            TargetResponse::NotRun(Code::TargetExpired)
        } else if self.net.chance(self.net.faults.shed_permille) {
            TargetResponse::NotRun(Code::TargetShed)
        } else {
            self.net
                .trace(|| format!("a target runs booking {booking}"));
            TargetResponse::Ran(self.checker.record_run(booking, attempt))
        };
        self.net.send(Event::TargetResponseArrived {
            host,
            run,
            attempt,
            response,
        });
    }

    fn handle_target_response(&mut self, attempt: usize, response: TargetResponse) {
        if self.attempts[attempt].phase != Phase::Sending {
            return;
        }
        match response {
            TargetResponse::Ran(number) => {
                let stored = StoredResponse {
                    status: 200,
                    headers: Vec::new(),
                    body: number.to_le_bytes().to_vec(),
                };
                self.settle(attempt, Outcome::Completed(Some(stored)));
                self.checker
                    .record_response(self.attempts[attempt].booking, number, false);
                self.respond(attempt, true);
            }
            TargetResponse::NotRun(code) => {
                self.settle(attempt, Outcome::NotRun);
                self.reject(attempt, code);
            }
            TargetResponse::NoResponse => {
                self.settle(attempt, Outcome::Unknown);
                self.reject(attempt, Code::DeadlinePassed);
            }
        }
    }

    fn settle(&mut self, attempt: usize, outcome: Outcome) {
        let Attempt { host, key, .. } = self.attempts[attempt];
        let settlement = self.attempts[attempt].settlement(outcome);
        match self.fleet.owner(host, key) {
            None => {}
            Some(owner) if owner == host => self.fleet.settle(host, settlement, &self.net),
            Some(owner) => {
                let event = Event::Settle {
                    host: owner,
                    settlement,
                };
                self.fleet.send(host, owner, event, &mut self.net);
            }
        }
    }

    fn reject(&mut self, attempt: usize, code: Code) {
        let booking = self.attempts[attempt].booking;
        self.checker.record_rejection(booking, attempt, code);
        self.net.trace(|| {
            format!(
                "booking {booking} is rejected, ran: {}, {code}",
                code.ran().as_str()
            )
        });
        self.respond(attempt, false);
    }

    fn respond(&mut self, attempt: usize, is_final: bool) {
        let Attempt { booking, .. } = self.attempts[attempt];
        self.attempts[attempt].phase = Phase::Ended;
        if is_final {
            self.net
                .trace(|| format!("booking {booking} gets the response of its run"));
        }
        self.net
            .send(Event::CallerResponseArrived { attempt, is_final });
    }
}
