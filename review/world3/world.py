"""A small deployment on loopback: the project's own programs as separate processes, and stand-ins
for clients, executors and the operator that follow the users' pages. Standard library only.

Every machine has a loopback address of its own; ports are the same on every machine.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
FRONT, READY, CONTROL, APP, INTERNAL = 8161, 8167, 8166, 8080, (7720, 7735)
HELD, BROKEN, CANNOT_RUN = 0, 1, 2

# The figures of dfps-west, as on its sheet.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_timeout_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "max_stretch_ms": 5000, "recovery_s": 12, "max_hold_ms": 6000,
    "stop_ms": 200, "gang_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
    "finish_s": 14, "status_s": 120, "far_x": 1.5, "save_s": 2, "restore_ms": 100,
    "notice_ms": 4500, "move_s": 1.5, "upkeep_s": 2, "require_fence": "false", "lease_ms": 3000,
    "thaw_slack_ms": 300, "pace_ms": 100, "harm_ms": 4000,
}


class CannotRun(Exception):
    """The case could not run: it shows nothing about the rule."""


class Record:
    """What was sent, answered and run, with the time in seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f}  {text}\n")
            self.file.flush()


def free_network():
    """Returns the first three octets of a loopback network on which all ports are free."""
    for _ in range(50):
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for host in (1, 50):
                for port in (FRONT, READY, CONTROL, APP, INTERNAL[0], 9464):
                    with socket.socket() as probe:
                        probe.bind((f"{network}.{host}", port))
            return network
        except OSError:
            continue
    raise CannotRun("no free loopback network")


class Process:
    """One of the project's programs on a machine of its own."""

    def __init__(self, world, role, host, zone, serves):
        self.world, self.role, self.zone, self.serves = world, role, zone, serves
        self.ip = f"{world.network}.{host}"
        self.name = f"{role}-{zone}-{host}"
        self.folder = os.path.join(world.folder, self.name)
        self.child, self.starts = None, 0

    def settings(self):
        first = self.starts == 0 and self.world.bootstrap
        lines = {
            "node": self.name, "role": self.role, "serves": self.serves, "ip": self.ip,
            "machine_class": {"entry": "front", "agent": "side", "control": "core"}[self.role],
            "zone": self.zone, "region": "r", "zones.a": "r", "zones.b": "r", "zones.c": "r",
            "internal_ports": f"{INTERNAL[0]},{INTERNAL[1]}",
            "seeds": ",".join(f"{c.ip}:{CONTROL}" for c in self.world.controls[:3]),
            "bootstrap": str(first).lower(), "counts_as_loss": str(self.role == "control").lower(),
            "limits.cpu_share": 0.5, "limits.cores": 1, "limits.memory_mb": 256,
            "limits.max_fds": 4096, "limits.link_mbps": 1000.0, "limits.disk_mb": 128,
            "discovery": "local", "entry": "vip", "heartbeat_ms": 1100,
            "contracts": "base,drain,config,cost,recover,sched,advice,upkeep,sharing",
            "fault_tolerance.machines": 1, "fault_tolerance.zones": 0,
            "fault_tolerance.regions": 0, "config_mode": "highest", "orders": "call",
        }
        lines.update({f"bounds.{name}": value for name, value in BOUNDS.items()})
        if self.role == "entry":
            lines["listen.front"] = f"{self.ip}:{FRONT}"
            lines["listen.readiness"] = f"{self.ip}:{READY}"
        else:
            lines["listen.control"] = f"{self.ip}:{CONTROL}"
        if self.role == "control":
            lines["data_dir"] = os.path.join(self.folder, "data")
        return "".join(f"{name}={value}\n" for name, value in lines.items())

    def start(self):
        os.makedirs(os.path.join(self.folder, "data"), exist_ok=True)
        path = os.path.join(self.folder, "node.conf")
        with open(path, "w") as file:
            file.write(self.settings())
        self.starts += 1
        log = open(os.path.join(self.folder, f"log-{self.starts}"), "w")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["PONDBAY_CONFIG"] = path
        words = self.world.commands[self.role].split()
        self.child = subprocess.Popen(words, cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                      stdout=log, stderr=subprocess.STDOUT)
        self.world.record.write(f"{self.name} {self.ip} started")

    def signal(self, number):
        self.world.record.write(f"{self.name} gets {signal.Signals(number).name}")
        self.child.send_signal(number)

    def end(self):
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
            self.child.wait()
        self.child = None


def deploy_commands():
    """Reads the commands of the deploy file: role to words."""
    commands, role = {}, None
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        for line in file:
            line = line.strip()
            if line.startswith("["):
                role = line[len("[roles."):-1] if line.startswith("[roles.") else None
            elif role and line.replace(" ", "").startswith("run="):
                commands[role] = line.split('"')[1]
    return commands


def call(address, method, path, body=None, headers=None, timeout=1.0):
    """Makes one call. Returns the status, the headers and the body, or None without an answer."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        data = None if body is None else json.dumps(body)
        headers = dict(headers or {})
        if data is not None:
            headers["Content-Type"] = "application/json"
        connection.request(method, path, data, headers)
        answer = connection.getresponse()
        text = answer.read()
        headers = {name.lower(): value for name, value in answer.getheaders()}
        return answer.status, headers, text
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Platform:
    """What all executors share: sizes of tasks, their durations, and the gangs."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.RLock()
        # Steps by job: what a client has sent.
        self.jobs = {}
        self.executors = []
        # (time, executor, task, run, checkpoint) of each start; (time, executor, task, run, how) of each end.
        self.starts, self.ends = [], []
        # (time, executor, task, run, checkpoint) of each call to start a run that is not there.
        self.asked = []
        # Gangs by (job, time, step, run): members that are present, and when the last one came.
        self.gangs = {}
        # Tells whether a run of a task fails by its own fault, at the end of its work.
        self.fails = lambda task, run: False

    def step(self, task):
        job, _, step, _ = task.split(".")
        found = self.jobs.get(job)
        return found["steps"][int(step)] if found else {}

    def duration_s(self, task):
        """The work of a task, which the client has put into the text: seconds by step."""
        job, _, step, _ = task.split(".")
        return json.loads(self.jobs[job]["spec"])[int(step)]


class Run:
    def __init__(self, task, number, checkpoint, now):
        self.task, self.number = task, number
        self.begun = now
        self.saved_s = int(checkpoint[:8], 16) / 1000 if checkpoint else 0.0
        self.base_s = self.saved_s
        self.checkpoint = self.brought = checkpoint


class Executor:
    """An executor on a side machine. It follows PROTOCOL.md, "Running tasks"."""

    def __init__(self, world, agent, service, cpu=16000, mem=65536, labels=("a", "r1"), guards=True):
        self.world, self.agent, self.service = world, agent, service
        self.platform, self.record = world.platform, world.record
        self.cpu, self.mem, self.labels, self.guards = cpu, mem, list(labels), guards
        self.lock = threading.Condition(self.platform.lock)
        self.life = 0
        self.up = False
        self.state = "ready"
        self.server = None

    # Lives.
    def begin(self):
        with self.lock:
            self.life += 1
            self.id = f"i-{random.getrandbits(32):08x}"
            self.clock_zero = time.monotonic() - random.randint(5, 50)
            self.sequence, self.token, self.lease_end, self.number = 0, 0, 0, 0
            self.running, self.refused, self.unseen = {}, {}, []
            self.up, self.state, self.acked_draining = True, "ready", None
        executor = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers.get("Content-Length", 0))) or b"{}")
                executor.calls.connection = self.connection
                status, answer = executor.answer(self.path, self.headers.get("Target-Instance"), body)
                if status is None:
                    self.close_connection = True
                    return
                data = json.dumps(answer).encode() if answer is not None else b""
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def log_message(self, *_):
                pass

            def handle(self):
                try:
                    super().handle()
                except OSError:
                    pass

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

        self.connections = []
        # The connection of the call that a thread answers.
        self.calls = threading.local()
        self.server = Server((self.agent.ip, APP), Handler)
        original = self.server.get_request

        def get_request():
            connection, peer = original()
            self.connections.append(connection)
            return connection, peer

        self.server.get_request = get_request
        threading.Thread(target=self.server.serve_forever, args=(0.02,), daemon=True).start()
        threading.Thread(target=self._beat, args=(self.life,), daemon=True).start()
        threading.Thread(target=self._tick, args=(self.life,), daemon=True).start()
        self.record.write(f"executor {self.id} of {self.service} is up on {self.agent.name}")

    def crash(self, how="crashes"):
        """Ends this life at once; nothing is said, and all that runs is gone."""
        with self.lock:
            self.up = False
            self.life += 1
            gone = list(self.running.values())
            self.running = {}
            self.record.write(f"executor {self.id} {how} with {[(r.task, r.number) for r in gone]}")
            for run in gone:
                self.platform.ends.append((self.record.now(), self.id, run.task, run.number, "gone"))
                self._gang_lost(run)
            self.lock.notify_all()
        self.server.shutdown()
        self.server.server_close()
        for connection in self.connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            connection.close()

    def drain_and_leave(self, serves_on_s):
        """Says `draining`, serves on for a while after the ack, says goodbye and ends."""
        with self.lock:
            self.state = "draining"
            self.leaves_at = time.monotonic() + serves_on_s + 1.2
        self.record.write(f"executor {self.id} drains")
        self._beat_once()
        time.sleep(serves_on_s)
        status = call((self.agent.ip, CONTROL), "DELETE", f"/executors/{self.id}")
        self.record.write(f"executor {self.id} deregisters: {status and status[0]}")
        self.crash("leaves")

    def clock_ms(self):
        return int((time.monotonic() - self.clock_zero) * 1000)

    def _beat(self, life):
        while True:
            with self.lock:
                if not self.up or self.life != life:
                    return
            self._beat_once()
            time.sleep(1.1)

    def _beat_once(self):
        with self.lock:
            self.sequence += 1
            body = {
                "service": self.service, "address": f"{self.agent.ip}:{APP}", "zone": self.agent.zone,
                "version": "v1", "slots": 8, "state": self.state, "cold_remaining_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": self.mem, "gpu": 0}, "labels": self.labels,
                "clock_ms": self.clock_ms(), "sequence": self.sequence,
            }
            if self.state == "draining":
                body["remaining_ms"] = max(0, int((self.leaves_at - time.monotonic()) * 1000))
            identity = self.id
        answer = call((self.agent.ip, CONTROL), "PUT", f"/executors/{identity}", body)
        if answer and answer[0] // 100 == 2 and body["state"] == "draining" and not self.acked_draining:
            self.acked_draining = self.record.now()
            self.record.write(f"executor {identity} has its ack for draining")

    # Time.
    def _tick(self, life):
        while True:
            time.sleep(0.01)
            with self.lock:
                if not self.up or self.life != life:
                    return
                if self.running and self.clock_ms() >= self.lease_end:
                    for run in list(self.running.values()):
                        # The end of a member also ends the others of its gang here.
                        if self.running.get(run.task) is run:
                            self._end(run, "lapsed")
                for run in list(self.running.values()):
                    if self.running.get(run.task) is run:
                        self._advance(run)

    def _advance(self, run):
        step = self.platform.step(run.task)
        now = time.monotonic()
        if step.get("gang"):
            gang = self.platform.gangs.get(self._gang(run))
            if gang is None or run.task not in gang["members"]:
                return
            if gang["complete_at"] is None:
                if now - gang["first_at"] > BOUNDS["gang_ms"] / 1000:
                    self._end(run, "alone")
                return
            begun, base = gang["complete_at"], gang["base_s"]
        else:
            begun, base = run.begun, run.base_s
        worked = base + now - begun
        if step.get("checkpoint"):
            save = BOUNDS["save_s"]
            saved = max(base, int(worked / save) * save)
            if saved > run.saved_s:
                run.saved_s = saved
                # As in the example of PROTOCOL.md: milliseconds of work, and a part of the id.
                run.checkpoint = f"{int(saved * 1000):08x}{run.task[4:12]}"
        if step.get("persistent"):
            return
        if worked >= self.platform.duration_s(run.task) / 2 and self.platform.fails(run.task, run.number):
            self._end(run, "failed")
            return
        if worked >= self.platform.duration_s(run.task):
            self._end(run, "done")
            if step.get("gang"):
                for executor, other in gang["at"]:
                    if other is not run and executor.running.get(other.task) is other:
                        executor._end(other, "done")

    def _gang(self, run):
        job, k, step, _ = run.task.split(".")
        return job, k, step, run.number

    def _gang_join(self, run):
        key = self._gang(run)
        now = time.monotonic()
        gang = self.platform.gangs.setdefault(
            key, {"members": set(), "at": [], "first_at": now, "complete_at": None, "base_s": 0.0})
        gang["members"].add(run.task)
        gang["at"].append((self, run))
        if len(gang["members"]) == self.platform.step(run.task)["count"]:
            gang["complete_at"] = now
            gang["base_s"] = max(r.base_s for _, r in gang["at"])

    def _gang_lost(self, run):
        """One member has ended without being done: the others are broken."""
        gang = self.platform.gangs.get(self._gang(run))
        if gang is None or not self.platform.step(run.task).get("gang"):
            return
        for executor, other in gang["at"]:
            if other is not run and executor.up and executor.running.get(other.task) is other:
                executor._end(other, "broken")

    def _end(self, run, how):
        del self.running[run.task]
        self.number += 1
        saved = run.checkpoint if how != "done" else ""
        self.unseen.append([self.number, run.task, run.number, how, saved])
        self.refused[run.task] = max(self.refused.get(run.task, 0), run.number)
        self.platform.ends.append((self.record.now(), self.id, run.task, run.number, how))
        self.record.write(f"executor {self.id}: {run.task} run {run.number} ends: {how} {saved}")
        if how in ("lapsed", "stopped", "failed"):
            self._gang_lost(run)
        self.lock.notify_all()

    # Calls.
    def answer(self, path, target, body):
        with self.lock:
            if not self.up or target != self.id:
                return 421, {}
            token = body.get("fence_token", 0)
            if token < self.token:
                return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
            self.token = token
            if path == "/run-start":
                return self._start(body)
            if path == "/run-stop":
                return self._stop(body)
            if path == "/hold":
                return self._hold(body)
            if path == "/pace":
                return 200, {"clock_ms": self.clock_ms()}
            return 400, {"clock_ms": self.clock_ms()}

    def _extend(self, body):
        until = min(body.get("until_ms", 0), self.clock_ms() + BOUNDS["max_hold_ms"])
        self.lease_end = max(self.lease_end, until)

    def _start(self, body):
        task, number = body["task"], body["run"]
        refuse = lambda reason: (409, {"clock_ms": self.clock_ms(), "reason": reason})
        there = self.running.get(task)
        if there is not None and there.number == number:
            self._extend(body)
            return 200, {"clock_ms": self.clock_ms()}
        if number <= self.refused.get(task, 0) or there is not None:
            self._extend(body)
            return refuse("old")
        step = self.platform.step(task)
        checkpoint = body.get("last_checkpoint", "")
        self.platform.asked.append((self.record.now(), self.id, task, number, checkpoint))
        if step.get("gang"):
            # All members of a run must bring the same checkpoint.
            gang = self.platform.gangs.get(self._gang(Run(task, number, checkpoint, 0)))
            if gang is not None and gang["at"][0][1].brought != checkpoint:
                self._extend(body)
                self.record.write(f"executor {self.id} answers 400 to {task} run {number} {checkpoint}: the "
                                  f"gang has {gang['at'][0][1].brought}")
                return 400, {"clock_ms": self.clock_ms()}
        if self.guards:
            size = lambda t, what: 0 if what == "cpu" and self.platform.step(t).get("fills") else \
                self.platform.step(t).get(what, 0)
            for what, limit in (("cpu", self.cpu), ("mem_mb", self.mem)):
                if sum(size(t, what) for t in self.running) + step.get(what, 0) > limit:
                    self._extend(body)
                    return refuse("room")
        self._extend(body)
        if self.lease_end <= self.clock_ms():
            return refuse("late")
        run = Run(task, number, checkpoint, time.monotonic())
        self.running[task] = run
        self.platform.starts.append((self.record.now(), self.id, task, number, run.checkpoint))
        self.record.write(f"executor {self.id} starts {task} run {number} {run.checkpoint}")
        if step.get("gang"):
            self._gang_join(run)
        return 200, {"clock_ms": self.clock_ms()}

    def _stop(self, body):
        task, number = body["task"], body["run"]
        self.refused[task] = max(self.refused.get(task, 0), number)
        there = self.running.get(task)
        if there is not None and there.number <= number:
            self._end(there, "stopped")
        return 200, {"clock_ms": self.clock_ms()}

    def _hold(self, body):
        self._extend(body)
        last = body.get("last_seen", 0)
        self.unseen = [row for row in self.unseen if row[0] > last]
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        life = self.life
        while not self.unseen and self.life == life and time.monotonic() < until:
            self.lock.wait(until - time.monotonic())
        if self.life != life:
            return 421, {}
        rows = []
        for run in self.running.values():
            percent = 100
            if not self.platform.step(run.task).get("persistent"):
                worked = run.base_s + time.monotonic() - run.begun
                percent = min(99, int(100 * worked / max(0.001, self.platform.duration_s(run.task))))
            rows.append([run.task, run.number, run.checkpoint, percent, 0])
        return 200, {"clock_ms": self.clock_ms(), "running": rows, "ended_at": self.unseen[:500]}


class World:
    """A deployment: control replicas, entries, and agents with an executor each."""

    def __init__(self, record, controls=3, entries=2, agents=3):
        self.record = Record(record)
        self.folder = tempfile.mkdtemp(prefix="pondbay-review-")
        self.network = free_network()
        self.bootstrap = True
        self.commands = deploy_commands()
        self.platform = Platform(self.record)
        zones = ("a", "b", "c")
        self.controls, self.entries, self.agents = [], [], []
        for i in range(controls):
            self.controls.append(Process(self, "control", 1 + i, zones[i % 3], "control"))
        for i in range(entries):
            self.entries.append(Process(self, "entry", 20 + i, zones[i % 3], "front"))
        for i in range(agents):
            self.agents.append(Process(self, "agent", 50 + i, zones[i % 3], "side"))
        self.executors = []

    def start(self):
        program = os.path.join(ROOT, self.commands["control"].split()[0])
        if not os.path.exists(program):
            raise CannotRun("the program is not built")
        for process in self.controls + self.entries + self.agents:
            process.start()

    def end(self):
        for executor in self.executors:
            if executor.up:
                executor.up = False
        for process in self.controls + self.entries + self.agents:
            process.end()
        for executor in self.executors:
            if executor.server is not None:
                executor.server.server_close()
        shutil.rmtree(self.folder, ignore_errors=True)

    # The operator.
    def configure(self, config, give_up_s=20):
        """Sends a config until it is acknowledged, to any node that serves control."""
        deadline = time.monotonic() + give_up_s
        while time.monotonic() < deadline:
            address = (random.choice(self.controls).ip, CONTROL)
            for _ in range(3):
                answer = call(address, "PUT", "/config", config)
                if answer is None or answer[0] != 307:
                    break
                host, port = answer[1]["location"].split("/")[2].split(":")
                address = (host, int(port))
            if answer is not None and answer[0] == 200:
                self.record.write(f"operator: config {config['version']} is acknowledged")
                return
            time.sleep(0.2)
        raise CannotRun("the config is not acknowledged")

    def wait_ready(self, give_up_s=20):
        deadline = time.monotonic() + give_up_s
        for entry in self.entries:
            while (call((entry.ip, READY), "GET", "/readiness") or (0,))[0] != 200:
                if time.monotonic() > deadline:
                    raise CannotRun("an entry does not get ready")
                time.sleep(0.1)

    # Clients.
    def submit(self, entry, host, prefix, job, spec, steps, timeout=3.0, **more):
        body = {"spec": spec, "steps": steps, **more}
        self.platform.jobs[job] = body
        answer = call((entry.ip, FRONT), "POST", prefix + job, body,
                      {"Host": host, "Request-Deadline": "3000"}, timeout)
        status = answer and answer[0]
        self.record.write(f"client: POST {job} at {entry.name}: {status}")
        return status

    def submit_until_accepted(self, entry, host, prefix, job, spec, steps, give_up_s=20, **more):
        deadline = time.monotonic() + give_up_s
        while time.monotonic() < deadline:
            if self.submit(entry, host, prefix, job, spec, steps, **more) == 200:
                return
            time.sleep(0.3)
        raise CannotRun("a submission is not accepted")

    def state(self, entry, host, prefix, job):
        answer = call((entry.ip, FRONT), "GET", prefix + job, None,
                      {"Host": host, "Request-Deadline": "3000"}, 3.0)
        if answer is None:
            return None
        return json.loads(answer[2])["state"] if answer[0] == 200 else answer[0]

    def cancel(self, entry, host, prefix, job):
        answer = call((entry.ip, FRONT), "DELETE", prefix + job, None,
                      {"Host": host, "Request-Deadline": "3000"}, 3.0)
        status = answer and answer[0]
        self.record.write(f"client: DELETE {job} at {entry.name}: {status}")
        return status


def config(version, routes, services):
    """A config as in PROTOCOL.md. Routes: (name, host, prefix, service); services: names."""
    return {
        "version": version,
        "routes": [{"name": name, "host": host, "path_prefix": prefix, "type": "unsafe",
                    "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 0, "service": service,
                    "max_attempts": 3, "stretch": 2.0} for name, host, prefix, service in routes],
        "services": [{"name": name, "health_path": "/health", "max_connections": 64,
                      "protocol": "h1", "tls": False, "admission_check": True, "spare": False}
                     for name in services],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
    }


def new_id():
    return f"{random.getrandbits(64):016x}"


def main(folder, case, **size):
    """Runs a case: case(world, trouble) returns the list of breaks. Exits with 1 if the rule was broken, 0 if
    it held, and 2 if the case could not run, also after an error of a stand-in."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = os.environ.get("RECORD", os.path.join(folder, "record.txt"))
    code, world = CANNOT_RUN, None
    stop = lambda *_: sys.exit(CANNOT_RUN)
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    signal.signal(signal.SIGALRM, stop)
    signal.alarm(115)
    try:
        world = World(record, **size)
        world.record.write(f"trouble: {trouble}")
        world.start()
        breaks = case(world, trouble)
        for line in breaks:
            world.record.write(f"BROKEN {line}")
            print(line)
        code = BROKEN if breaks else HELD
    except CannotRun as error:
        print(f"cannot run: {error}")
        if world is not None:
            world.record.write(f"cannot run: {error}")
    except BaseException:
        text = traceback.format_exc()
        print(text)
        if world is not None:
            world.record.write(f"cannot run: {text.splitlines()[-1]}")
    finally:
        try:
            if world is not None:
                if os.environ.get("KEEP"):
                    shutil.copytree(world.folder, os.environ["KEEP"], dirs_exist_ok=True)
                world.end()
                world.record.write(f"exit {code}")
        finally:
            sys.stdout.flush()
            os._exit(code)
