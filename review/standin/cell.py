"""A small deployment for the scripts under review/.

Starts agatepass_cell on three entry hosts as separate processes, each with the
settings of the deploy file's template, and stands in for everything around
them: the platform's store, the workers, and the callers. All addresses are
loopback addresses, and time is the real clock.

Stand-ins do what the users' pages say and nothing more. What happens is
written to record.txt, one JSON object a line.
"""

import asyncio
import base64
import bisect
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import threading
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parent.parent.parent
PROGRAM = "target/agatepass_cell"

# Bounds and limits of a small deployment, as its sheet gives them.
SETTINGS = {
    "region": "uusimaa",
    "limits": {"cpuShare": 0.25, "maxFds": 4100, "linkMbps": 1000.0, "memoryMb": 260},
    "heartbeatMs": 1500,
    "bounds": {"graceS": 6, "holdMaxMs": 10000, "stopMs": 900, "stabilityMs": 3000, "status_s": 120},
    "platform": {"writesPerS": 400, "ttlMinMs": 1000},
}
ZONES = ["uus-a", "uus-b", "pirk-a"]
STORE_ANSWER_S = 0.004
RESTART_DELAY_S = 0.5
STARTUP_S = 0.5
HISTORY_EVENTS = 20000


class Record:
    """What was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def add(self, event, **fields):
        line = {"t": round(time.monotonic() - self.began, 3), "event": event, **fields}
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()

    def close(self):
        self.file.close()


class NoAnswer(Exception):
    """Ends a connection without an answer."""


async def read_message(reader):
    """Reads a request or an answer: its first line, headers and body."""
    first = await reader.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = (await reader.readline()).decode("latin-1").strip()
        if not line:
            break
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return first.decode("latin-1").split(), headers, body


class HttpServer:
    """Serves requests on one address; handle(method, path, query, headers, body) gives (status, object)."""

    def __init__(self, host, port, handle):
        self.host, self.port, self.handle = host, port, handle
        self.server = None
        self.writers = set()
        self.fillers = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, reuse_address=True)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                (method, target, *_), headers, body = message
                parts = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(parts.query).items()}
                content = json.loads(body) if body else {}
                status, answer = await self.handle(method, parts.path, query, headers, content)
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode() + text
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, NoAnswer):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def go_dark(self):
        """Answers nothing any more, as without power: attempts to connect hang, and open connections stay silent."""
        descriptor = self.server.sockets[0].fileno()
        asyncio.get_running_loop().remove_reader(descriptor)
        listener = socket.socket(fileno=os.dup(descriptor))
        listener.listen(0)
        listener.close()
        for _ in range(2):
            # The kernel drops further attempts once its queue is full.
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self.fillers.append(filler)

    def stop(self):
        """Closes the address and resets its connections."""
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


async def wait_for_event(event, limit_s):
    """Waits until an event is set, for a limited time."""
    waiting = asyncio.ensure_future(event.wait())
    await asyncio.wait([waiting], timeout=limit_s)
    waiting.cancel()


class Store:
    """The platform's store: items, leases, watches and transactions."""

    def __init__(self, record, host, port):
        self.record = record
        self.revision = 100
        self.items = {}
        self.leases = {}
        self.next_lease = 1000
        self.revisions, self.events = [], []
        self.changed = asyncio.Event()
        self.silent = False
        self.server = HttpServer(host, port, self.handle)

    async def handle(self, method, path, query, _headers, body):
        while self.silent:
            # Down: calls get no answer, and their connections end when it is back.
            await asyncio.sleep(0.05)
            if not self.silent:
                raise NoAnswer
        await asyncio.sleep(STORE_ANSWER_S)
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "asOf": self.revision}) if item else (404, {})
        if path == "/kv-range":
            return 200, self.read_range(query["prefix"], query.get("after", ""))
        if path == "/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["waitMs"]))
        if path == "/kv-txn":
            return await self.commit(body)
        if path == "/kv-lease":
            self.next_lease += 1
            ttl = max(body["ttlMs"], 1000)
            self.leases[self.next_lease] = [time.monotonic() + ttl / 1000, ttl]
            return 200, {"lease": self.next_lease, "ttlMs": ttl}
        if path.startswith("/kv-keep/"):
            lease = self.leases.get(int(path.rsplit("/", 1)[1]))
            if lease is None:
                return 404, {}
            lease[0] = time.monotonic() + lease[1] / 1000
            return 200, {"ttlMs": lease[1]}
        if path.startswith("/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            await self.end_lease(lease)
            return 200, {}
        return 400, {}

    def read_range(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page, size = [], 0
        for key in keys:
            if len(page) == 500 or size > 1_000_000:
                break
            page.append(self.items[key])
            size += len(self.items[key]["value"])
        return {"items": page, "hasMore": len(page) < len(keys), "asOf": self.revision}

    async def watch(self, prefix, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            if self.silent:
                raise NoAnswer
            if self.revisions and after + 1 < self.revisions[0] and len(self.events) == HISTORY_EVENTS:
                return 410, {}
            first = bisect.bisect_right(self.revisions, after)
            events = [event for event in self.events[first:] if event["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            await wait_for_event(self.changed, min(left, 0.5))

    async def commit(self, body):
        expected = body.get("expectRev", [])
        if any(self.items.get(row["key"], {"rev": 0})["rev"] != row["rev"] for row in expected):
            current = [self.items.get(row["key"], {"key": row["key"], "rev": 0}) for row in expected]
            return 412, {"items": current}
        if any(write.get("lease", 0) and write["lease"] not in self.leases for write in body.get("writes", [])):
            return 404, {}
        await self.change(body.get("writes", []), body.get("remove", []))
        return 200, {"rev": self.revision}

    async def change(self, writes, removals=()):
        self.revision += 1
        for write in writes:
            before = self.items.get(write["key"])
            item = {
                "key": write["key"],
                "value": write["value"],
                "rev": self.revision,
                "createRev": before["createRev"] if before else self.revision,
                "lease": write.get("lease", 0),
            }
            self.items[write["key"]] = item
            self.add_event(item)
        for key in removals:
            if self.items.pop(key, None) is not None:
                self.add_event({"key": key, "rev": self.revision, "tombstone": True})
        self.changed.set()
        self.changed = asyncio.Event()

    def add_event(self, event):
        self.events.append(event)
        self.revisions.append(self.revision)
        if len(self.events) > HISTORY_EVENTS:
            del self.events[0], self.revisions[0]

    async def put(self, key, value):
        """A write of the operator or of a worker."""
        await self.change([{"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode()}])

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            await self.change([], keys)

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            if self.silent:
                # Leases pause while the store is down.
                for lease in self.leases.values():
                    lease[0] += 0.02
                continue
            for lease in [lease for lease, entry in self.leases.items() if entry[0] < time.monotonic()]:
                await self.end_lease(lease)

    def value(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["value"]).decode() if item else None


class Worker:
    """One worker under one id. The payload "ms=N" says how long a task works; a task with the payload "lasts" is at
    work after a short startup, until it is stopped."""

    def __init__(self, record, store, name, host, port, cpu, labels, service="desk", zone="uus-a"):
        self.record, self.store = record, store
        self.name, self.address = name, f"{host}:{port}"
        self.cpu, self.labels, self.service, self.zone = cpu, labels, service, zone
        self.server = HttpServer(host, port, self.handle)
        self.up = False
        self.reject_starts = False
        self.draining = False
        self.on_start = None
        self.beat_task = None
        self.sequence = 0

    async def start(self, register=True):
        self.server.stop()
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.lease_until = 0
        self.runs = {}
        self.highest = {}
        self.ends = []
        self.next_end = 1
        self.changed = asyncio.Event()
        await self.server.start()
        self.up = True
        self.record.add("worker up", worker=self.name, born=self.born, cpu=self.cpu)
        self.beat_task = asyncio.ensure_future(self.beat(register))

    def crash(self, dark=False):
        """Ends the worker and all that it runs. If dark, it doesn't even refuse connections or end open ones."""
        lost = [f"{task}#{run['run']}" for task, run in self.runs.items()]
        self.record.add("worker crashed", worker=self.name, dark=dark, lost=lost)
        self.up = False
        self.beat_task.cancel()
        if dark:
            self.server.go_dark()
        else:
            self.server.stop()
        for run in self.runs.values():
            run["timer"].cancel()
        self.runs = {}

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000)

    def entry(self):
        return {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "coldLeftMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0},
            "labels": self.labels,
            "clockMs": self.clock_ms(),
            "seq": self.sequence,
            "born": self.born,
        }

    async def beat(self, register):
        if not register:
            await asyncio.sleep(SETTINGS["heartbeatMs"] / 1000)
        while True:
            while self.store.silent:
                await asyncio.sleep(0.05)
            self.sequence += 1
            await self.store.put("servers/" + self.name, self.entry())
            await asyncio.sleep(SETTINGS["heartbeatMs"] / 1000)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def end(self, task, how):
        run = self.runs.pop(task)
        run["timer"].cancel()
        self.ends.append([self.next_end, task, run["run"], how, ""])
        self.next_end += 1
        self.record.add("run ended", worker=self.name, task=task, run=run["run"], how=how)
        self.wake()

    def lapse(self):
        if self.runs and self.clock_ms() > self.lease_until:
            for task in list(self.runs):
                self.end(task, "lapsed")

    def extend(self, body):
        deadline = min(body.get("deadlineMs", 0), self.clock_ms() + SETTINGS["bounds"]["holdMaxMs"])
        self.lease_until = max(self.lease_until, deadline)

    def answer(self, status, **fields):
        return status, {"clockMs": self.clock_ms(), "born": self.born, **fields}

    async def handle(self, _method, path, _query, headers, body):
        born = self.born
        status, answer = await self.carry_out(path, headers, body)
        while not self.up:
            # Dark: the connection stays silent until the next life resets it.
            await asyncio.sleep(0.05)
        if self.born != born:
            raise NoAnswer
        return status, answer

    async def carry_out(self, path, headers, body):
        if not self.up:
            self.record.add("call not heard", worker=self.name, path=path, task=body.get("task"))
            return 0, {}
        if headers.get("expect-instance", self.name) != self.name:
            return self.answer(421)
        if path == "/run-start" and self.reject_starts:
            self.record.add("start rejected", worker=self.name, task=body["task"], run=body["run"], status=503)
            return self.answer(503)
        self.lapse()
        fence = body.get("fence", 0)
        if fence < self.fence:
            return self.answer(409, reason="fence")
        self.fence = fence
        if path == "/run-start":
            return self.begin(body)
        if path == "/run-stop":
            return self.halt(body)
        if path == "/hold":
            return await self.hold(body)
        return self.answer(400)

    def begin(self, body):
        task, number = body["task"], body["run"]
        running = self.runs.get(task)
        if running and running["run"] == number:
            return self.answer(200)
        self.extend(body)
        if number <= self.highest.get(task, 0) or running:
            return self.answer(409, reason="old")
        if body.get("deadlineMs", 0) <= self.clock_ms():
            return self.answer(409, reason="late")
        lasts = body["spec"] == "lasts"
        work = re.search(r"ms=(\d+)", body["spec"])
        work_s = int(work.group(1)) / 1000 if work else STARTUP_S
        loop = asyncio.get_running_loop()
        self.runs[task] = {
            "run": number,
            "began": time.monotonic(),
            "work_s": work_s,
            "most": 100 if lasts else 99,
            "timer": loop.call_later(3600 if lasts else work_s, self.end_if_running, task, number),
        }
        self.highest[task] = number
        self.record.add("run began", worker=self.name, task=task, run=number, fence=self.fence, born=self.born)
        if self.on_start:
            self.on_start(self, task, number)
        return self.answer(200)

    def end_if_running(self, task, number):
        self.lapse()
        if self.up and task in self.runs and self.runs[task]["run"] == number:
            self.end(task, "done")

    def halt(self, body):
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        if task in self.runs and self.runs[task]["run"] == number:
            self.end(task, "stopped")
        return self.answer(200)

    async def hold(self, body):
        self.extend(body)
        self.ends = [end for end in self.ends if end[0] > body.get("seenUpto", 0)]
        wait_ms = body.get("waitMs", 0)
        if wait_ms and not self.ends:
            born = self.born
            await wait_for_event(self.changed, wait_ms / 1000)
            if not self.up or self.born != born:
                return 0, {}
            self.lapse()
        running = []
        for task, run in self.runs.items():
            percent = int(100 * (time.monotonic() - run["began"]) / run["work_s"])
            running.append([task, run["run"], "", min(percent, run["most"]), 0])
        return self.answer(200, running=running, ended=self.ends[:500])


class EntryHost:
    """One process of the system, restarted by the platform when it ends."""

    def __init__(self, cell, number, host):
        self.cell, self.number, self.host = cell, number, host
        self.name = f"edge-{ZONES[number % len(ZONES)]}-1"
        self.process = None
        self.ends = 0
        self.stopping = False
        self.peak_kb = 0

    @property
    def front(self):
        return self.host, 8161

    def settings(self):
        fields = {
            **SETTINGS,
            "node": self.name,
            "zone": ZONES[self.number % len(ZONES)],
            "ip": self.host,
            "listen": {"front": f"{self.host}:8161", "ready": f"{self.host}:8167"},
            "portRange": [7720, 7735],
            "platform": {**SETTINGS["platform"], "addr": f"{self.cell.store_host}:8169"},
        }
        return render((REPOSITORY / "deploy/agatepass.ini.tmpl").read_text(), fields)

    async def run(self):
        """Keeps the process running, as the platform does."""
        path = Path(self.cell.folder) / f"{self.name}.ini"
        path.write_text(self.settings())
        while not self.stopping:
            log = open(Path(self.cell.folder) / f"{self.name}.log", "a", encoding="utf-8")
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, "--settings", str(path), cwd=REPOSITORY, stdout=log, stderr=log
            )
            code = await self.process.wait()
            log.close()
            if not self.stopping:
                self.ends += 1
                self.cell.record.add("process ended", host=self.name, code=code)
                await asyncio.sleep(RESTART_DELAY_S)

    def memory_kb(self):
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except (OSError, AttributeError):
            return 0
        found = re.search(r"VmRSS:\s+(\d+)", text)
        return int(found.group(1)) if found else 0

    def kill(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def render(template, fields):
    """Fills in the template of the deploy file."""

    def section(match):
        return match.group(2) if lookup(fields, match.group(1)) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(lookup(fields, match.group(1)) or ""), text)


class Cell:
    """The whole deployment."""

    def __init__(self, record_path, hosts=3):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="agatepass-review-")
        self.prefix = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        self.store_host = f"{self.prefix}.200"
        self.store = Store(self.record, self.store_host, 8169)
        self.hosts = [EntryHost(self, i, f"{self.prefix}.{11 + i}") for i in range(hosts)]
        self.workers = []
        self.tasks = []

    def add_worker(self, cpu=32000, labels=("a", "r1-1")):
        number = len(self.workers)
        worker = Worker(
            self.record, self.store, f"i-{number:08x}", f"{self.prefix}.{100 + number}", 8080, cpu, list(labels)
        )
        self.workers.append(worker)
        return worker

    async def start(self, routes):
        await self.store.server.start()
        self.tasks.append(asyncio.ensure_future(self.store.expire_leases()))
        service = {"name": "desk", "healthPath": "/health", "maxConns": 64, "admissionCheck": False}
        await self.store.put("op/config", {"version": 3, "routes": routes, "services": [service]})
        for worker in self.workers:
            await worker.start()
        for host in self.hosts:
            self.tasks.append(asyncio.ensure_future(host.run()))
        await self.wait_until_ready()

    async def wait_until_ready(self, limit_s=20):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            await asyncio.sleep(0.2)
            answers = [await self.call(host, "GET", "/ready", port=8167, log=False) for host in self.hosts]
            if all(status == 200 for status, _ in answers):
                # Workers get their first syncs, and the roster is stored.
                await asyncio.sleep(3)
                return
        raise CannotRun("the entry hosts did not become ready")

    async def call(self, host, method, path, body=None, deadline_ms=3000, port=None, log=True):
        """One request of a caller; (None, None) if no whole answer arrived in time."""
        began = time.monotonic()
        try:
            status, answer = await asyncio.wait_for(
                self.exchange(host.host, port or 8161, method, path, body, deadline_ms), deadline_ms / 1000
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            status, answer = None, None
        if log:
            self.record.add(
                "call",
                host=host.name,
                method=method,
                path=path,
                status=status,
                answer=answer,
                after_ms=int((time.monotonic() - began) * 1000),
            )
        return status, answer

    @staticmethod
    async def exchange(address, port, method, path, body, deadline_ms):
        reader, writer = await asyncio.open_connection(address, port)
        try:
            text = json.dumps(body).encode() if body is not None else b""
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: desk.example\r\nContent-Type: application/json\r\n"
                f"Deadline-Ms: {deadline_ms}\r\nContent-Length: {len(text)}\r\nConnection: close\r\n\r\n".encode() + text
            )
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None, None
            (_, status, *_), _, content = message
            return int(status), json.loads(content) if content else None
        finally:
            writer.close()

    async def submit(self, host, path, body, tries=5):
        """Hands a job in as a client does, under the same id. Returns whether it was accepted."""
        for _ in range(tries):
            status, _ = await self.call(host, "POST", path, body)
            if status is not None and 200 <= status < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, host, path, wanted, limit_s):
        """Asks for a job's state until it is one of `wanted`; returns the last state."""
        until = time.monotonic() + limit_s
        last = None
        while time.monotonic() < until:
            status, answer = await self.call(host, "GET", path)
            last = answer.get("state") if status == 200 else status
            if last in wanted:
                return last
            await asyncio.sleep(0.25)
        return last

    def planner(self):
        """The host that holds the planner's key; None if nobody does."""
        text = self.store.value("agatepass/planner")
        name = text.split()[0] if text else None
        return next((host for host in self.hosts if host.name == name), None)

    async def stop(self):
        for host in self.hosts:
            host.stopping = True
            host.kill()
        await asyncio.sleep(0.3)
        for host in self.hosts:
            # One that was about to start when it was to stop.
            host.kill()
        await asyncio.sleep(0.1)
        for task in self.tasks:
            task.cancel()
        for worker in self.workers:
            if worker.up:
                worker.beat_task.cancel()
                worker.server.stop()
        self.store.server.stop()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """The case could not run, whatever the system would have done."""


def job_id():
    return f"{random.getrandbits(64):016x}"


def route(name, **fields):
    return {
        "name": name,
        "host": "desk.example",
        "prefix": f"/{name}/",
        "type": "unsafe",
        "timeoutMs": 3000,
        "sloMs": 3000,
        "priority": 2,
        "service": "desk",
        "attempts": 3,
        "stretch": 4.0,
        **fields,
    }


def run_case(folder, case, limit_s=110, hosts=3):
    """Runs case(cell, trouble), which returns what broke the rule, or None."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not (REPOSITORY / PROGRAM).exists():
        print("build the deploy file first:", PROGRAM, "is missing")
        sys.exit(2)

    cells = []

    def give_up():
        for cell in cells:
            for host in cell.hosts:
                host.kill()
        print("the case could not run: it did not end in time")
        os._exit(2)

    watchdog = threading.Timer(limit_s + 5, give_up)
    watchdog.daemon = True
    watchdog.start()

    async def play():
        cell = Cell(Path(folder) / "record.txt", hosts)
        cells.append(cell)
        cell.record.add("case", trouble=trouble)
        try:
            return cell, await asyncio.wait_for(case(cell, trouble), limit_s)
        finally:
            await cell.stop()

    try:
        cell, broken = asyncio.run(play())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print("the case could not run:", repr(error))
        sys.exit(2)
    cell.record.add("result", broken=broken)
    cell.record.close()
    print("BROKEN: " + broken if broken else "the rule held")
    sys.exit(1 if broken else 0)
