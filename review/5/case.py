"""A request that crashes workers is held back only until the hosts that counted it are restarted."""
import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standin as s

HOSTS, WORKERS, WORK_MS = 4, 12, 60
BACK_S = 4.0                 # a crashed worker is back after some seconds
RETRIES = 2                  # a client's retries
GAP_S = 1.0                  # roll_term: one machine each gap
STABLE_S, MORE_THAN = 3.0, 3


async def case(world):
    record = world.record
    await world.start_store()
    crashes, poison_at = [], []

    async def behave(worker, line, headers, body):
        if "/look/poison" not in line:
            return 200, 1.0
        crashes.append(s.now())
        record.say(f"worker {worker.id} crashes at {headers['x-request-id']} (crash {len(crashes)})")
        worker.crash()
        asyncio.create_task(back(worker))
        return None

    async def back(worker):
        await asyncio.sleep(BACK_S)
        await worker.start(worker.ip)
        record.line(f"worker {worker.id} is back")

    for number in range(WORKERS):
        worker = s.Worker(world, f"w{number}", "desk", world.zones[number % 2], "v1", WORK_MS)
        worker.behave = behave
        await world.add_worker(worker)
    route = lambda name, kind: {
        "name": name, "prefix": f"/{name}/", "kind": kind, "service": "desk", "priority": 1,
        "target_latency": "300ms", "timeout": "1500ms", "max_attempts": 2}
    world.put_config(["desk"], [{"host": "a.example", "paths": [route("look", "safe"), route("book", "unsafe")]}])
    beats = asyncio.create_task(world.beats())
    world.start_hosts(HOSTS)
    await world.wait_ready()
    stop, answers, poisons = asyncio.Event(), [], []

    async def client(number):
        each = s.Client(world, world.zones[number % 2])
        while not stop.is_set():
            kind = random.choice(["GET /look", "GET /look", "POST /book"]).split()
            answers.append(await each.attempt(kind[0], f"{kind[1]}/c{s.Client.count}", 2000,
                                              b"b" * 300 if kind[0] == "POST" else b""))
            await asyncio.sleep(random.uniform(0.1, 0.3))

    async def poison():
        """The request comes again: one call, and up to two retries at other machines, as clients do."""
        excluded = set()
        for _ in range(1 + RETRIES):
            each = s.Client(world, world.zones[0], keep=False)
            await each.resolve()
            each.addresses = [a for a in each.addresses if a not in excluded]
            answer = await each.attempt("GET", "/look/poison", 2000)
            poisons.append(answer)
            record.say(f"poison {answer.request_id} at host {answer.host.number if answer.host else '?'}: "
                       f"{answer.status or answer.why}")
            if answer.status == 200:
                return
            if answer.host:
                excluded.add(answer.host.listen["front"])
            if answer.status in (429, 503):
                await asyncio.sleep(min(float(answer.headers.get("retry-after", "0")), 0.6))

    clients = [asyncio.create_task(client(number)) for number in range(12)]
    await asyncio.sleep(6)
    await poison()
    await asyncio.sleep(5)
    await poison()
    record.say(f"{len(crashes)} crashes so far")
    await asyncio.sleep(1)
    if s.TROUBLE:
        record.say("the operator restarts the hosts in turn")
        tasks = []
        for host in world.hosts:
            host.signal(signal.SIGTERM)
            tasks.append(asyncio.create_task(restart(host)))
            await asyncio.sleep(GAP_S)
        await asyncio.gather(*tasks)
        record.say("all hosts are restarted")
    else:
        await asyncio.sleep(8)
    await asyncio.sleep(STABLE_S + 2)
    await poison()
    await asyncio.sleep(6)
    await poison()
    await asyncio.sleep(2)
    stop.set()
    await asyncio.gather(*clients)
    beats.cancel()
    third = crashes[2] if len(crashes) > 2 else None
    late = [(at, w, rid) for at, w, rid, path in world.arrivals
            if path == "/look/poison" and third is not None and at > third + STABLE_S]
    # who sent it: the host that the client asked
    by = {a.request_id: a.host for a in poisons}
    counted = []
    for at, worker, rid in late:
        host = by.get(rid)
        touch = host is not None and host.stopping is None and at - host.started >= STABLE_S
        record.say(f"late: {at:.3f} {rid} at {worker.name} from host {host.number if host else '?'}, started {host.started:.3f}, in touch {touch}")
        if touch:
            counted.append(rid)
    record.say(f"crashes {len(crashes)}, third at {third}; later than {STABLE_S} s after it the request reached workers {len(late)} times, {len(counted)} sent by machines in touch")
    served = sum(1 for a in answers if a.status == 200)
    record.say(f"other attempts {len(answers)}, served {served}")
    if served < 200:
        return s.NOT_RUN
    return s.BROKEN if len(counted) > MORE_THAN else s.HELD


async def restart(host):
    while host.running():
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.3)
    host.start(first=False)


s.main(__file__, case)
