//! Simulates one case in virtual time.

use super::event_queue::EventQueue;
use super::fake_host::{FakeHost, QUEUE_LEN, QUEUE_MS};
use super::fake_target::{FakeTarget, TargetAdmission};
use super::{Fault, Fleet, RetryRule, Scenario, Tally};
use heatherhinge_blackboard::InFlight;
use heatherhinge_policy::{
    Admission, AttemptOutcome, Choice, Chosen, NextStep, Picker, RetryBudget, Ticket, choose,
};
use heatherhinge_types::{LoadReport, MonoNs, Urgency};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Shortest service time in nanoseconds.
const SERVICE_FLOOR_NS: u64 = 4_000_000;
/// Mean of the exponential part of the service time in nanoseconds.
const SERVICE_EXTRA_NS: u64 = 6_000_000;
/// Time at the start whose requests are not counted, because the hosts have no load data yet.
const WARM_UP_NS: u64 = 1_000_000_000;
/// Interval at which a host checks its wait queue while no other event occurs.
const WAIT_QUEUE_INTERVAL_NS: u64 = 1_000_000;
/// Mean time that a noisy neighbour is busy, and idle, in nanoseconds.
const NOISY_NS: (u64, u64) = (200_000_000, 800_000_000);
/// Retries per thousand successes.
const RETRY_PERMILLE: u32 = 100;

/// The kind of a response of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ResponseKind {
    Good,
    Failed,
    Shed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The next request arrives.
    Arrive,
    /// A request reaches its target.
    ReachTarget(u32),
    /// A target completes a request.
    End(u32),
    /// A response reaches the host, with the number of requests in flight that it reports.
    Response(u32, ResponseKind, u32),
    /// The backoff of a request is over.
    Retry(u32),
    /// The host checks its wait queue.
    Wake(usize),
    /// The fault of a target begins or ends.
    SwitchFault(usize, bool),
}

#[derive(Debug)]
struct Request {
    arrived_ns: u64,
    host: usize,
    demand_ns: u64,
    attempts: u32,
    sent_ns: u64,
    target: usize,
    avoids_target: bool,
    in_flight: Option<InFlight>,
    /// Position in the host's wait queue.
    ticket: Option<Ticket>,
}

struct Simulation<'a, P, T> {
    fleet: &'a Fleet,
    scenario: &'a Scenario,
    rule: T,
    events: EventQueue<Event>,
    now_ns: u64,
    hosts: Vec<FakeHost<P>>,
    targets: Vec<FakeTarget>,
    requests: Vec<Request>,
    arrival_rng: Pcg64,
    neighbour_rng: Pcg64,
    tally: Tally,
}

/// Runs one case. The same arguments give the same tally.
///
/// # Errors
///
/// Returns an error if the histogram cannot be made.
pub fn simulate<P: Picker + Default, T: RetryRule>(
    fleet: &Fleet,
    scenario: &Scenario,
    rule: T,
    seed: u64,
) -> eyre::Result<Tally> {
    let hosts = (0..fleet.hosts).map(|host| FakeHost::new(fleet, host, seed, P::default()));
    let targets = (0..fleet.targets).map(|_| FakeTarget::new(fleet.slots));
    let mut simulation = Simulation {
        fleet,
        scenario,
        rule,
        events: EventQueue::new(),
        now_ns: 0,
        hosts: hosts.collect(),
        targets: targets.collect(),
        requests: Vec::new(),
        arrival_rng: Pcg64::seed_from_u64(seed),
        neighbour_rng: Pcg64::seed_from_u64(!seed),
        tally: Tally::new(WARM_UP_NS)?,
    };
    simulation.run();
    Ok(simulation.tally)
}

fn exponential_ns(rng: &mut Pcg64, mean_ns: u64) -> u64 {
    (-(1.0 - rng.random::<f64>()).ln() * mean_ns as f64) as u64
}

impl<P: Picker, T: RetryRule> Simulation<'_, P, T> {
    fn run(&mut self) {
        self.schedule_faults();
        self.schedule_arrival();
        while let Some((at_ns, event)) = self.events.pop() {
            self.now_ns = at_ns;
            match event {
                Event::Arrive => self.arrive(),
                Event::ReachTarget(request) => self.reach_target(request),
                Event::End(request) => self.complete(request),
                Event::Response(request, kind, reported) => self.receive(request, kind, reported),
                Event::Retry(request) => self.try_send(request),
                Event::Wake(host) => self.wake(host),
                Event::SwitchFault(target, is_on) => self.switch_fault(target, is_on),
            }
        }
    }

    fn schedule_faults(&mut self) {
        let (from_ns, to_ns) = self.scenario.fault_span_ns();
        for target in (0..self.fleet.targets).filter(|t| self.scenario.affects(*t)) {
            if self.scenario.fault == Fault::NoisyNeighbours {
                let at_ns = exponential_ns(&mut self.neighbour_rng, NOISY_NS.1);
                self.events.push(at_ns, Event::SwitchFault(target, true));
            } else {
                self.events.push(from_ns, Event::SwitchFault(target, true));
                self.events.push(to_ns, Event::SwitchFault(target, false));
            }
        }
    }

    fn switch_fault(&mut self, target: usize, is_on: bool) {
        let fault = if is_on {
            self.scenario.fault
        } else {
            Fault::None
        };
        self.targets[target].set_fault(fault);
        if self.scenario.fault == Fault::NoisyNeighbours && self.now_ns < self.scenario.duration_ns
        {
            let mean_ns = if is_on { NOISY_NS.0 } else { NOISY_NS.1 };
            let at_ns = self.now_ns + exponential_ns(&mut self.neighbour_rng, mean_ns);
            self.events.push(at_ns, Event::SwitchFault(target, !is_on));
        }
    }

    fn schedule_arrival(&mut self) {
        let service_ns = SERVICE_FLOOR_NS + SERVICE_EXTRA_NS;
        let slots = self.fleet.targets as u64 * u64::from(self.fleet.slots);
        let gap_ns = service_ns * 1_000 / (slots * self.scenario.load_permille);
        let at_ns = self.now_ns + exponential_ns(&mut self.arrival_rng, gap_ns);
        if at_ns < self.scenario.duration_ns {
            self.events.push(at_ns, Event::Arrive);
        }
    }

    fn arrive(&mut self) {
        let number = self.requests.len() as u32;
        let host = self.arrival_rng.random_range(0..self.fleet.hosts);
        let extra_ns = exponential_ns(&mut self.arrival_rng, SERVICE_EXTRA_NS);
        self.requests.push(Request {
            arrived_ns: self.now_ns,
            host,
            demand_ns: SERVICE_FLOOR_NS + extra_ns,
            attempts: 0,
            sent_ns: 0,
            target: 0,
            avoids_target: false,
            in_flight: None,
            ticket: None,
        });
        self.schedule_arrival();
        self.try_send(number);
    }

    /// Sends a request, or queues it behind the waiting ones.
    fn try_send(&mut self, number: u32) {
        let host = &self.hosts[self.requests[number as usize].host];
        if host.waiting.has_waiter_before(Urgency::DEFAULT) {
            return self.enqueue(number);
        }
        match self.choose(number) {
            Choice::Send(chosen) => self.send(number, chosen),
            Choice::Wait => self.enqueue(number),
            Choice::Refuse(_) => self.finish(number, false),
        }
    }

    fn choose(&mut self, number: u32) -> Choice {
        let request = &self.requests[number as usize];
        let host = &mut self.hosts[request.host];
        let mut plan = host.plan(request.arrived_ns);
        let avoid = request
            .avoids_target
            .then(|| host.cells[request.target].id.clone());
        choose(
            &mut plan,
            avoid.as_ref(),
            &host.picker,
            MonoNs(self.now_ns),
            &mut host.rng,
        )
    }

    fn send(&mut self, number: u32, chosen: Chosen) {
        let port = usize::from(chosen.in_flight.target().addr.port());
        let request = &mut self.requests[number as usize];
        request.target = port - 10_000;
        request.in_flight = Some(chosen.in_flight);
        request.sent_ns = self.now_ns;
        request.attempts += 1;
        let one_way_ns = self.fleet.one_way_ns(request.host, request.target);
        self.events
            .push(self.now_ns + one_way_ns, Event::ReachTarget(number));
    }

    fn enqueue(&mut self, number: u32) {
        let request = &self.requests[number as usize];
        let (index, arrived_ns) = (request.host, request.arrived_ns);
        let host = &mut self.hosts[index];
        let deadline_ns = host.plan(arrived_ns).deadline_ns;
        let limit = QUEUE_LEN as usize;
        match host
            .waiting
            .push(Urgency::DEFAULT, deadline_ns, limit, number)
        {
            Admission::Queued(ticket) => {
                self.requests[number as usize].ticket = Some(ticket);
                self.schedule_wake(index);
            }
            // All requests have the same urgency, so none displaces another.
            Admission::Displaced(_, other) => self.finish(other, false),
            Admission::Full => self.finish(number, false),
        }
    }

    fn schedule_wake(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if !host.is_wake_scheduled && !host.waiting.is_empty() {
            host.is_wake_scheduled = true;
            self.events
                .push(self.now_ns + WAIT_QUEUE_INTERVAL_NS, Event::Wake(index));
        }
    }

    fn wake(&mut self, index: usize) {
        self.hosts[index].is_wake_scheduled = false;
        self.serve_waiting(index);
        self.schedule_wake(index);
    }

    /// Sends waiting requests in order until no target has a free slot.
    fn serve_waiting(&mut self, index: usize) {
        while let Some(number) = self.hosts[index].waiting.first().copied() {
            let waited_ns = self.now_ns - self.requests[number as usize].arrived_ns;
            let choice = if waited_ns > QUEUE_MS * 1_000_000 {
                None
            } else {
                match self.choose(number) {
                    Choice::Wait => return,
                    Choice::Send(chosen) => Some(chosen),
                    Choice::Refuse(_) => None,
                }
            };
            if let Some(ticket) = self.requests[number as usize].ticket.take() {
                self.hosts[index].waiting.remove(&ticket);
            }
            match choice {
                Some(chosen) => self.send(number, chosen),
                None => self.finish(number, false),
            }
        }
    }

    fn reach_target(&mut self, number: u32) {
        let request = &self.requests[number as usize];
        let target = &mut self.targets[request.target];
        match target.admit(number, request.demand_ns, self.now_ns) {
            TargetAdmission::Started(ns) => self.events.push(self.now_ns + ns, Event::End(number)),
            TargetAdmission::Queued => {}
            TargetAdmission::Shed => self.respond(number, ResponseKind::Shed),
            TargetAdmission::Failed => self.respond(number, ResponseKind::Failed),
        }
    }

    fn complete(&mut self, number: u32) {
        let target = &mut self.targets[self.requests[number as usize].target];
        let kind = if target.fails() {
            ResponseKind::Failed
        } else {
            ResponseKind::Good
        };
        if let Some(next) = target.complete(self.now_ns) {
            let ns = target.service_ns(self.requests[next as usize].demand_ns);
            self.events.push(self.now_ns + ns, Event::End(next));
        }
        self.respond(number, kind);
    }

    fn respond(&mut self, number: u32, kind: ResponseKind) {
        let request = &self.requests[number as usize];
        let in_flight = self.targets[request.target].report(self.now_ns).in_flight;
        let one_way_ns = self.fleet.one_way_ns(request.host, request.target);
        let event = Event::Response(number, kind, in_flight);
        self.events.push(self.now_ns + one_way_ns, event);
    }

    fn receive(&mut self, number: u32, kind: ResponseKind, reported: u32) {
        let now_ns = MonoNs(self.now_ns);
        let request = &mut self.requests[number as usize];
        // The report does not include the request of this response, so drop its guard first.
        request.in_flight = None;
        let host = &mut self.hosts[request.host];
        let cell = &host.cells[request.target];
        cell.record_report(report(reported, self.fleet.slots), now_ns);
        let outcome = match kind {
            ResponseKind::Good => http_outcome(200),
            ResponseKind::Failed => http_outcome(500),
            ResponseKind::Shed => AttemptOutcome::Shed,
        };
        let plan = host.plan(request.arrived_ns);
        let budget = RetryBudget::new(&plan.targets.counters, RETRY_PERMILLE);
        if outcome.is_failure() {
            cell.record_failure(now_ns);
        } else {
            cell.record_success(self.now_ns - request.sent_ns, now_ns);
            budget.deposit();
        }
        let attempts = request.attempts;
        let next = self
            .rule
            .next(&plan, outcome, attempts, &budget, now_ns, &mut host.rng);
        let index = request.host;
        if let NextStep::Retry { backoff_us } = next {
            request.avoids_target = true;
            let at_ns = self.now_ns + backoff_us * 1_000;
            self.events.push(at_ns, Event::Retry(number));
        } else {
            let is_in_time = self.now_ns <= plan.deadline_ns.0;
            self.finish(number, kind == ResponseKind::Good && is_in_time);
        }
        self.serve_waiting(index);
    }

    fn finish(&mut self, number: u32, is_good: bool) {
        let request = &self.requests[number as usize];
        self.tally
            .add(request.arrived_ns, self.now_ns, request.attempts, is_good);
    }
}

fn http_outcome(status: u16) -> AttemptOutcome {
    AttemptOutcome::Answered {
        status,
        is_already_retried: false,
    }
}

fn report(in_flight: u32, slots: u32) -> LoadReport {
    LoadReport {
        in_flight,
        slots,
        start_id: heatherhinge_types::StartId(1),
        uptime_ms: 0,
        is_leaving: false,
    }
}
