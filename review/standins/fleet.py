"""A small deployment: the store, machines with a daemon and a backend each, and the operator."""

import asyncio
import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import http1
from backend import Backend
from store import Store

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# As in deploy/system.toml.
PROGRAM = "target/release/yuccarackd"
SETTINGS_VARIABLE = "YUCCARACK_ROUTED_SETTINGS"

ZONES = ["sapporo", "asahikawa", "kushiro"]

# The bounds of the site file hut-logbook that the settings and the checks use.
HEARTBEAT_MS = 1500
STABILITY_WINDOW_S = 3.0
DRAIN_S = 2.0


class CannotRun(Exception):
    """The case could not be brought about, so it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to `record.txt`, and keeps it for the check."""

    def __init__(self, folder):
        self.events = []
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self.started_at

    def __call__(self, kind, **fields):
        event = {"at": round(self.now(), 4), "kind": kind, **fields}
        self.events.append(event)
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{event['at']:9.4f} {kind} {text}\n")

    def of(self, kind):
        return [event for event in self.events if event["kind"] == kind]

    def close(self):
        self.file.close()


# Below the ports that the kernel gives to connections; scripts that run side by side use others.
next_port = itertools.count(10000 + os.getpid() % 200 * 110)


def free_ports(count):
    """Returns ports that are free now, each of them once."""
    ports = []
    for port in next_port:
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports


class Machine:
    """A machine: its daemon, a separate process, and its backend."""

    def __init__(self, fleet, number, service, backend_options):
        self.fleet, self.service = fleet, service
        self.zone = ZONES[number % len(ZONES)]
        self.name = f"sidecar-{self.zone}-{number // len(ZONES) + 1}"
        ports = free_ports(6)
        self.ports = dict(zip(["call", "gate", "control", "ready", "metrics", "app"], ports))
        self.backend = Backend(f"{service}-{number}", service, self.zone, self.ports["app"],
                               fleet.record, **backend_options)
        self.backend.control = self.address("control")
        self.process = None

    def address(self, name):
        return ("127.0.0.1", self.ports[name])

    def _settings(self, is_first_start):
        at = {name: f"127.0.0.1:{port}" for name, port in self.ports.items()}
        store_host, store_port = self.fleet.store_address
        settings = {
            "instance": self.name, "failure_domain": self.zone,
            "regions": [{"failure_domain": zone, "region": "hokkaido"} for zone in ZONES],
            "service": self.service,
            "call_address": at["call"], "gate_address": at["gate"],
            "liveness_address": at["control"], "readiness_address": at["ready"],
            "metrics_address": at["metrics"],
            "store_address": f"{store_host}:{store_port}",
            "link_kbit_per_s": 1000000,
            "bounds": {"heartbeat_ms": HEARTBEAT_MS, "stop_max_ms": 6000,
                       "extra_tries_percent": 20, "extra_tries": 60},
        }
        if is_first_start:
            settings["is_first_start"] = True
        return settings

    def start_daemon(self, is_first_start=False):
        path = os.path.join(self.fleet.folder, f"{self.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self._settings(is_first_start), file)
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env.update({SETTINGS_VARIABLE: path, "YUCCARACK_CONFIG": path})
        log = open(os.path.join(self.fleet.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen([PROGRAM], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=log, stderr=log)
        log.close()
        self.fleet.record("daemon-start", machine=self.name)

    def kill_daemon(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.fleet.record("daemon-killed", machine=self.name)

    async def is_ready(self):
        data = http1.encode("GET /api/readiness HTTP/1.1", [("Host", "ready")])
        answer = await http1.exchange(self.address("ready"), data, 1.0)
        return answer is not None and " 200 " in answer.start + " "


class Fleet:
    """The deployment. `services` names the service of each machine."""

    def __init__(self, record, services, backend_options=None):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="yuccarack-review-")
        self.store = Store()
        self.services = services
        self.backend_options = backend_options or {}
        self.machines = []
        self.beats = {}

    async def start(self, routes):
        """Starts everything as for the first time, and waits until all daemons serve."""
        if not os.path.exists(os.path.join(ROOT, PROGRAM)):
            raise CannotRun(f"{PROGRAM} is not built")
        self.store_address = await self.store.start()
        for number, service in enumerate(self.services):
            self.machines.append(Machine(self, number, service, self.backend_options))
        self.apply(7, routes)
        for machine in self.machines:
            await machine.backend.start()
            machine.start_daemon(is_first_start=True)
            self.beats[machine] = asyncio.ensure_future(machine.backend.beat())
        for machine in self.machines:
            await wait_until(machine.is_ready, 20.0, f"{machine.name} to be ready")
        # Lets the daemons read each other's rows, and be in touch from then on.
        await asyncio.sleep(6.0)

    def apply(self, version, routes):
        services = [{"name": name, "health_check_path": "/health", "max_connections": 240,
                     "protocol": "h1", "tls": False} for name in sorted(set(self.services))]
        config = {
            "version": version, "routes": routes, "services": services,
            "limits": {"header_bytes": 16384, "body_bytes": 67108864,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "base_version": 0,
        }
        self.store.put("op", "config", json.dumps(config).encode())
        self.record("config-acknowledged", version=version)

    def stop_beats(self, machine):
        self.beats.pop(machine).cancel()

    async def stop(self):
        """Ends all processes of the case."""
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        for task in self.beats.values():
            task.cancel()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


async def wait_until(condition, wait_s, what):
    until = time.monotonic() + wait_s
    while not await condition():
        if time.monotonic() > until:
            raise CannotRun(f"timed out waiting for {what}")
        await asyncio.sleep(0.05)


async def send(record, machine, method, path, body, deadline_ms, request_id, is_chunked=False,
               **about):
    """Sends one client request to the daemon of `machine`; returns the status, or `None`."""
    headers = [("Host", "hulo84.example"), ("Yuccarack-Request-Id", request_id),
               ("Yuccarack-Request-Deadline", str(deadline_ms))]
    start = f"{method} {path} HTTP/1.1"
    encode = http1.encode_chunked if is_chunked else http1.encode
    record("sent", machine=machine.name, request=request_id, **about)
    answer = await http1.exchange(machine.address("call"), encode(start, headers, body),
                                  deadline_ms / 1000)
    status = int(answer.start.split()[1]) if answer else None
    stamp = answer.header("yuccarack-server-stamp") if answer else ""
    record("answered", request=request_id, status=status, stamp=stamp or "none",
           reason=answer.header("yuccarack-reason") if answer else "none")
    return status


def main(folder, case):
    """Runs `case(record)`, which returns whether the rule held, and exits with the result."""
    record = Record(folder)
    async def run():
        return await asyncio.wait_for(case(record), 115.0)

    try:
        held = asyncio.run(run())
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    finally:
        record.close()
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
