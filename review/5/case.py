"""A host that was killed stays in the directory's answers while others are restarted in turn."""
import asyncio
import json
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standin as s

HOSTS = int(os.environ.get("HOSTS", "14"))
WORKERS, WORK_MS, GAP_S = 6, 60, float(os.environ.get("GAP", "1.0"))
KILL_AFTER_S = float(os.environ.get("KILL", "3"))


async def case(world):
    record = world.record
    await world.start_store()
    for number in range(WORKERS):
        await world.add_worker(s.Worker(world, f"w{number}", "desk", world.zones[number % len(world.zones)], "v1", WORK_MS))
    route = lambda name, kind: {
        "name": name, "prefix": f"/{name}/", "kind": kind, "service": "desk", "priority": 1,
        "target_latency": "300ms", "timeout": "1500ms", "max_attempts": 2}
    world.put_config(["desk"], [{"host": "a.example", "paths": [route("look", "safe")]}])
    beats = asyncio.create_task(world.beats())
    world.start_hosts(HOSTS)
    await world.wait_ready()
    await asyncio.sleep(5)
    victim = world.hosts[-1]
    named, killed, stop = [], [None], asyncio.Event()

    async def ask(host):
        while not stop.is_set():
            at = s.now()
            touch = host.running() and host.in_touch(at)
            try:
                status, _, body = await asyncio.wait_for(s.get(host.address("directory"), f"/v1/resolve?name=a.example&region=region-1&zone={victim.zone}", []), 1)
                if status != 200:
                    record.line(f"directory of host {host.number} answers {status}")
                    continue
                addresses = json.loads(body)["addresses"]
                record.line(f"directory of host {host.number} answers {' '.join(addresses)}")
                beside = any(h.running() and h.listen["front"] in addresses for h in world.hosts)
                if killed[0] and beside and victim.listen["front"] in addresses:
                    age = at - killed[0]
                    record.line(f"host {host.number} names the dead host {age:.2f} s after its end, in touch {touch}, up for {at - host.started:.2f} s")
                    named.append((age, host.number, touch))
            except (OSError, EOFError, asyncio.TimeoutError):
                pass
            finally:
                await asyncio.sleep(0.1)

    asks = [asyncio.create_task(ask(h)) for h in world.hosts if h is not victim]

    async def restart(host):
        while host.running():
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.2)
        host.start(first=False)

    began = s.now()
    async def kill():
        await asyncio.sleep(KILL_AFTER_S)
        victim.signal(signal.SIGKILL)
        killed[0] = s.now()
        record.say("a host is killed for good")
    jobs = [asyncio.create_task(kill())]
    order = world.hosts[:-1]
    if s.TROUBLE:
        for host in order:
            host.signal(signal.SIGTERM)
            jobs.append(asyncio.create_task(restart(host)))
            await asyncio.sleep(GAP_S)
    await asyncio.gather(*jobs)
    await asyncio.sleep(8)
    stop.set()
    await asyncio.gather(*asks)
    beats.cancel()
    late = [n for n in named if n[0] > 6.0]
    touch = [n for n in late if n[2]]
    record.say(f"last named {max((n[0] for n in named), default=0):.2f} s after; answers over 6 s: {len(late)}, by machines in touch {len(touch)}")
    return s.BROKEN if len(touch) > 3 else s.HELD


s.main(__file__, case, zones=("zone-a", "zone-b", "zone-c"))
