"""Stand-in of an application backend, with its heartbeats."""

import asyncio
import json
import random
import socket
import struct
import time

import http1

HEARTBEAT_S = 1.5


class Backend:
    """One backend at a fixed address, which may crash and start again as a new incarnation.

    `crashes_on` is a mark in a request's body: the backend crashes when it begins to run such a
    request, and is back `back_after_s` later.
    """

    def __init__(self, name, service, zone, port, record, *, slots=9, work_s=(0.06, 0.2),
                 crashes_on=None, back_after_s=3.0):
        self.name, self.service, self.zone, self.port = name, service, zone, port
        self.record, self.slots, self.work_s = record, slots, work_s
        self.crashes_on, self.back_after_s = crashes_on, back_after_s
        self.control = None
        self.starts = 0
        self.server = None
        self.is_serving = False
        self.tasks = set()
        self.writers = set()
        self.running = 0
        self.waiting = 0

    async def start(self):
        """Starts a new incarnation, with a new id."""
        self.starts += 1
        self.id = f"i-{self.name}-{self.starts}"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(self.slots)
        self.server = await http1.serve(self._serve, self.port)
        self.is_serving = True
        self.record("backend-start", backend=self.id, service=self.service)

    def heartbeat(self, state):
        """Returns the next heartbeat, as bytes of a request."""
        self.seq += 1
        body = {
            "address": f"127.0.0.1:{self.port}", "born": self.born,
            "instance_info": {"service": self.service, "version": "v1", "zone": self.zone,
                              "slots": self.slots},
            "status": {"state": state, "seq": self.seq, "cold_remaining_ms": 0},
        }
        headers = [("Host", "control"), ("Content-Type", "application/json")]
        start = f"PUT /api/instances/{self.id} HTTP/1.1"
        return http1.encode(start, headers, json.dumps(body).encode())

    def leave(self):
        """Returns the call by which the backend leaves, as bytes of a request."""
        headers = [("Host", "control"), ("Content-Type", "application/json")]
        start = f"DELETE /api/instances/{self.id} HTTP/1.1"
        return http1.encode(start, headers, json.dumps({"born": self.born}).encode())

    async def tell(self, data):
        """Sends a heartbeat or leave call; returns the status of the answer, or `None`."""
        answer = await http1.exchange(self.control, data, 1.0)
        return int(answer.start.split()[1]) if answer else None

    async def beat(self):
        """Sends heartbeats while the backend serves, until it is cancelled."""
        while True:
            if self.is_serving:
                await self.tell(self.heartbeat("ready"))
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.9, 1.0) if self.is_serving else 0.05)

    def end(self):
        """Closes the listener and resets all connections, as the end of the process does."""
        self.is_serving = False
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        self.writers.clear()

    def _crash(self, request_id):
        self.record("crash", backend=self.id, request=request_id)
        self.end()
        asyncio.get_running_loop().call_later(
            self.back_after_s, lambda: asyncio.ensure_future(self.start()))

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                request = await http1.read_body(reader, await http1.read_head(reader))
                if not await self._handle(request, reader, writer):
                    return
        except (http1.Closed, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, request, reader, writer):
        method, path, _ = request.start.split(" ", 2)
        load = ("Yuccarack-Server-Load", f"{self.running},{self.waiting},{self.slots},100")
        if path == "/health":
            headers = [("Yuccarack-Instance-Id", self.id), load]
            writer.write(http1.encode("HTTP/1.1 200 OK", headers))
            await writer.drain()
            return True
        request_id = request.header("yuccarack-request-id")
        self.record("arrival", backend=self.id, request=request_id, body=request.body.decode()[:80])
        headers = [("Yuccarack-Request-Id", request_id), load]
        not_run = headers + [("Yuccarack-Not-Executed", "1")]
        expected = request.header("yuccarack-expect-instance")
        if expected and expected != self.id:
            not_run.append(("Yuccarack-Instance-Id", self.id))
            writer.write(http1.encode("HTTP/1.1 421 Misdirected Request", not_run))
            await writer.drain()
            return True
        if self.waiting >= 2 * self.slots:
            writer.write(http1.encode("HTTP/1.1 503 Service Unavailable", not_run))
            await writer.drain()
            return True
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.record("run", backend=self.id, request=request_id)
            if self.crashes_on and self.crashes_on in request.body:
                self._crash(request_id)
                return False
            await asyncio.sleep(random.uniform(*self.work_s))
        finally:
            self.running -= 1
            self.free.release()
        headers.append(("Yuccarack-Server-Stamp", f"{self.id}.{request_id}"))
        writer.write(http1.encode("HTTP/1.1 200 OK", headers, f"page of {request_id}".encode()))
        await writer.drain()
        self.record("done", backend=self.id, request=request_id)
        return True
