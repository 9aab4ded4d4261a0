"""A liveness report of another writer arrives at an agent whose executor hangs for some seconds.

Three executors run the tasks of one submission. Another writer beats at the agent of one of them,
every `heartbeat_ms`, for an executor of a service that no config names, at an address where nothing
listens. Then that agent's executor hangs: for 5.5 s it answers no call and does none; it goes on
beating, and what it has runs on until its lease ends.
"""

import json
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import pond  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# For a look at either disruption alone: `writer` or `hang`.
ONLY = os.environ.get("ONLY", "")
HEARTBEAT_S = 1.1
HANG_S = 5.5
JOB = "5c0e7a21d94b36f8"
TASKS = 12
TASK_S = 30.0
NOTHING_LISTENS = 7609


class Foreign:
    """The other writer: its reports name no executor to use."""

    def __init__(self, agent, record):
        self.agent, self.record = agent, record
        self.began, self.sequence = time.monotonic(), 0
        self.born = int(time.time() * 1000)
        self.next_at = time.monotonic()
        self.ended = threading.Event()
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while not self.ended.is_set():
            self.sequence += 1
            body = {
                "service": "another-service", "address": "%s:%d" % (self.agent.ip, NOTHING_LISTENS),
                "zone": self.agent.zone, "version": "v1", "slots": 8, "state": "ready",
                "cold_remaining_ms": 0, "capacity": {"cpu": 1000, "mem_mb": 1000, "gpu": 0},
                "labels": ["a", "r9-9"], "clock_ms": int((time.monotonic() - self.began) * 1000) + 1000,
                "sequence": self.sequence, "born": self.born,
            }
            status, _, _ = pond.call(
                self.agent.ip, pond.CONTROL_PORT, "PUT", "/executors/i-foreign", json.dumps(body)
            )
            self.record.note("report %d of another writer: %s" % (self.sequence, status or "no answer"))
            self.next_at += HEARTBEAT_S
            time.sleep(max(0.0, self.next_at - time.monotonic()))


class Executor(pond.Executor):
    """An executor that can hang."""

    RUN_S = TASK_S

    def __init__(self, agent, number, record):
        self.hang_until = 0.0
        self.intervals = []
        super().__init__(agent, number, record)

    def hangs(self):
        return time.monotonic() < self.hang_until

    def answer(self, path, body):
        if self.wait_while_hanging():
            return 503, None
        status, answer = super().answer(path, body)
        # An answer that is not on its way when the executor begins to hang does not leave.
        return (503, None) if self.wait_while_hanging() else (status, answer)

    def wait_while_hanging(self):
        """Waits until the executor hangs no more. Returns whether it did."""
        hung = self.hangs()
        while self.hangs():
            time.sleep(0.05)
        return hung

    def start(self, task, run, checkpoint):
        status, answer = super().start(task, run, checkpoint)
        with_run = self.running.get(task)
        if status == 200 and with_run and not self.is_open(task, run):
            self.intervals.append([task, run, time.monotonic(), None])
        return status, answer

    def is_open(self, task, run):
        return any(i[0] == task and i[1] == run and i[3] is None for i in self.intervals)

    def end(self, task, how):
        run = self.running[task][0]
        super().end(task, how)
        for interval in self.intervals:
            if interval[0] == task and interval[1] == run and interval[3] is None:
                interval[3] = time.monotonic()


def overlaps(executors, record):
    """Tasks that ran on two executors at the same time."""
    now, found = time.monotonic(), 0
    rows = []
    for executor in executors:
        with executor.changed:
            rows += [(t, r, a, b or now, executor.id) for t, r, a, b in executor.intervals]
    for i, (task, run, began, ended, at) in enumerate(rows):
        for other_task, other_run, other_began, other_ended, other_at in rows[i + 1 :]:
            common = min(ended, other_ended) - max(began, other_began)
            if task == other_task and at != other_at and common > 0:
                found += 1
                record.note(
                    "%s: run %d on %s and run %d on %s at the same time, for %.0f ms"
                    % (task, run, at, other_run, other_at, common * 1000)
                )
    return found


def check(record):
    site = pond.Site(controls=3, entries=1, agents=3, bounds=pond.KLINST_PAY)
    executors, foreign = [], None
    try:
        site.start()
        executors = [Executor(agent, i + 1, record) for i, agent in enumerate(site.agents)]
        if pond.put_configuration(site, 1, time.monotonic() + 20, record) is None:
            raise pond.CannotRun("the first config was not acknowledged")
        time.sleep(2.5)
        submit(site, record)
        until = time.monotonic() + 15
        victim = executors[0]
        while time.monotonic() < until and sum(len(e.running) for e in executors) < TASKS:
            time.sleep(0.05)
        record.note("tasks at work: %s" % ", ".join("%s %d" % (e.id, len(e.running)) for e in executors))
        if not victim.running:
            raise pond.CannotRun("no task runs on the executor that is to hang")
        if TROUBLE and ONLY != "hang":
            foreign = Foreign(site.agents[0], record)
        time.sleep(5)
        if TROUBLE and ONLY != "writer":
            victim.hang_until = time.monotonic() + HANG_S
            record.note("%s hangs from now on for %g s" % (victim.id, HANG_S))
        time.sleep(HANG_S + 3)
        return overlaps(executors, record) == 0
    finally:
        if foreign is not None:
            foreign.ended.set()
        for executor in executors:
            executor.hang_until = 0.0
            executor.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.system("cp -r %s %s" % (site.folder, keep))
        site.end()


def submit(site, record):
    steps = [{"count": TASKS, "cpu": 4000, "mem_mb": 256, "estimate_ms": int(TASK_S * 1000)}]
    body = json.dumps({"spec": "x", "steps": steps})
    headers = {"Host": pond.HOST, "Request-Deadline": "3000"}
    for _ in range(10):
        ip = site.entries[0].ip
        status, _, _ = pond.call(ip, pond.FRONT_PORT, "POST", pond.PREFIX + JOB, body, headers, 3.5)
        record.note("submission %s: %s" % (JOB, status or "no answer"))
        if status == 200:
            return
        time.sleep(0.5)
    raise pond.CannotRun("the submission was not accepted")


def main():
    record = pond.Record(os.path.join(FOLDER, "record.txt"))
    record.note("TROUBLE=%d" % TROUBLE)
    try:
        held = check(record)
    except Exception as error:  # anything unforeseen says nothing about the rule
        record.note("cannot run: %r" % error)
        return 2
    record.note("result: the rule %s" % ("held" if held else "was broken"))
    return 0 if held else 1


sys.exit(main())
