"""Stand-in of the platform's metadata store: rows, transactions and the feed of changes."""

import asyncio
import base64
import json
import time
import urllib.parse

import http1

READ_S = 0.004
TRANSACTION_S = 0.008


class Store:
    """The store. A call that arrives while `is_silent` is set is neither done nor answered, ever."""

    def __init__(self):
        self.rows = {}
        self.history = []
        self.version = 0
        self.is_silent = False
        self.started_at = time.monotonic()
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await http1.serve(self._serve)
        return self.server.sockets[0].getsockname()[:2]

    def put(self, table, key, value):
        """Writes a row as the operator; returns its version, which acknowledges it."""
        self._apply([(table, key, base64.b64encode(value).decode())])
        return self.version

    def value(self, table, key):
        row = self.rows.get((table, key))
        return base64.b64decode(row[0]) if row else None

    def _apply(self, changes):
        self.version += 1
        for table, key, value in changes:
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[(table, key)] = (value, self.version)
            self.history.append((self.version, table, key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await http1.read_body(reader, await http1.read_head(reader))
                status, body = await self._answer(request)
                start = f"HTTP/1.1 {status} -"
                content = [("Content-Type", "application/json")]
                writer.write(http1.encode(start, content, json.dumps(body).encode()))
                await writer.drain()
        except (http1.Closed, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        method, target, _ = request.start.split(" ", 2)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        await asyncio.sleep(READ_S)
        if self.is_silent:
            await asyncio.Event().wait()
        if (method, url.path) == ("GET", "/api/rows-get"):
            return 200, self._read(query)
        if (method, url.path) == ("GET", "/api/rows-feed"):
            return await self._feed(query)
        if (method, url.path) == ("POST", "/api/rows-tx"):
            await asyncio.sleep(TRANSACTION_S)
            return self._transact(json.loads(request.body))
        return 404, {}

    def _stamp(self, **fields):
        now_ms = int((time.monotonic() - self.started_at) * 1000)
        return {**fields, "ver": self.version, "now_ms": now_ms}

    def _read(self, query):
        table, start, end = query["table"], query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", 500)), 500)
        keys = sorted(key for of, key in self.rows if of == table)
        keys = [key for key in keys if key >= start and (end is None or key < end)]
        rows = [self._row(table, key) for key in keys[:limit]]
        return self._stamp(rows=rows, truncated=len(keys) > limit)

    def _row(self, table, key):
        value, version = self.rows[(table, key)]
        return {"table": table, "part": "", "key": key, "value": value, "ver": version}

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            rows = []
            for version, of, key, value in self.history:
                if of == table and version > after:
                    row = {"table": table, "part": "", "key": key, "ver": version}
                    row.update({"deleted": True} if value is None else {"value": value})
                    rows.append(row)
            left = until - time.monotonic()
            if not self.is_silent and (rows or left <= 0):
                return 200, self._stamp(rows=rows)
            try:
                await asyncio.wait_for(self.changed.wait(), 0.05)
            except asyncio.TimeoutError:
                pass

    def _transact(self, body):
        conditions = body.get("precondition", [])
        current = []
        for condition in conditions:
            row = self.rows.get((condition["table"], condition["key"]))
            if (row[1] if row else 0) != condition["ver"]:
                current = [self._row(c["table"], c["key"]) for c in conditions
                           if (c["table"], c["key"]) in self.rows]
                return 412, self._stamp(rows=current)
        writes = [(row["table"], row["key"], row["value"]) for row in body.get("writes", [])]
        deletes = [(row["table"], row["key"], None) for row in body.get("deletes", [])]
        self._apply(writes + deletes)
        return 200, self._stamp()
