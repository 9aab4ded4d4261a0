"""Starts pondbay's programs on loopback addresses, and stand-ins for the platform around them.

The programs are started with the commands of deploy/system.toml. Every machine has an address of
its own in 127.0.0.0/8. All files lie in a temporary folder, which is removed at the end, and all
processes that were started are ended, by their process id.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
CONTROL_PORT = 7601
FRONT_PORT = 7602
READINESS_PORT = 7603
EXECUTOR_PORT = 7604
INTERNAL_PORTS = "7610,7625"
METRICS_PORT = 9464

# Bounds of the sites, from their sheets in SYSTEM.md. They differ in these.
DFPS_WEST = {"max_hold_ms": 6000, "stop_ms": 200, "save_s": 2, "site": "dfps-west"}
KLINST_PAY = {"max_hold_ms": 10000, "stop_ms": 400, "save_s": 0.5, "site": "klinst-pay"}
COMMON_BOUNDS = """bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_timeout_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_stretch_ms=5000
bounds.recovery_s=12
bounds.gang_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.far_x=1.5
bounds.restore_ms=100
bounds.notice_ms=4500
bounds.move_s=1.5
bounds.upkeep_s=2
bounds.require_fence=false
bounds.lease_ms=3000
bounds.thaw_slack_ms=300
bounds.pace_ms=100
bounds.harm_ms=4000
"""


def end_with_cleanup(*_):
    raise SystemExit(2)


# A script that is stopped from outside ends its processes, too.
signal.signal(signal.SIGTERM, end_with_cleanup)


class CannotRun(Exception):
    """The case could not be run; nothing is known about the rule."""


class Record:
    """Writes what was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def note(self, text):
        with self.lock:
            self.file.write("%9.3f  %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()


def run_command(role):
    """Returns the command of a role in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        section = ""
        for line in file:
            line = line.strip()
            if line.startswith("["):
                section = line.strip("[]")
            elif section == "roles." + role and line.startswith("run"):
                return line.split("=", 1)[1].strip().strip('"').split()
    raise CannotRun("the deploy file has no role " + role)


def free_network():
    """Returns the first three bytes of a loopback network in which the ports are free."""
    for _ in range(50):
        network = "127.%d.%d." % (random.randint(20, 250), random.randint(1, 250))
        try:
            for port in (CONTROL_PORT, FRONT_PORT, 7610, METRICS_PORT):
                with socket.socket() as probe:
                    probe.bind((network + "1", port))
            return network
        except OSError:
            continue
    raise CannotRun("no free loopback network was found")


class Machine:
    """One machine with one of pondbay's processes."""

    def __init__(self, site, role, number, zone):
        self.site, self.role, self.zone = site, role, zone
        self.name = "%s-%d" % (role, number)
        self.ip = site.network + str(len(site.machines) + 1)
        self.folder = os.path.join(site.folder, self.name)
        os.makedirs(os.path.join(self.folder, "data"))
        self.child = None
        self.starts = 0

    def settings(self):
        classes = {"control": "core", "entry": "front", "agent": "side"}
        serves = {"control": "control", "entry": "front", "agent": "side"}
        lines = [
            "node=" + self.name,
            "role=" + self.role,
            "machine_class=" + classes[self.role],
            "serves=" + serves[self.role],
            "ip=" + self.ip,
            "zone=" + self.zone,
            "region=r",
            "zones.z1=r",
            "zones.z2=r",
            "zones.z3=r",
            "internal_ports=" + INTERNAL_PORTS,
            "seeds=" + ",".join("%s:%d" % (ip, CONTROL_PORT) for ip in self.site.seeds()),
            # Only the first start of the whole system, on empty disks, has `true`.
            "bootstrap=" + ("true" if self.starts == 0 else "false"),
            "counts_as_loss=" + ("true" if self.role == "control" else "false"),
            "heartbeat_ms=1100",
            "fault_tolerance.machines=1",
            "orders=call",
        ]
        if self.role == "entry":
            lines.append("listen.front=%s:%d" % (self.ip, FRONT_PORT))
            lines.append("listen.readiness=%s:%d" % (self.ip, READINESS_PORT))
        else:
            lines.append("listen.control=%s:%d" % (self.ip, CONTROL_PORT))
        if self.role == "control":
            lines.append("data_dir=" + os.path.join(self.folder, "data"))
        for name in ("max_hold_ms", "stop_ms", "save_s"):
            lines.append("bounds.%s=%s" % (name, self.site.bounds[name]))
        return "\n".join(lines) + "\n" + COMMON_BOUNDS

    def start(self):
        path = os.path.join(self.folder, "node.conf")
        with open(path, "w") as file:
            file.write(self.settings())
        self.starts += 1
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["PONDBAY_CONFIG"] = path
        log = open(os.path.join(self.folder, "log"), "a")
        command = run_command(self.role)
        self.child = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()

    def signal(self, number):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def wait(self):
        if self.child is not None:
            self.child.wait()


class Site:
    """A small installation."""

    def __init__(self, controls, entries, agents, bounds=None):
        self.bounds = bounds or DFPS_WEST
        binary = os.path.join(ROOT, run_command("control")[0])
        if not os.path.exists(binary):
            raise CannotRun("%s is missing; build the project first" % binary)
        self.network = free_network()
        self.folder = tempfile.mkdtemp(prefix="pondbay-review-")
        self.machines = []
        for role, count in (("control", controls), ("entry", entries), ("agent", agents)):
            for number in range(1, count + 1):
                zone = "z%d" % ((number - 1) % 3 + 1)
                self.machines.append(Machine(self, role, number, zone))
        self.controls = [m for m in self.machines if m.role == "control"]
        self.entries = [m for m in self.machines if m.role == "entry"]
        self.agents = [m for m in self.machines if m.role == "agent"]

    def seeds(self):
        return [m.ip for m in self.machines if m.role == "control"][:3]

    def start(self):
        for machine in self.machines:
            machine.start()

    def kill_core(self):
        """Kills all control processes at the same moment; their disks stay as they are."""
        for machine in self.controls:
            machine.signal(signal.SIGKILL)
        for machine in self.controls:
            machine.wait()

    def end(self):
        for machine in self.machines:
            machine.signal(signal.SIGCONT)
            machine.signal(signal.SIGKILL)
        for machine in self.machines:
            machine.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def call(ip, port, method, path, body=None, headers=None, timeout=1.0):
    """Makes one call. Returns status, body and headers; the status is None without an answer."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        headers = dict(headers or {})
        if body is not None:
            headers["Content-Type"] = "application/json"
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response.status, response.read(), dict(response.getheaders())
    except (OSError, http.client.HTTPException):
        return None, b"", {}
    finally:
        connection.close()


HOST = "queue.example"
PREFIX = "/jobs/"


def configuration(version):
    return json.dumps(
        {
            "version": version,
            "routes": [
                {
                    "name": "r-1", "host": HOST, "path_prefix": PREFIX, "type": "unsafe",
                    "timeout_ms": 3000, "target_latency_ms": 2500, "priority": 0,
                    "service": "finder", "max_attempts": 4, "stretch": 2.0,
                }
            ],
            "services": [
                {
                    "name": "finder", "health_path": "/health", "max_connections": 64,
                    "protocol": "h1", "tls": False, "admission_check": True, "spare": False,
                }
            ],
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 262144,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
            },
        }
    )


def put_configuration(site, version, until, record):
    """Sends a configuration until it is acknowledged, each time to another node, as the operator
    does: it follows two redirects and goes on after a failure, a 5xx or a second without an answer.
    Returns the time of the acknowledgement, or None."""
    attempt, pause = 0, 0.05
    while time.monotonic() < until:
        ip = site.controls[attempt % len(site.controls)].ip
        for _ in range(3):
            status, _, headers = call(ip, CONTROL_PORT, "PUT", "/config", configuration(version))
            if status != 307:
                break
            ip = headers["location"].split("/")[2].split(":")[0]
        if status == 200:
            record.note("config %d acknowledged by %s" % (version, ip))
            return time.monotonic()
        record.note("config %d: %s from %s" % (version, status or "no answer", ip))
        attempt += 1
        time.sleep(pause)
        pause = min(pause * 1.5, 0.5)
    return None


class Executor:
    """An executor with plenty of room that follows PROTOCOL.md: it registers at the agent on its
    machine, runs what it is told, and ends each task `done` after 0.3 s."""

    RUN_S = 0.3

    def __init__(self, agent, number, record):
        self.agent, self.record = agent, record
        self.max_hold_ms = agent.site.bounds["max_hold_ms"]
        self.id = "i-%08x" % (0x1000 + number)
        self.labels = ["a", "r1-%d" % number]
        self.began = time.monotonic()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.fence, self.lease = 0, 0
        self.running, self.ended, self.refused = {}, [], {}
        self.number = 0
        self.changed = threading.Condition()
        self.stopping = False
        executor = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length) or b"{}")
                status, answer = 421, None
                if self.headers.get("Target-Instance") == executor.id:
                    status, answer = executor.answer(self.path, body)
                data = b"" if answer is None else json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def log_message(self, *_):
                pass

        class Server(ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, *_):
                # The agent has left without waiting for the answer.
                pass

        self.server = Server((agent.ip, EXECUTOR_PORT), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.register, daemon=True).start()
        threading.Thread(target=self.work, daemon=True).start()

    def clock(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    def register(self):
        while not self.stopping:
            self.sequence += 1
            body = {
                "service": "finder", "address": "%s:%d" % (self.agent.ip, EXECUTOR_PORT),
                "zone": self.agent.zone, "version": "v1", "slots": 8, "state": "ready",
                "cold_remaining_ms": 0, "capacity": {"cpu": 32000, "mem_mb": 128000, "gpu": 0},
                "labels": self.labels, "clock_ms": self.clock(), "sequence": self.sequence,
                "born": self.born,
            }
            call(self.agent.ip, CONTROL_PORT, "PUT", "/executors/" + self.id, json.dumps(body))
            time.sleep(1.1)

    def end(self, task, how):
        run, saved = self.running[task][0], self.saved(task)
        del self.running[task]
        self.number += 1
        self.refused[task] = max(run, self.refused.get(task, 0))
        self.ended.append([self.number, task, run, how, saved])
        self.record.note("%s: run %d of %s ends %s" % (self.id, run, task, how))
        self.changed.notify_all()

    def work(self):
        while not self.stopping:
            time.sleep(0.02)
            with self.changed:
                lapsed = self.clock() >= self.lease
                for task, (_, until) in list(self.running.items()):
                    if lapsed:
                        self.end(task, "lapsed")
                    elif time.monotonic() >= until:
                        self.end(task, "done")

    def answer(self, path, body):
        with self.changed:
            if body.get("fence_token", 0) < self.fence:
                return 409, {"clock_ms": self.clock(), "reason": "fence"}
            self.fence = body.get("fence_token", 0)
            if path != "/run-stop":
                self.extend_lease(body)
            if path == "/run-start":
                return self.start(body["task"], body["run"], body.get("last_checkpoint", ""))
            if path == "/run-stop":
                self.refused[body["task"]] = max(body["run"], self.refused.get(body["task"], 0))
                if self.running.get(body["task"], (None,))[0] == body["run"]:
                    self.end(body["task"], "stopped")
            if path == "/hold":
                self.ended = [end for end in self.ended if end[0] > body.get("last_seen", 0)]
                if not self.ended and body.get("wait_ms"):
                    self.changed.wait(min(body["wait_ms"], 2000) / 1000)
                rows = [self.row(task) for task in self.running]
                ends = self.ended[:500]
                return 200, {
                    "clock_ms": self.clock(), "born": self.born, "running": rows, "ended_at": ends
                }
            return 200, {"clock_ms": self.clock()}

    def extend_lease(self, body):
        until = min(body.get("until_ms", 0), self.clock() + self.max_hold_ms)
        self.lease = max(self.lease, until)

    def row(self, task):
        """The row of a running task in the answer to `/hold`."""
        run, until = self.running[task]
        left = max(0.0, until - time.monotonic())
        return [task, run, "", int(100 * (1 - left / self.RUN_S))]

    def saved(self, task):
        """The newest checkpoint of a running task."""
        return ""

    def start(self, task, run, checkpoint):
        if self.running.get(task, (None,))[0] == run:
            return 200, {"clock_ms": self.clock()}
        if run <= self.refused.get(task, 0) or task in self.running:
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        if self.clock() >= self.lease:
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        self.running[task] = (run, time.monotonic() + self.RUN_S)
        brings = " with last_checkpoint %r" % checkpoint if checkpoint else ""
        self.record.note("%s: run %d of %s starts%s" % (self.id, run, task, brings))
        return 200, {"clock_ms": self.clock()}

    def stop(self):
        self.stopping = True
        self.server.shutdown()
        self.server.server_close()
