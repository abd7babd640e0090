"""Stand-ins for a small deployment, and the real agatepass_cell processes.

One event loop holds the platform's store, the workers and the callers; the
entry hosts are separate processes of the deploy file's build. All addresses
are loopback addresses. The stand-ins do what the users' pages say of the
store, the workers and the clients, and nothing less.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 10000
STOP_S = 0.1
MAX_RANGE_ITEMS = 500
MAX_TXN_ENTRIES = 32
MAX_LISTED_ENDS = 500


class HttpServer:
    """Answers HTTP/1.1 requests with JSON bodies; may be closed and reopened."""

    def __init__(self, address, port, handler):
        self.address, self.port, self.handler = address, port, handler
        self.server = None
        self.writers = set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port)

    def close(self):
        """Resets all connections, as the end of a process does."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                path, _, query = target.partition("?")
                status, answer = await self.handler(method, path, dict(urllib.parse.parse_qsl(query)), headers,
                                                    json.loads(body) if body else {})
                data = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" %
                             (status, len(data)) + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's store."""

    def __init__(self, address, port):
        self.revision, self.items, self.events, self.leases = 10, {}, [], {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.server = HttpServer(address, port, self.handle)

    def put(self, key, text, lease=0):
        self.revision += 1
        old = self.items.get(key)
        self.items[key] = {"key": key, "value": base64.b64encode(text.encode()).decode() if isinstance(text, str) else text.decode(),
                           "rev": self.revision, "createRev": old["createRev"] if old else self.revision, "lease": lease}
        self.events.append(dict(self.items[key]))
        self.notify()

    def remove(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self.events.append({"key": key, "rev": self.revision, "tombstone": True})
        self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def end_leases(self):
        now = time.monotonic()
        for lease in [i for i, entry in self.leases.items() if entry["ends"] <= now]:
            del self.leases[lease]
            for key in [k for k, item in self.items.items() if item["lease"] == lease]:
                self.remove(key)

    async def run(self):
        await self.server.open()
        while True:
            self.end_leases()
            await asyncio.sleep(0.01)

    async def handle(self, method, path, query, headers, body):
        self.end_leases()
        if path == "/kv-watch":
            return await self.watch(query)
        await asyncio.sleep(0.004)
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "asOf": self.revision}) if item else (404, {})
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:MAX_RANGE_ITEMS]],
                         "hasMore": len(keys) > MAX_RANGE_ITEMS, "asOf": self.revision}
        if path == "/kv-txn":
            return self.transact(body)
        if path == "/kv-lease":
            ttl = body["ttlMs"] / 1000
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = {"ends": time.monotonic() + ttl, "ttl": ttl}
            return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
        number = int(path.rsplit("/", 1)[1])
        if number not in self.leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            self.leases[number]["ends"] = time.monotonic() + self.leases[number]["ttl"]
        else:
            self.leases[number]["ends"] = 0
            self.end_leases()
        return 200, {"lease": number}

    def transact(self, body):
        expected, writes, removals = body.get("expectRev", []), body.get("writes", []), body.get("remove", [])
        if len(expected) + len(writes) + len(removals) > MAX_TXN_ENTRIES:
            return 400, {}
        if any(self.items.get(e["key"], {"rev": 0})["rev"] != e["rev"] for e in expected):
            return 412, {"items": [self.items[e["key"]] for e in expected if e["key"] in self.items]}
        if any(w.get("lease", 0) and w["lease"] not in self.leases for w in writes):
            return 404, {}
        for write in writes:
            self.put(write["key"], write["value"].encode(), write.get("lease", 0))
        for key in removals:
            self.remove(key)
        return 200, {"rev": self.revision}

    async def watch(self, query):
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        after = int(query["after"])
        while True:
            found = [e for e in self.events if e["rev"] > after and e["key"].startswith(query["prefix"])]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "asOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Worker:
    """A worker that starts whatever it is told to (admissionCheck false)."""

    def __init__(self, world, name, address, capacity, labels):
        self.world, self.name, self.address = world, name, address
        self.capacity, self.labels = capacity, labels
        self.server = HttpServer(address, 8080, self.handle)
        self.up = False
        self.can_register = True
        self.life = 0

    def clock(self):
        return int((time.monotonic() - self.started) * 1000) + 1

    async def start(self):
        """Begins a new life: it runs and knows nothing of before."""
        self.life += 1
        self.started = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence, self.deadline, self.seq, self.next_end = 0, 0, 0, 1
        self.running, self.ended, self.closed_runs = {}, [], {}
        self.changed = asyncio.Event()
        self.up = True
        await self.server.open()
        asyncio.ensure_future(self.heartbeat(self.life))
        asyncio.ensure_future(self.work(self.life))

    def crash(self):
        self.world.note("crash", worker=self.name, running=sorted(self.running))
        self.up = False
        self.life += 1
        for name, run in self.running.items():
            self.world.on_end(self, name, run["run"], "crashed")
        self.running = {}
        self.server.close()

    async def heartbeat(self, life):
        while life == self.life:
            self.seq += 1
            if self.can_register:
                self.world.registered[self.name] = time.monotonic()
                self.world.store.put("servers/" + self.name, json.dumps(
                    {"service": "desk", "addr": f"{self.address}:8080", "zone": "z-a", "version": "v1", "slots": 8,
                     "state": "ready", "coldLeftMs": 0, "capacity": self.capacity, "labels": self.labels,
                     "clockMs": self.clock(), "seq": self.seq, "born": self.born}))
            await asyncio.sleep(HEARTBEAT_S)

    async def work(self, life):
        while life == self.life:
            now = time.monotonic()
            if self.running and self.clock() >= self.deadline:
                for name in list(self.running):
                    self.end(name, "lapsed")
            for name, run in list(self.running.items()):
                if run["stop_at"] and now >= run["stop_at"]:
                    self.end(name, "stopped")
                elif now >= run["ends_at"]:
                    self.end(name, run["how"])
            await asyncio.sleep(0.005)

    def end(self, name, how):
        run = self.running.pop(name)
        self.closed_runs[name] = max(self.closed_runs.get(name, 0), run["run"])
        self.ended.append([self.next_end, name, run["run"], how, ""])
        self.next_end += 1
        self.world.on_end(self, name, run["run"], how)
        self.changed.set()
        self.changed = asyncio.Event()

    def extend(self, deadline):
        self.deadline = max(self.deadline, min(deadline, self.clock() + HOLD_MAX_MS))

    async def handle(self, method, path, query, headers, body):
        if not self.up:
            raise ConnectionError
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {"clockMs": self.clock(), "born": self.born}
        if body.get("fence", 0) < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence", "born": self.born}
        self.fence = body.get("fence", 0)
        if path == "/run-start":
            return self.start_run(body)
        if path == "/run-stop":
            name = body["task"]
            self.closed_runs[name] = max(self.closed_runs.get(name, 0), body["run"])
            run = self.running.get(name)
            if run and run["run"] <= body["run"] and not run["stop_at"]:
                run["stop_at"] = time.monotonic() + STOP_S
            return 200, {"clockMs": self.clock(), "born": self.born}
        return await self.hold(body)

    def start_run(self, body):
        name, number = body["task"], body["run"]
        answer = {"clockMs": self.clock(), "born": self.born}
        if name in self.running and self.running[name]["run"] == number:
            return 200, answer
        if body["deadlineMs"] <= self.clock():
            return 409, {**answer, "reason": "late"}
        self.extend(body["deadlineMs"])
        if number <= self.closed_runs.get(name, 0) or name in self.running:
            return 409, {**answer, "reason": "old"}
        spec = json.loads(body["spec"])
        self.running[name] = {"run": number, "begun": time.monotonic(), "stop_at": None,
                              "ends_at": time.monotonic() + spec["workMs"] / 1000, "how": spec.get("how", "done")}
        self.world.on_start(self, name, number)
        return 200, answer

    async def hold(self, body):
        self.ended = [e for e in self.ended if e[0] > body.get("seenUpto", 0)]
        if "deadlineMs" in body:
            self.extend(body["deadlineMs"])
        until = time.monotonic() + body.get("waitMs", 0) / 1000
        life = self.life
        while not self.ended and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
            if life != self.life:
                raise ConnectionError
        now = time.monotonic()
        rows = [[name, run["run"], "", min(99, int(100 * (now - run["begun"]) / (run["ends_at"] - run["begun"]))), 0]
                for name, run in self.running.items()]
        return 200, {"clockMs": self.clock(), "born": self.born, "running": rows,
                     "ended": self.ended[:MAX_LISTED_ENDS]}


class World:
    """The deployment: a store, workers, entry hosts and callers."""

    def __init__(self, folder, hosts):
        self.root = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
        self.record = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()
        self.network = f"127.{random.randrange(40, 220)}.{random.randrange(1, 250)}"
        self.work_folder = tempfile.mkdtemp(prefix="agatepass-review-")
        self.store = Store(f"{self.network}.200", 8169)
        self.registered = {}
        self.workers, self.processes = [], []
        self.hosts = [f"{self.network}.{11 + i}" for i in range(hosts)]
        self.starts, self.ends = [], []
        self.start_hooks = []
        self.version = 3

    def now(self):
        return time.monotonic() - self.began

    def note(self, event, **values):
        self.record.write(f"{self.now():8.3f} {event} " + " ".join(f"{k}={v}" for k, v in values.items()) + "\n")
        self.record.flush()

    def on_start(self, worker, task, run):
        self.note("task starts", task=task, run=run, worker=worker.name)
        self.starts.append((self.now(), worker.name, task, run))
        for hook in self.start_hooks:
            hook(worker, task, run)

    def on_end(self, worker, task, run, how):
        self.note("run ends", task=task, run=run, worker=worker.name, how=how)
        self.ends.append((self.now(), worker.name, task, run, how))

    def add_worker(self, capacity, labels):
        number = len(self.workers)
        worker = Worker(self, f"i-{number:08x}", f"{self.network}.{101 + number}", capacity, labels)
        self.workers.append(worker)
        return worker

    def put_config(self, routes):
        self.version += 4
        self.store.put("op/config", json.dumps(
            {"version": self.version, "routes": routes,
             "services": [{"name": "desk", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False,
                           "admissionCheck": False, "standby": False}],
             "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                        "idleTimeoutMs": 15000}}))

    def start_host(self, index):
        address = self.hosts[index]
        path = os.path.join(self.work_folder, f"host-{index}.ini")
        with open(path, "w", encoding="utf-8") as settings:
            settings.write(
                f"[host]\nname = host-{index}\ndata_centre = z-a\nregion = r\nprocessor_share = 0.25\n"
                f"memory_mb = 260\nmax_descriptors = 4100\nlink_mbps = 1000\n"
                f"[listen]\ncallers = {address}:8161\nreadiness = {address}:8167\npeers = {address}:7720\n"
                f"metrics = {address}:9464\n[store]\naddress = {self.network}.200:8169\nwrites_per_second = 400\n"
                f"[advice]\naddress = {self.network}.201:8169\n"
                f"[times]\nstop_grace = 6s\nlongest_worker_lease = {HOLD_MAX_MS}ms\nlongest_stop = 900ms\n"
                f"worker_report_period = 1500ms\nshrunk_capacity_grace = 3000ms\nkeep_final = 120s\n"
                f"shortest_store_lease = 1000ms\n")
        log = open(os.path.join(self.work_folder, f"host-{index}.log"), "a", encoding="utf-8")
        process = subprocess.Popen([os.path.join(self.root, "target", "agatepass_cell"), "--settings", path],
                                   cwd=self.root, stdout=log, stderr=subprocess.STDOUT)
        self.processes[index:index + 1] = [process]
        return process

    def find_planner(self):
        """Returns the index of the host whose term has begun and not ended, by its log."""
        for index in range(len(self.hosts)):
            with open(os.path.join(self.work_folder, f"host-{index}.log"), encoding="utf-8") as log:
                text = log.read()
            if text.rfind("term begins") > text.rfind("term ends"):
                return index
        raise RuntimeError("no host plans")

    async def begin(self):
        asyncio.ensure_future(self.store.run())
        asyncio.ensure_future(self.expire_entries())
        await asyncio.sleep(0.1)
        for worker in self.workers:
            await worker.start()
        for index in range(len(self.hosts)):
            self.start_host(index)
        for _ in range(200):
            await asyncio.sleep(0.1)
            answers = [await self.call(i, "GET", "/ready", port=8167) for i in range(len(self.hosts))]
            if all(status == 200 for status, _ in answers):
                break
        else:
            raise RuntimeError("the hosts are not ready")
        await asyncio.sleep(2)
        self.note("ready", hosts=len(self.hosts), workers=len(self.workers))

    async def expire_entries(self):
        while True:
            for worker in self.workers:
                silent = time.monotonic() - self.registered.get(worker.name, time.monotonic())
                if silent > 3 * HEARTBEAT_S:
                    self.store.remove("servers/" + worker.name)
            await asyncio.sleep(0.05)

    async def call(self, host, method, path, body=None, port=8161, timeout=3.0):
        """Sends one request; returns the status (0 without an answer) and the body."""
        data = json.dumps(body).encode() if body is not None else b""
        try:
            return await asyncio.wait_for(self.exchange(host, method, path, data, port), timeout)
        except (asyncio.TimeoutError, ConnectionError, OSError, asyncio.IncompleteReadError):
            return 0, {}

    async def exchange(self, host, method, path, data, port):
        reader, writer = await asyncio.open_connection(self.hosts[host % len(self.hosts)], port)
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: desk.example\r\nDeadline-Ms: 3000\r\n"
                         f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").lower()
            length = 0
            for line in head.split("\r\n"):
                if line.startswith("content-length:"):
                    length = int(line.split(":")[1])
            body = await reader.readexactly(length)
            return int(head.split(" ")[1]), json.loads(body) if body else {}
        finally:
            writer.close()

    async def submit(self, prefix, steps, spec, host=0, **fields):
        """Hands a job in, again after no answer, 502, 503, 504 or 429 as clients do."""
        job = f"{random.getrandbits(64):016x}"
        for attempt in range(5):
            status, _ = await self.call((host + attempt) % len(self.hosts), "POST", prefix + job,
                                        {"spec": json.dumps(spec), "steps": steps, **fields})
            self.note("submit", job=job, status=status)
            if 200 <= status < 300:
                return job
            await asyncio.sleep(0.5)
        return None

    async def state(self, prefix, job, host=0):
        status, body = await self.call(host, "GET", prefix + job)
        return status, body.get("state")

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
                process.wait()
        self.record.write("\n")
        for index in range(len(self.hosts)):
            path = os.path.join(self.work_folder, f"host-{index}.log")
            if not os.path.exists(path):
                continue
            with open(path, encoding="utf-8") as log:
                kept = [line for line in log if any(word in line for word in self.LOGGED)]
            self.record.write(f"log of host-{index} (shortened):\n" + "".join(kept[-80:]) + "\n")
        self.record.close()
        shutil.rmtree(self.work_folder, ignore_errors=True)

    LOGGED = ("lost its worker", "job ended", "runs lost", "incarnation", "term begins", "term ends", "capacity",
              "job accepted", "start requested", "absent", "cleared", "reserved for gang")


def main(folder, hosts, scenario):
    """Runs scenario(world, trouble); it returns None if the rule held, or what broke it."""

    async def run():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        world = World(folder, hosts)
        try:
            broken = await asyncio.wait_for(scenario(world, os.environ.get("TROUBLE", "1") != "0"), 110)
        except Exception as error:  # The case could not run.
            world.note("could not run", error=repr(error))
            print("could not run:", repr(error))
            return 2
        else:
            world.note("verdict", broken=broken or "no")
            print("broken:", broken) if broken else print("held")
            return 1 if broken else 0
        finally:
            world.end()

    try:
        result = asyncio.run(run())
    except asyncio.CancelledError:
        result = 2
    sys.stdout.flush()
    os._exit(result)
