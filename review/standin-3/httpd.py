"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""
import asyncio
import json
import urllib.parse

REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found",
           409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}

# An answer that a handler returns to close the connection without one.
DROP = object()


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        path, _, query = target.partition("?")
        self.path = path
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body) if self.body else {}


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class Server:
    """Serves a handler `async (Request) -> (status, object) | DROP`."""

    def __init__(self, address, port, handler):
        self.address = address
        self.port = port
        self.handler = handler
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.address, self.port, limit=1 << 24)

    async def stop(self):
        """Closes the port and resets all connections, as a crash does."""
        if self.server is None:
            return
        server, self.server = self.server, None
        server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                answer = await self.handler(
                    Request(method, target, headers, body))
                if answer is DROP:
                    return
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(
                    (f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\n"
                     f"Content-Type: application/json\r\n"
                     f"Content-Length: {len(text)}\r\n\r\n").encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError,
                asyncio.CancelledError, ConnectionError, ValueError, OSError):
            pass  # The peer has gone, or the case ends.
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def send(address, port, method, path, headers=None, body=None,
               timeout=3.0):
    """Sends one request on a connection of its own.

    Returns (status, object), or (0, reason) without a whole answer. `path` may
    be bytes.
    """
    if isinstance(path, str):
        path = path.encode()
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(
            address, port, limit=1 << 24)
        text = b"" if body is None else json.dumps(body).encode()
        head = method.encode() + b" " + path + b" HTTP/1.1\r\n"
        for name, value in (headers or {}).items():
            head += f"{name}: {value}\r\n".encode()
        if body is not None:
            head += (b"Content-Type: application/json\r\n"
                     b"Content-Length: %d\r\n" % len(text))
        writer.write(head + b"\r\n" + text)
        await writer.drain()
        line, _, answer = await read_message(reader)
        status = int(line.split(" ")[1])
        try:
            return status, json.loads(answer) if answer else {}
        except ValueError:
            return status, {}

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        return 0, "no answer in time"
    except (OSError, ConnectionError, asyncio.IncompleteReadError) as error:
        return 0, f"connection ended: {type(error).__name__}"
    finally:
        if writer is not None:
            writer.transport.abort()
