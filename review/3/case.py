"""A version that was rolled back gets full traffic again as soon as the next move is ordered."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standin as s

HOSTS, WORKERS, WORK_MS, SLOW = 4, 8, 60, 8
CLIENTS, DURATION_S = 48, 10
BAD_SHARE = 0.5       # of v2's requests are slow, 8 times as long (rollout_bad: slow, x (8), share (.5))
DRAIN_AFTER_S = 5     # "some seconds later"
NEXT_ORDER_S = 0.5    # from `rolled_back` to the next order
SHARE, SLACK = 0.1, 50


async def case(world):
    record = world.record
    await world.start_store()

    async def bad(worker, line, headers, body):
        return 200, SLOW if random.random() < BAD_SHARE else 1.0

    async def add(version):
        group = []
        for number in range(WORKERS):
            worker = s.Worker(world, f"{version}-{number}", "desk", world.zones[number % 2], version, WORK_MS)
            worker.behave = bad if version == "v2" else None
            group.append(await world.add_worker(worker))
        return group

    await add("v1")
    route = lambda name, kind: {
        "name": name, "prefix": f"/{name}/", "kind": kind, "service": "desk", "priority": 1,
        "target_latency": "300ms", "timeout": "1500ms", "max_attempts": 2}
    world.put_config(["desk"], [{"host": "a.example", "paths": [route("look", "safe"), route("book", "unsafe")]}])
    beats = asyncio.create_task(world.beats())
    world.start_hosts(HOSTS)
    await world.wait_ready()
    stop, answers = asyncio.Event(), []

    async def client(number):
        each = s.Client(world, world.zones[number % 2])
        while not stop.is_set():
            kind = random.choice(["GET /look", "GET /look", "POST /book"]).split()
            answers.append(await each.attempt(kind[0], f"{kind[1]}/c{s.Client.count}", 2000,
                                              b"b" * 300 if kind[0] == "POST" else b""))
            await asyncio.sleep(random.uniform(0.05, 0.15))

    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(6)
    old = await add("v2")
    await asyncio.sleep(0.1)
    world.store.put("op", "rollout/desk", {"service": "desk", "to": "v2", "duration": f"{DURATION_S}s"})
    ordered = s.now()
    record.say("the operator orders the move to v2")
    status = None
    while s.now() < ordered + DURATION_S:
        status = world.store.get("status", "rollout/desk")
        if status and status.get("to") == "v2" and status["state"] == "rolled_back":
            break
        await asyncio.sleep(0.02)
    else:
        record.say(f"v2 was not rolled back in time: {status}")
        return s.NOT_RUN
    back = s.now()
    record.say("the status is rolled_back")
    before = sum(1 for at, w, _, _ in world.arrivals if w.version == "v2" and at >= ordered)
    await asyncio.sleep(NEXT_ORDER_S)
    if s.TROUBLE:
        await add("v3")
        world.store.put("op", "rollout/desk", {"service": "desk", "to": "v3", "duration": f"{DURATION_S}s"})
        record.say("the operator orders the move to v3")
    await asyncio.sleep(DRAIN_AFTER_S - NEXT_ORDER_S)
    for worker in old:
        worker.state = "draining"
        worker.beat()
    record.say("the workers of v2 report draining")
    await asyncio.sleep(max(0.0, ordered + DURATION_S - s.now()))
    deadline = s.now()
    stop.set()
    await asyncio.gather(*clients)
    beats.cancel()
    window = [(at, w) for at, w, _, _ in world.arrivals if ordered <= at <= deadline]
    got = sum(1 for _, w in window if w.version == "v2")
    allowed = SHARE * len(window) + SLACK
    record.say(f"status at the end: {world.store.get('status', 'rollout/desk')}")
    record.say(f"requests that reached the service between the order and its deadline: {len(window)}; at v2 {got} "
               f"(before rolled_back {before}, after it {got - before}); allowed {allowed:.0f}")
    served = sum(1 for a in answers if a.status == 200)
    record.say(f"client attempts {len(answers)}, served {served}")
    if served < 500:
        return s.NOT_RUN
    return s.BROKEN if got > allowed else s.HELD


s.main(__file__, case)
