//! Callers, the senders on the receiving hosts, and the targets.

use crate::attempt::{Attempt, Phase};
use crate::clock::Clock;
use crate::event::{Event, TargetAnswer};
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
const BOOKING_EVERY_MS: u64 = 50;
const CLAIM_TIMEOUT_MS: u64 = 500;
const TARGET_TIMEOUT_MS: u64 = 3_000;
const CALLER_TIMEOUT_MS: u64 = 5_000;
const LATE_SEND_MS: u64 = 30_000;
/// Time after the last booking in which callers still send again.
const TAIL_MS: u64 = 60_000;
/// Most claim messages of one attempt, and most owners that it asks.
const MAX_CLAIM_MESSAGES: u32 = 2;

/// The whole model.
#[derive(Debug)]
pub(crate) struct Simulation {
    plan: Experiment,
    net: Net,
    fleet: Fleet,
    target_clock: Clock,
    attempts: Vec<Attempt>,
    /// Attempts made at each booking.
    tries: Vec<usize>,
    checker: InvariantChecker,
}

impl Simulation {
    pub(crate) fn new(plan: Experiment) -> Self {
        let mut net = Net::new(plan.seed, plan.faults, !plan.script.is_empty());
        let target_clock = Clock::new(plan.faults.clock_error_ms, &mut net.rng);
        let fleet = Fleet::new(plan.clone(), &mut net);
        if plan.script.is_empty() {
            net.after(FIRST_BOOKING_MS, Event::SecondStarted);
        }
        for (at_ms, step) in &plan.script {
            net.after(*at_ms, Event::Scripted { step: *step });
        }
        Self {
            plan,
            net,
            fleet,
            target_clock,
            attempts: Vec::new(),
            tries: Vec::new(),
            checker: InvariantChecker::default(),
        }
    }

    pub(crate) fn run(mut self) -> RunSummary {
        let bookings = u64::try_from(self.plan.bookings).unwrap_or(u64::MAX);
        let script_ms = self.plan.script.iter().map(|(at_ms, _)| *at_ms).max();
        let end_ms = script_ms.unwrap_or(FIRST_BOOKING_MS + bookings * BOOKING_EVERY_MS + TAIL_MS);
        while let Some((order, event)) = self.net.next() {
            if self.net.now_ms > end_ms {
                break;
            }
            let Some((host, run)) = event.required_process() else {
                self.handle(event);
                continue;
            };
            let paused_until_ms = self.fleet.paused_until_ms(host);
            if !self.fleet.runs(host, run) {
                continue;
            }
            if paused_until_ms > self.net.now_ms {
                self.net.put_off(paused_until_ms, order, event);
            } else {
                self.handle(event);
            }
        }
        let transcript = self.net.transcript.unwrap_or_default();
        self.checker.close(self.fleet.faults, transcript)
    }

    fn handle(&mut self, event: Event) {
        let (fleet, net) = (&mut self.fleet, &mut self.net);
        match event {
            Event::Tick { host, run } => fleet.tick(host, run, net),
            Event::Control { host, event, .. } => fleet.control(host, event, net),
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
                self.target_clock.set(&mut net.rng);
            }
            Event::Arrive { host, attempt } => self.arrive(host, attempt),
            Event::SendClaim { attempt, .. } => self.ask(attempt),
            Event::Claim { host, attempt } => self.claim(host, attempt),
            Event::ClaimAnswered {
                attempt, answer, ..
            } => self.take_claim(attempt, answer),
            Event::ClaimTimeout { attempt, .. } => self.claim_timeout(attempt),
            Event::Send {
                attempt, not_after, ..
            } => self.send_to_target(attempt, not_after),
            Event::AtTarget { attempt, not_after } => self.at_target(attempt, not_after),
            Event::TargetAnswered {
                attempt, answer, ..
            } => self.take_answer(attempt, answer),
            Event::Answered { attempt, is_final } => self.caller_answered(attempt, is_final),
            Event::CallerTimeout { attempt } => self.resend(attempt),
            Event::SecondStarted => self.second(),
            Event::Book => self.book(None),
            Event::Scripted { step } => self.scripted(step),
        }
    }

    /// Plans the bookings of one second, and when its faults strike.
    fn second(&mut self) {
        for number in 0..1_000 / BOOKING_EVERY_MS {
            self.net.after(number * BOOKING_EVERY_MS, Event::Book);
        }
        let delay_ms = self.net.rng.random_range(0..1_000);
        self.net.after(delay_ms, Event::InjectFaults);
        self.net.after(1_000, Event::SecondStarted);
    }

    fn scripted(&mut self, step: Step) {
        match step {
            Step::Book { via, partition } => self.book(Some((via, partition))),
            Step::Resend { booking, via } => {
                let first = self
                    .attempts
                    .iter()
                    .find(|attempt| attempt.booking == booking);
                if let Some(key) = first.map(|attempt| attempt.key) {
                    self.attempt(booking, key, via);
                }
            }
            Step::Kill { host } => self.fleet.kill(host, &mut self.net),
            Step::Wait => {}
        }
    }

    // Callers.

    /// Makes an attempt at a booking through a host.
    fn attempt(&mut self, booking: usize, key: IdempotencyKey, host: usize) {
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
            is_sent_again: false,
        });
        self.tries[booking] += 1;
        self.net.send(Event::Arrive { host, attempt });
        self.net
            .after(CALLER_TIMEOUT_MS, Event::CallerTimeout { attempt });
    }

    fn book(&mut self, scripted: Option<(usize, u8)>) {
        if self.plan.script.is_empty() && self.tries.len() >= self.plan.bookings {
            return;
        }
        let host = match scripted {
            Some((via, _)) => via,
            None => self.fleet.any_host(&mut self.net),
        };
        let booking = self.checker.open_booking();
        self.tries.push(0);
        let clock = Clock::new(self.net.faults.clock_error_ms, &mut self.net.rng);
        let mut random = [0; 10];
        self.net.rng.fill_bytes(&mut random);
        if let Some((_, partition)) = scripted {
            random[9] = partition;
        }
        let key = IdempotencyKey::new(clock.read(self.net.now_ms).wall_ms, random);
        self.attempt(booking, key, host);
        if self.net.chance(self.net.faults.duplicated_permille) {
            // The caller is impatient and sends the booking through another host at once.
            let host = self.fleet.any_host(&mut self.net);
            self.attempt(booking, key, host);
        }
    }

    fn caller_answered(&mut self, attempt: usize, is_final: bool) {
        if is_final {
            self.checker.answered(self.attempts[attempt].booking);
            return;
        }
        let delay_ms = self.net.rng.random_range(200..4_000);
        self.net.after(delay_ms, Event::CallerTimeout { attempt });
    }

    /// Sends a booking again through another host, once for each attempt.
    fn resend(&mut self, attempt: usize) {
        let (booking, key) = (self.attempts[attempt].booking, self.attempts[attempt].key);
        let is_done = std::mem::replace(&mut self.attempts[attempt].is_sent_again, true);
        let is_last = self.tries[booking] > self.plan.resends;
        if is_done || is_last || self.checker.is_answered(booking) || !self.plan.script.is_empty() {
            return;
        }
        let host = self.fleet.any_host(&mut self.net);
        self.attempt(booking, key, host);
    }

    // The receiving host.

    fn arrive(&mut self, host: usize, attempt: usize) {
        if let Some(process) = self.fleet.process(host) {
            self.attempts[attempt].run = process.run;
            self.ask(attempt);
        }
    }

    fn ask(&mut self, attempt: usize) {
        let Attempt { host, run, key, .. } = self.attempts[attempt];
        match self.fleet.owner(host, key) {
            None => self.refuse(attempt, Code::NoOwner),
            Some(owner) if owner == host => self.claim(host, attempt),
            Some(owner) => {
                let event = Event::Claim {
                    host: owner,
                    attempt,
                };
                self.fleet.send(host, owner, event, &mut self.net);
                let event = Event::ClaimTimeout { host, run, attempt };
                self.net.after(CLAIM_TIMEOUT_MS, event);
            }
        }
    }

    fn claim(&mut self, owner: usize, attempt: usize) {
        let request = self.attempts[attempt].request();
        let Some(answer) = self.fleet.claim(owner, &request, &self.net) else {
            return;
        };
        let Attempt {
            booking, host, run, ..
        } = self.attempts[attempt];
        self.net.trace(|| {
            format!("host{owner}, asked by host{host} about booking {booking}: {answer:?}")
        });
        if owner == host {
            self.take_claim(attempt, answer);
        } else {
            let event = Event::ClaimAnswered {
                host,
                run,
                attempt,
                answer,
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
            return self.ask(attempt);
        }
        self.settle(attempt, Outcome::NotRun);
        self.refuse(attempt, Code::OwnerUnreachable);
    }

    fn take_claim(&mut self, attempt: usize, answer: ClaimResponse) {
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
        match answer {
            ClaimResponse::Granted { not_after_wall_ms } => {
                self.granted(attempt, not_after_wall_ms)
            }
            ClaimResponse::Completed(answer) => {
                let number = answer.body.try_into().map_or(0, u64::from_le_bytes);
                self.checker.complete(booking, number, true);
                self.answer(attempt, true);
            }
            ClaimResponse::Refused { code } => {
                self.refuse(
                    attempt,
                    Code::from_number(code).unwrap_or(Code::PeerMalformed),
                );
            }
            ClaimResponse::NotOwner => {
                self.attempts[attempt].wrong_owners += 1;
                if self.attempts[attempt].wrong_owners >= MAX_CLAIM_MESSAGES {
                    return self.refuse(attempt, Code::NoOwner);
                }
                self.fleet
                    .control(host, OwnershipEvent::StaleOwnerReported, &mut self.net);
                self.net.after(50, Event::SendClaim { host, run, attempt });
            }
        }
    }

    fn granted(&mut self, attempt: usize, not_after: WallMs) {
        let Attempt {
            booking, host, run, ..
        } = self.attempts[attempt];
        self.attempts[attempt].phase = Phase::Sending;
        let now = self.fleet.now(host, &self.net);
        if self.plan.rules.not_after && now.wall_ms >= not_after {
            self.settle(attempt, Outcome::NotRun);
            return self.refuse(attempt, Code::LeaseEnded);
        }
        let is_first = self.tries[booking] == 1;
        if is_first && self.net.chance(self.net.faults.pause_before_send_permille) {
            self.fleet.pause(host, &self.net);
        }
        let is_late = is_first && self.net.chance(self.net.faults.late_send_permille);
        let delay_ms = if is_late { LATE_SEND_MS } else { 0 };
        self.net.after(
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
        self.net.send(Event::AtTarget { attempt, not_after });
        let answer = TargetAnswer::NoAnswer;
        let event = Event::TargetAnswered {
            host,
            run,
            attempt,
            answer,
        };
        self.net.after(TARGET_TIMEOUT_MS, event);
    }

    fn at_target(&mut self, attempt: usize, not_after: WallMs) {
        let Attempt {
            booking, host, run, ..
        } = self.attempts[attempt];
        let now = self.target_clock.read(self.net.now_ms);
        let answer = if self.plan.rules.not_after && now.wall_ms > not_after {
            TargetAnswer::NotRun(Code::TargetExpired)
        } else if self.net.chance(self.net.faults.shed_permille) {
            TargetAnswer::NotRun(Code::TargetShed)
        } else {
            self.net
                .trace(|| format!("a target runs booking {booking}"));
            TargetAnswer::Ran(self.checker.run(booking, attempt))
        };
        self.net.send(Event::TargetAnswered {
            host,
            run,
            attempt,
            answer,
        });
    }

    fn take_answer(&mut self, attempt: usize, answer: TargetAnswer) {
        if self.attempts[attempt].phase != Phase::Sending {
            return;
        }
        match answer {
            TargetAnswer::Ran(number) => {
                let stored = StoredResponse {
                    status: 200,
                    headers: Vec::new(),
                    body: number.to_le_bytes().to_vec(),
                };
                self.settle(attempt, Outcome::Completed(Some(stored)));
                self.checker
                    .complete(self.attempts[attempt].booking, number, false);
                self.answer(attempt, true);
            }
            TargetAnswer::NotRun(code) => {
                self.settle(attempt, Outcome::NotRun);
                self.refuse(attempt, code);
            }
            TargetAnswer::NoAnswer => {
                self.settle(attempt, Outcome::Unknown);
                self.refuse(attempt, Code::DeadlinePassed);
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

    fn refuse(&mut self, attempt: usize, code: Code) {
        let booking = self.attempts[attempt].booking;
        self.checker.refuse(booking, attempt, code);
        self.net.trace(|| {
            format!(
                "booking {booking} is refused, ran: {}, {code}",
                code.ran().as_str()
            )
        });
        self.answer(attempt, false);
    }

    fn answer(&mut self, attempt: usize, is_final: bool) {
        let Attempt { booking, .. } = self.attempts[attempt];
        self.attempts[attempt].phase = Phase::Over;
        if is_final {
            self.net
                .trace(|| format!("booking {booking} gets the answer of its run"));
        }
        self.net.send(Event::Answered { attempt, is_final });
    }
}
