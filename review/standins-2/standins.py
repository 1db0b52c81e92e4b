"""Stand-ins of the platform for the scripts of the second review.

A store, backends, clients and a small deployment of real daemons on loopback addresses. They follow
PROTOCOL.md and DEPLOY.md; where a page is silent they behave like a sound server, client or platform.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "release", "yuccarackd")
ZONES = ["sapporo", "asahikawa", "kushiro"]
REGION = "hokkaido"

# The bounds of sites/hut-logbook.toml.
BOUNDS = {
    "stability_window_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_propagation_ms": 2000,
    "retry_budget_ratio": 0.2,
    "budget_extra_tries": 60,
}
HEARTBEAT_S = 1.5
ACK_TIMEOUT_S = 1.0


class Record:
    """Writes what was sent, answered and run, one JSON object a line."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def write(self, what, **fields):
        line = {"at": round(self.now(), 4), "what": what, **fields}
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()

    def close(self):
        self.file.close()


async def read_head(reader):
    """Returns the start line and the headers in lower case; None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a body with a length or in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    length = int(headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def response(status, body=b"", headers=None):
    reasons = {200: "OK", 412: "Precondition Failed", 421: "Misdirected Request", 410: "Gone",
               500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}"]
    for name, value in (headers or {}).items():
        lines.append(f"{name}: {value}")
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Store:
    """The platform's metadata store: rows, transactions and the change feed."""

    def __init__(self, address):
        self.address = address
        self.rows = {}
        self.log = []
        self.version = 1
        self.changed = asyncio.Event()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def put(self, table, key, value):
        """Writes a row as the operator does; returns its version."""
        self.version += 1
        self.set_row(table, "", key, base64.b64encode(value).decode())
        self.notify()
        return self.version

    def set_row(self, table, part, key, value):
        row = {"table": table, "part": part, "key": key, "ver": self.version}
        if value is None:
            self.rows.pop((table, part, key), None)
            self.log.append({**row, "deleted": True})
        else:
            row["value"] = value
            self.rows[(table, part, key)] = row
            self.log.append(row)

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                status, answer = await self.answer(method, target, body)
                await asyncio.sleep(0.004)
                answer["now_ms"] = int(time.monotonic() * 1000)
                text = json.dumps(answer).encode()
                writer.write(response(status, text, {"Content-Type": "application/json"}))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in
                 parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/api/rows-tx" and method == "POST":
            return self.transact(json.loads(body))
        if url.path == "/api/rows-get":
            return self.read(query)
        if url.path == "/api/rows-feed":
            return await self.feed(query)
        return 404, {}

    def transact(self, call):
        conditions = call.get("precondition", [])
        failed = []
        for entry in conditions:
            row = self.rows.get((entry["table"], entry["part"], entry["key"]))
            if (row["ver"] if row else 0) != entry["ver"]:
                failed.append(row or {"table": entry["table"], "part": entry["part"],
                                      "key": entry["key"], "ver": 0, "deleted": True})
        if failed:
            return 412, {"rows": failed, "ver": self.version}
        tables = [entry["table"] for entry in call.get("writes", []) + call.get("deletes", [])]
        if any(table in ("op", "servers") for table in tables):
            return 403, {}
        self.version += 1
        for entry in call.get("writes", []):
            self.set_row(entry["table"], entry["part"], entry["key"], entry["value"])
        for entry in call.get("deletes", []):
            self.set_row(entry["table"], entry["part"], entry["key"], None)
        self.notify()
        return 200, {"ver": self.version}

    def read(self, query):
        table, part = query["table"], query.get("part", "")
        start, end = query.get("from", ""), query.get("to")
        limit = int(query.get("limit", "500"))
        found = [row for (t, p, key), row in self.rows.items()
                 if t == table and p == part and key >= start and (end is None or key < end)]
        found.sort(key=lambda row: row["key"].encode())
        return 200, {"rows": found[:limit], "ver": self.version, "truncated": len(found) > limit}

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + min(int(query.get("wait_ms", "0")), 30_000) / 1000
        while True:
            rows = [row for row in self.log if row["table"] == table and row["ver"] > after]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, "ver": self.version}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Backend:
    """An application backend with its heartbeats.

    `work_s` is the time of a run. A path in `poison` crashes the backend as soon as it begins to run
    the request; it is back `down_s` later, as a new incarnation.
    """

    def __init__(self, record, address, control, service, zone, slots=9, queue=18, work_s=0.05,
                 down_s=2.0):
        self.record, self.address, self.control = record, address, control
        self.service, self.zone, self.slots, self.queue = service, zone, slots, queue
        self.work_s, self.down_s = work_s, down_s
        self.poison = set()
        self.work_of = lambda request_id: self.work_s
        self.id, self.born, self.seq = None, 0, 0
        self.state = "ready"
        self.gate = None
        self.waiting = 0
        self.running = 0
        self.server = None
        self.connections = set()
        self.beats = None
        self.is_up = False
        self.respond = None

    async def start(self):
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.gate = asyncio.Semaphore(self.slots)
        self.waiting = self.running = 0
        self.server = await asyncio.start_server(self.accept, *self.address)
        self.is_up = True
        self.record.write("backend_started", backend=self.id, service=self.service,
                          address=self.address[0])
        self.beats = asyncio.create_task(self.send_beats())

    async def crash(self):
        if not self.is_up:
            return
        self.is_up = False
        self.record.write("backend_crashed", backend=self.id)
        await self.close()

    async def close(self):
        self.is_up = False
        if self.beats:
            self.beats.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def crash_and_return(self):
        await self.crash()
        await asyncio.sleep(self.down_s)
        await self.start()

    async def send_beats(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def beat(self):
        """Sends one heartbeat; returns whether it was acknowledged."""
        self.seq += 1
        body = json.dumps({
            "address": f"{self.address[0]}:{self.address[1]}",
            "instance_info": {"service": self.service, "version": "v1", "zone": self.zone,
                              "slots": self.slots},
            "status": {"state": self.state, "seq": self.seq, "cold_remaining_ms": 0},
            "born": self.born,
        }).encode()
        return await self.call_control("PUT", body)

    async def leave(self):
        return await self.call_control("DELETE", json.dumps({"born": self.born}).encode())

    async def call_control(self, method, body):
        async def exchange():
            reader, writer = await asyncio.open_connection(*self.control)
            try:
                writer.write((f"{method} /api/instances/{self.id} HTTP/1.1\r\nHost: control\r\n"
                              f"Content-Type: application/json\r\n"
                              f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
                head = await read_head(reader)
                return head is not None and head[0].split(" ")[1].startswith("2")
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(exchange(), ACK_TIMEOUT_S)
        except (OSError, asyncio.TimeoutError):
            return False

    async def accept(self, reader, writer):
        self.connections.add(writer)
        try:
            while self.is_up and await self.serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def load(self):
        return f"{self.running},{self.waiting},{self.slots},100"

    async def serve_one(self, reader, writer):
        head = await read_head(reader)
        if head is None:
            return False
        line, headers = head
        method, path, _ = line.split(" ")
        own = {"Yuccarack-Instance-Id": self.id, "Yuccarack-Server-Load": self.load()}
        if path == "/health":
            writer.write(response(200 if self.state == "ready" else 503, b"", own))
            await writer.drain()
            return True
        request_id = headers.get("yuccarack-request-id", "")
        self.record.write("arrived", backend=self.id, id=request_id, method=method, path=path)
        body = await read_body(reader, headers)
        self.record.write("arrived_whole", backend=self.id, id=request_id, bytes=len(body))
        own["Yuccarack-Request-Id"] = request_id
        expected = headers.get("yuccarack-expect-instance")
        if expected not in (None, self.id):
            writer.write(response(421, b"", own))
            await writer.drain()
            return True
        if self.gate.locked() and self.waiting >= self.queue:
            writer.write(response(503, b"", {**own, "Yuccarack-Not-Executed": "1"}))
            await writer.drain()
            return True
        left_s = int(headers.get("yuccarack-request-deadline", "60000")) / 1000
        work = asyncio.create_task(self.run(request_id, method, path, left_s))
        # The daemon sends nothing more before the answer, so a read ends with the connection only.
        closed = asyncio.create_task(reader.read(1))
        done, _ = await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
        if work not in done:
            work.cancel()
            self.record.write("dropped", backend=self.id, id=request_id)
            return False
        closed.cancel()
        try:
            await closed
        except (asyncio.CancelledError, ConnectionError):
            pass
        status = work.result()
        if status is None:
            return False
        own["Yuccarack-Server-Stamp"] = f"{self.id}.{request_id}"
        own["Yuccarack-Server-Load"] = self.load()
        writer.write(response(status, f"{self.id} {request_id}".encode(), own))
        await writer.drain()
        self.record.write("ran", backend=self.id, id=request_id, status=status)
        return True

    async def run(self, request_id, method, path, left_s):
        until = time.monotonic() + left_s
        self.waiting += 1
        try:
            await self.gate.acquire()
        finally:
            self.waiting -= 1
        try:
            self.running += 1
            self.record.write("run_began", backend=self.id, id=request_id, path=path)
            if path in self.poison:
                asyncio.get_running_loop().create_task(self.crash_and_return())
                await asyncio.sleep(60)
                return None
            work_s = self.work_of(request_id)
            await asyncio.sleep(max(0.0, min(work_s, until - time.monotonic())))
            return 200 if time.monotonic() < until else 504
        finally:
            self.running -= 1
            self.gate.release()


class Machine:
    """A machine: a backend, and the daemon beside it as a process of its own."""

    def __init__(self, deployment, number, service, zone, backend_options):
        self.deployment = deployment
        self.name = f"sidecar-{zone}-{number}"
        self.service, self.zone = service, zone
        self.ip = deployment.ip(number + 1)
        ports = deployment.ports
        self.outbound = (self.ip, ports["outbound"])
        self.inbound = (self.ip, ports["inbound"])
        self.ready = (self.ip, ports["ready"])
        self.control = (self.ip, ports["control"])
        self.backend = Backend(deployment.record, (self.ip, ports["application"]), self.control,
                               service, zone, **backend_options)
        self.settings = os.path.join(deployment.folder, f"{self.name}.json")
        self.process = None
        self.daemon_log = None

    def write_settings(self, bootstrap):
        """Renders platform/settings.json.template for this machine."""
        def text(address):
            return f"{address[0]}:{address[1]}"
        settings = {
            "instance": self.name,
            "failure_domain": self.zone,
            "regions": [{"failure_domain": zone, "region": REGION} for zone in ZONES],
            "service": self.service,
            "call_address": text(self.outbound),
            "gate_address": text(self.inbound),
            "liveness_address": text(self.control),
            "readiness_address": text(self.ready),
            "metrics_address": f"{self.ip}:7690",
            "store_address": text(self.deployment.store.address),
            "link_kbit_per_s": 1000.0e3,
            "bounds": {
                "heartbeat_ms": int(HEARTBEAT_S * 1000),
                "stop_max_ms": BOUNDS["grace_s"] * 1000,
                "extra_tries_percent": BOUNDS["retry_budget_ratio"] * 100,
                "extra_tries": BOUNDS["budget_extra_tries"],
            },
        }
        if bootstrap:
            settings["is_first_start"] = True
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    def start_daemon(self, bootstrap=False):
        self.write_settings(bootstrap)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["YUCCARACK_ROUTED_SETTINGS"] = self.settings
        self.daemon_log = open(os.path.join(self.deployment.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen([DAEMON], cwd=ROOT, env=environment,
                                        stdout=self.daemon_log, stderr=self.daemon_log)
        self.deployment.record.write("daemon_started", machine=self.name)

    def signal(self, number):
        self.deployment.record.write("signal", machine=self.name, signal=number.name)
        self.process.send_signal(number)

    async def restart_by_term(self):
        """Stops the daemon with SIGTERM, with SIGKILL after `grace_s`, and starts it again."""
        self.signal(signal.SIGTERM)
        until = time.monotonic() + BOUNDS["grace_s"]
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.signal(signal.SIGKILL)
            self.process.wait()
        self.deployment.record.write("daemon_ended", machine=self.name,
                                     code=self.process.returncode)
        self.start_daemon()

    async def is_ready(self):
        async def ask():
            reader, writer = await asyncio.open_connection(*self.ready)
            try:
                writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
                head = await read_head(reader)
                return head is not None and head[0].split(" ")[1] == "200"
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(ask(), 1.0)
        except (OSError, asyncio.TimeoutError):
            return False

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        if self.daemon_log:
            self.daemon_log.close()


class Deployment:
    """A store and machines, each with a backend and a daemon."""

    def __init__(self, record, services, **backend_options):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="yuccarack-review-")
        self.block = 20 + os.getpid() % 200, os.getpid() // 200 % 250
        self.ports = dict(zip(
            ("outbound", "inbound", "ready", "control", "application", "store"),
            self.free_ports(6)))
        self.store = Store((self.ip(250), self.ports["store"]))
        self.machines = [Machine(self, number, service, ZONES[number % len(ZONES)],
                                 backend_options)
                         for number, service in enumerate(services)]
        self.version = 0

    def ip(self, host):
        return f"127.{self.block[0]}.{self.block[1]}.{host}"

    def free_ports(self, count):
        """Returns ports that are free; the addresses are this process's own by its id."""
        probes = [socket.socket() for _ in range(count)]
        try:
            for probe in probes:
                probe.bind((self.ip(1), 0))
            return [probe.getsockname()[1] for probe in probes]
        finally:
            for probe in probes:
                probe.close()

    async def start(self, routes):
        await self.store.start()
        self.configure(routes)
        for machine in self.machines:
            machine.start_daemon(bootstrap=True)
        for machine in self.machines:
            await machine.backend.start()
        await self.wait_ready()
        # Traffic starts 8 s after the machines do.
        await asyncio.sleep(6.0)

    async def wait_ready(self):
        until = time.monotonic() + 20
        for machine in self.machines:
            while not await machine.is_ready():
                if time.monotonic() > until:
                    raise RuntimeError(f"{machine.name} is not ready")
                await asyncio.sleep(0.05)

    def configure(self, routes):
        """Writes the next configuration as the operator does."""
        self.version += 3
        services = sorted({route["service"] for route in routes})
        document = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": name, "health_check_path": "/health", "max_connections": 240}
                         for name in services],
            "limits": {"header_bytes": 16384, "body_bytes": 67108864, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
        }
        self.store.put("op", "config", json.dumps(document).encode())
        self.record.write("config_acknowledged", version=self.version)

    async def close(self):
        for machine in self.machines:
            machine.end()
            await machine.backend.close()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, host, prefix, kind, service, timeout_ms, target_latency_ms, attempts=2, priority=1):
    return {"name": name, "host": host, "prefix": prefix, "kind": kind, "service": service,
            "timeout_ms": timeout_ms, "target_latency_ms": target_latency_ms,
            "attempts": attempts, "priority": priority}


def new_id():
    return f"{random.getrandbits(64):016x}"


def request_bytes(method, host, path, request_id, deadline_ms, body=b"", chunked=False):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Yuccarack-Request-Id: {request_id}",
             f"Yuccarack-Request-Deadline: {deadline_ms}"]
    if chunked:
        lines.append("Transfer-Encoding: chunked")
        half = len(body) // 2
        pieces = [piece for piece in (body[:half], body[half:]) if piece]
        data = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
        data += b"0\r\n\r\n"
    else:
        data = body
        if body or method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + data


async def call(record, machine, method, host, path, deadline_ms, body=b"", chunked=False,
               leave_after_s=None):
    """Sends one client attempt on a new connection; returns its id, status and headers.

    With `leave_after_s` the client closes its connection if it has no answer by then.
    """
    request_id = new_id()
    record.write("sent", id=request_id, machine=machine.name, method=method, path=path)
    patience_s = leave_after_s if leave_after_s is not None else deadline_ms / 1000 + 0.3

    async def exchange():
        reader, writer = await asyncio.open_connection(*machine.outbound)
        try:
            writer.write(request_bytes(method, host, path, request_id, deadline_ms, body, chunked))
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return 0, {}
            line, headers = head
            await read_body(reader, headers)
            return int(line.split(" ")[1]), headers
        finally:
            writer.close()

    try:
        status, headers = await asyncio.wait_for(exchange(), patience_s)
    except asyncio.TimeoutError:
        status, headers = -1, {}
        record.write("left", id=request_id)
    except (OSError, asyncio.IncompleteReadError):
        status, headers = 0, {}
    record.write("answered", id=request_id, status=status,
                 reason=headers.get("yuccarack-reason"))
    return request_id, status, headers
