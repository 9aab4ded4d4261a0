"""An executor with one member of a gang crashes after the gang has saved its progress."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "world3"))
from world import BOUNDS, CannotRun, Executor, config, main, new_id  # noqa: E402

HOST, PREFIX, SERVICE = "nony24.example", "/lohu930/", "huvo11a"
MEMBERS, WORK_S, DOWN_S, CRASHES, WATCH_S = 4, 11.0, 1.5, 3, 30.0
# Shortly after the gang has saved for the second time.
CRASH_AT_S = 2 * BOUNDS["save_s"] + 0.2


def brought(world):
    """Returns what the members of each run bring: run to task to checkpoint."""
    runs = {}
    for _, _, task, run, checkpoint in world.platform.asked:
        runs.setdefault(run, {})[task] = checkpoint
    return runs


def differ(checkpoints):
    return len(set(checkpoints.values())) > 1


def wait_for_gang(world, after, give_up_s=15):
    """Waits for a run of the gang above `after` whose members are all present. Returns its number."""
    deadline = time.monotonic() + give_up_s
    while time.monotonic() < deadline:
        with world.platform.lock:
            for (_, _, _, run), gang in world.platform.gangs.items():
                if run > after and gang["complete_at"] is not None:
                    return run
            if any(differ(checkpoints) for checkpoints in brought(world).values()):
                return None
        time.sleep(0.02)
    raise CannotRun("the gang does not start")


def case(world, trouble):
    world.configure(config(1, [("r-1", HOST, PREFIX, SERVICE)], [SERVICE]))
    for agent in world.agents:
        executor = Executor(world, agent, SERVICE, cpu=1000)
        world.executors.append(executor)
        executor.begin()
    world.wait_ready()
    entry = world.entries[0]
    job = new_id()
    steps = [{"count": MEMBERS, "cpu": 800, "mem_mb": 256, "estimate_ms": int(WORK_S * 1000), "gang": True,
              "checkpoint": True}]
    world.submit_until_accepted(entry, HOST, PREFIX, job, f"[{WORK_S}]", steps)
    run, crashes, crashed = wait_for_gang(world, 0), 0, world.record.now()
    while trouble and run is not None and crashes < CRASHES:
        time.sleep(CRASH_AT_S)
        executor = next(executor for executor in world.executors if executor.running)
        crashed = world.record.now()
        executor.crash()
        crashes += 1
        time.sleep(DOWN_S)
        executor.begin()
        run = wait_for_gang(world, run)
    calm = world.record.now() + BOUNDS["contact_ms"] / 1000
    until, state = time.monotonic() + WATCH_S, None
    while time.monotonic() < until and state != "completed":
        state = world.state(entry, HOST, PREFIX, job)
        time.sleep(0.5)
    world.record.write(f"client: GET {job}: {state}")
    for run, checkpoints in sorted(brought(world).items()):
        world.record.write(f"run {run} brings {checkpoints}")
    unlike = [run for run, checkpoints in sorted(brought(world).items()) if differ(checkpoints)]
    if unlike:
        world.record.write(f"runs whose members bring unlike checkpoints: {unlike}")
    breaks = []
    for at, _, task, run, how in world.platform.ends:
        if how == "alone" and at > calm + BOUNDS["gang_ms"] / 1000:
            breaks.append(f"GANG: {task} run {run} ends alone {at - crashed:.1f} s after the last crash")
    if breaks and state != "completed":
        breaks.append(f"LOST: {job} is shown as {state} {world.record.now() - crashed:.0f} s after the last "
                      f"crash, with all executors up and free")
    return breaks


if __name__ == "__main__":
    main(HERE, case, agents=7)
