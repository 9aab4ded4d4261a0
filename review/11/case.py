"""A client cancels what it has sent to an entry that stands still; later the entry goes on."""

import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "world3"))
from world import BOUNDS, CannotRun, Executor, config, main, new_id  # noqa: E402

HOST, PREFIX, SERVICE = "nony24.example", "/lohu930/", "huvo11a"
FREEZE_S, LEAVE_S = 4.0, 0.5


def case(world, trouble):
    world.configure(config(1, [("r-1", HOST, PREFIX, SERVICE)], [SERVICE]))
    for agent in world.agents:
        executor = Executor(world, agent, SERVICE)
        world.executors.append(executor)
        executor.begin()
    world.wait_ready()
    first, second = world.entries
    steps = [{"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 500}]
    warm = new_id()
    world.submit_until_accepted(second, HOST, PREFIX, warm, "[0.5]", steps)
    deadline = time.monotonic() + 15
    while world.state(second, HOST, PREFIX, warm) != "completed":
        if time.monotonic() > deadline:
            raise CannotRun("a plain job does not get done")
        time.sleep(0.2)
    time.sleep(4)

    job = new_id()
    if trouble:
        first.signal(signal.SIGSTOP)
    frozen = time.monotonic()
    steps = [{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 3000}]
    # The client leaves before its deadline: it closes its connection, then cancels.
    sent = threading.Thread(
        target=world.submit, args=(first, HOST, PREFIX, job, "[3.0]", steps, LEAVE_S))
    sent.start()
    sent.join()
    status = world.cancel(second, HOST, PREFIX, job)
    deadline = time.monotonic() + 15
    while status not in (200, 410):
        if time.monotonic() > deadline:
            raise CannotRun("the cancel gets no ack")
        time.sleep(0.5)
        status = world.cancel(second, HOST, PREFIX, job)
    acked = world.record.now()
    if trouble:
        time.sleep(max(0.0, frozen + FREEZE_S - time.monotonic()))
        first.signal(signal.SIGCONT)
    time.sleep(10)
    world.record.write(f"client: GET {job}: {world.state(second, HOST, PREFIX, job)}")
    limit = acked + BOUNDS["cancel_ms"] / 1000
    late = [start for start in world.platform.starts if start[2].startswith(job) and start[0] > limit]
    return [f"UNASKED: {task} starts on {executor} {at - acked:.1f} s after the ack ({status}) of its cancelling"
            for at, executor, task, _, _ in late]


if __name__ == "__main__":
    main(HERE, case, agents=5)
