"""A config takes out a route and adds another with the same host and path, while submissions wait."""

import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "world3"))
from world import BOUNDS, FRONT, CannotRun, Executor, call, config, main, new_id  # noqa: E402

HOST, PREFIX, SERVICE = "nony24.example", "/lohu930/", "huvo11a"
WAITING = 6


def case(world, trouble):
    world.configure(config(1, [("r-3hwrr6x", HOST, PREFIX, SERVICE)], [SERVICE]))
    for agent in world.agents:
        executor = Executor(world, agent, SERVICE, cpu=1000)
        world.executors.append(executor)
        executor.begin()
    world.wait_ready()
    entry = world.entries[0]
    # The service is full of tasks that last.
    steps = [{"count": len(world.agents), "cpu": 900, "mem_mb": 256, "persistent": True}]
    world.submit_until_accepted(entry, HOST, PREFIX, new_id(), "[0]", steps)
    deadline = time.monotonic() + 10
    while len(world.platform.starts) < len(world.agents):
        if time.monotonic() > deadline:
            raise CannotRun("the service does not get full")
        time.sleep(0.05)
    jobs = [new_id() for _ in range(WAITING)]
    for job in jobs:
        steps = [{"count": 1, "cpu": 900, "mem_mb": 256, "estimate_ms": 1000}]
        world.submit_until_accepted(entry, HOST, PREFIX, job, "[1.0]", steps)
    time.sleep(BOUNDS["visible_ms"] / 1000 + 2.5)
    if trouble:
        world.configure(config(2, [("r-73d3zji", HOST, PREFIX, SERVICE)], [SERVICE]))
    # Well after `config_apply_ms`.
    time.sleep(6)
    breaks = []
    for entry in world.entries:
        answer = call((entry.ip, FRONT), "GET", PREFIX, None, {"Host": HOST, "Request-Deadline": "3000"}, 3.0)
        states = [world.state(entry, HOST, PREFIX, job) for job in jobs]
        if answer is None or answer[0] != 200 or set(states) != {"queued"}:
            raise CannotRun(f"no count, or the submissions do not wait: {answer} {states}")
        pending = json.loads(answer[2])["pending"]
        world.record.write(f"client: GET {PREFIX} at {entry.name}: pending {pending}; states {states}")
        begun = [start for start in world.platform.starts if start[2].split(".")[0] in jobs]
        if not begun and pending < WAITING / 2:
            breaks.append(f"MIXED: {entry.name} gives {pending} as pending, while {WAITING} accepted submissions of "
                          f"this path are `queued` and nothing of them has begun")
    return breaks


if __name__ == "__main__":
    main(HERE, case, agents=3)
