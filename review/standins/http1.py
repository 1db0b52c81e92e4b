"""A minimal HTTP/1.1 for the stand-ins: reads and writes messages over asyncio streams."""

import asyncio


class Closed(Exception):
    """The peer closed or reset the connection before the message was complete."""


class Message:
    """A request or a response."""

    def __init__(self, start, headers, body=b""):
        self.start = start
        self.headers = headers
        self.body = body

    def header(self, name, default=""):
        for known, value in self.headers:
            if known == name:
                return value
        return default


async def read_head(reader):
    """Returns the head of the next message, without its body."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError) as error:
        raise Closed from error
    lines = text.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers.append((name.strip().lower(), value.strip()))
    return Message(lines[0], headers)


async def read_body(reader, message):
    """Reads the body of `message`, by its length or in chunks."""
    try:
        if "chunked" in message.header("transfer-encoding").lower():
            parts = []
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    break
                parts.append(part[:-2])
            message.body = b"".join(parts)
        else:
            message.body = await reader.readexactly(int(message.header("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed from error
    return message


def encode(start, headers, body=b""):
    """Encodes a message whose body has a length."""
    lines = [start] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_chunked(start, headers, body):
    """Encodes a message whose body is sent in chunks."""
    lines = [start] + [f"{name}: {value}" for name, value in headers]
    lines.append("Transfer-Encoding: chunked")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
    half = max(1, len(body) // 2)
    parts = [part for part in (body[:half], body[half:]) if part]
    chunks = [b"%x\r\n%s\r\n" % (len(part), part) for part in parts]
    return head + b"".join(chunks) + b"0\r\n\r\n"


async def serve(handler, port=0):
    """Starts a server whose connections run `handler(reader, writer)` as tasks of their own."""
    tasks = set()

    def connected(reader, writer):
        task = asyncio.ensure_future(handler(reader, writer))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    return await asyncio.start_server(connected, "127.0.0.1", port, limit=1 << 22)


async def exchange(address, data, wait_s):
    """Sends `data` over a new connection and returns the response, or `None` without a whole one."""
    async def run():
        host, port = address
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(data)
            await writer.drain()
            return await read_body(reader, await read_head(reader))
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), wait_s)
    except (Closed, OSError, asyncio.TimeoutError):
        return None
