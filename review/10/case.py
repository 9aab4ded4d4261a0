"""A config gives a queue to another service, and the executor of the former service leaves."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "world3"))
from world import CannotRun, Executor, config, main, new_id  # noqa: E402

HOST, PREFIX, OLD, NEW = "nony24.example", "/lohu930/", "huvo11a", "wexa73c"
WATCH_S = 25.0


def case(world, trouble):
    world.configure(config(1, [("r-1", HOST, PREFIX, OLD)], [OLD, NEW]))
    for index, agent in enumerate(world.agents):
        executor = Executor(world, agent, OLD if index == 0 else NEW)
        world.executors.append(executor)
        executor.begin()
    world.wait_ready()
    entry = world.entries[0]
    lasting = [{"count": 2, "cpu": 500, "mem_mb": 256, "persistent": True}]
    steps = [{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 1500, "checkpoint": True},
             {"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 1500, "after_rev": [0]}]
    watch, chain = new_id(), new_id()
    world.submit_until_accepted(entry, HOST, PREFIX, watch, "[0]", lasting)
    world.submit_until_accepted(entry, HOST, PREFIX, chain, "[8.0, 1.5]", steps)
    deadline = time.monotonic() + 15
    while len({start[2] for start in world.platform.starts}) < 4:
        if time.monotonic() > deadline:
            raise CannotRun("the tasks do not start")
        time.sleep(0.1)
    if trouble:
        world.configure(config(2, [("r-1", HOST, PREFIX, NEW)], [OLD, NEW]))
        # Well after config_apply_ms, and in a calm time.
        time.sleep(4)
        probe = new_id()
        world.submit_until_accepted(entry, HOST, PREFIX, probe, "[0.5]", [steps[0]])
        time.sleep(2)
        ran = {at for _, at, task, _, _ in world.platform.starts if task.startswith(probe)}
        if not ran or ran & {world.executors[0].id}:
            raise CannotRun("the new service does not run new work")
        world.executors[0].drain_and_leave(2.5)
    left = world.record.now()
    time.sleep(WATCH_S)
    states = {job: world.state(entry, HOST, PREFIX, job) for job in (watch, chain)}
    world.record.write(f"client: GET {states}")
    # LOST: a task whose turn has come has nothing running for 3 s, though there is room for it; a
    # task that lasts, from 6 s after its last run. Counted from when the executor has left.
    breaks = []
    running = {run.task for executor in world.executors if executor.up
               for run in executor.running.values()}
    ended = {task for _, _, task, _, how in world.platform.ends if how == "done"}
    for task in (f"{watch}.0.0.0", f"{watch}.0.0.1"):
        last = max([0.0] + [at for at, _, name, _, _ in world.platform.ends if name == task])
        if task not in running and world.record.now() - max(last, left) > 6 + 3:
            breaks.append(f"LOST: {task}, which lasts, is shown as {states[watch]} and has not run since "
                          f"{last:.1f} s, with all of {NEW} free")
    if states[chain] != "completed":
        missing = [f"{chain}.0.{step}.{index}" for step in (0, 1) for index in (0, 1)
                   if f"{chain}.0.{step}.{index}" not in ended]
        if not any(task in running for task in missing):
            breaks.append(f"LOST: {chain} is shown as {states[chain]}; {missing} have not been done, "
                          f"nothing of it runs, with all of {NEW} free")
    return breaks


if __name__ == "__main__":
    main(HERE, case, agents=7)
