"""A stand-in of a minion, as PROTOCOL.md describes it."""
import asyncio
import json
import re
import time

import httpd

HOLD_MAX_MS = 10000
HEARTBEAT_S = 1.5
STOP_S = 0.05
STARTUP_MS = 300


class Run:
    def __init__(self, task, number, spec, saved, began):
        self.task = task
        self.number = number
        self.spec = spec
        self.saved = saved
        self.began = began
        self.stopping = False

    def percent(self):
        """How far it is; a task that lasts is at work after a short startup."""
        worked_ms = (time.monotonic() - self.began) * 1000
        found = re.match(r"(ms|fail)=(\d+)", self.spec)
        total_ms = int(found.group(2)) if found else STARTUP_MS
        return min(100, int(100 * worked_ms / max(total_ms, 1)))


class Minion:
    """One minion. A task's `spec` says what it does: "ms=500" ends `done` after
    that time, "fail=500" ends `failed`, "last" works until it is stopped."""

    def __init__(self, store, record, ident, address, port, service,
                 zone="zone-a", cpu=32000, mem_mb=65536, labels=("a", "r1-1"),
                 ends_by_way=None):
        self.store = store
        self.record = record
        self.id = ident
        self.address = address
        self.port = port
        self.service = service
        self.zone = zone
        self.capacity = {"cpu": cpu, "memMb": mem_mb}
        self.labels = list(labels)
        self.ends_by_way = {} if ends_by_way is None else ends_by_way
        self.up = False
        self.server = None

    def _begin_life(self):
        self.born = int(time.time() * 1000)
        self.zero = time.monotonic()
        self.seq = 0
        self.fence = 0
        self.running = {}    # task -> Run
        self.highest = {}    # task -> highest run stopped or ended
        self.ended = []
        self.next_end = 1
        self.deadline_ms = 0
        self.ended_event = asyncio.Event()
        self.up = True
        self.life = object()

    def clock_ms(self):
        return int((time.monotonic() - self.zero) * 1000)

    async def start(self):
        self._begin_life()
        self.server = httpd.Server(self.address, self.port, self.handle)
        await self.server.start()
        self._report()
        loop = asyncio.get_running_loop()
        loop.create_task(self._tick(self.life))
        loop.create_task(self._beat(self.life))

    async def crash(self, down_s):
        """Loses all that it has; its port refuses connections meanwhile."""
        self.record(f"minion {self.id} crashes; it had "
                    f"{[f'{r.task} run {r.number}' for r in self.running.values()]}")
        self.up = False
        self.life = None
        await self.server.stop()
        await asyncio.sleep(down_s)
        await self.start()
        self.record(f"minion {self.id} is back, born {self.born}")

    def _report(self):
        self.seq += 1
        self.store.put(f"servers/{self.id}", json.dumps({
            "service": self.service, "addr": f"{self.address}:{self.port}",
            "zone": self.zone, "version": "v1", "slots": 8, "state": "ready",
            "seq": self.seq, "born": self.born, "capacity": self.capacity,
            "labels": self.labels}))

    async def _beat(self, life):
        while self.life is life:
            await asyncio.sleep(HEARTBEAT_S)
            if self.life is life:
                self._report()

    async def _tick(self, life):
        while self.life is life:
            now = time.monotonic()
            if self.running and self.clock_ms() > self.deadline_ms:
                for run in list(self.running.values()):
                    self.end(run, "lapsed")
            for run in list(self.running.values()):
                found = re.match(r"(ms|fail)=(\d+)", run.spec)
                if found and now - run.began >= int(found.group(2)) / 1000:
                    self.end(run, "done" if found.group(1) == "ms"
                              else "failed")
            await asyncio.sleep(0.01)

    def end(self, run, how):
        if self.running.pop(run.task, None) is None:
            return
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.ended.append([self.next_end, run.task, run.number, how, run.saved])
        self.next_end += 1
        self.ends_by_way[how] = self.ends_by_way.get(how, 0) + 1
        self.record(f"minion {self.id} ends {run.task} run {run.number}: {how}")
        self.ended_event.set()
        self.ended_event = asyncio.Event()

    def _take_deadline(self, deadline):
        if deadline is not None:
            self.deadline_ms = max(self.deadline_ms, min(
                int(deadline), self.clock_ms() + HOLD_MAX_MS))

    def _answer(self, status, **fields):
        return status, {"clockMs": self.clock_ms(), "born": self.born, **fields}

    async def handle(self, request):
        if request.path == "/health":
            return 200, {}
        if request.headers.get("expect-instance", self.id) != self.id:
            return self._answer(421)
        body = request.json()
        fence = int(body.get("fence", 0))
        if fence < self.fence:
            return self._answer(409, reason="fence")
        self.fence = fence
        if request.path == "/hold":
            return await self._hold(body)
        if request.path == "/run-start":
            return self._start(body)
        if request.path == "/run-stop":
            return self._stop(body)
        if request.path == "/pace":
            return self._answer(200)
        return 404, {}

    async def _hold(self, body):
        life = self.life
        self._take_deadline(body.get("deadlineMs"))
        seen = int(body.get("seenUpto", 0))
        self.ended = [end for end in self.ended if end[0] > seen]
        until = time.monotonic() + int(body.get("waitMs", 0)) / 1000
        while not self.ended and self.life is life:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self.ended_event.wait(), left)
            except asyncio.TimeoutError:
                pass
        if self.life is not life:
            return httpd.DROP
        running = [[run.task, run.number, run.saved, run.percent(), 0]
                   for run in self.running.values()]
        return self._answer(200, running=running, ended=self.ended[:500])

    def _start(self, body):
        task, number = body["task"], int(body["run"])
        held = self.running.get(task)
        if held is not None and held.number == number:
            return self._answer(200)
        if number <= self.highest.get(task, 0) or (
                held is not None and number <= held.number):
            self._take_deadline(body.get("deadlineMs"))
            return self._answer(409, reason="old")
        if int(body.get("deadlineMs", 0)) <= self.clock_ms():
            return self._answer(409, reason="late")
        self._take_deadline(body.get("deadlineMs"))
        self.running[task] = Run(task, number, body["spec"],
                                 body.get("saved", ""), time.monotonic())
        self.record(f"minion {self.id} starts {task} run {number}")
        return self._answer(200)

    def _stop(self, body):
        task, number = body["task"], int(body["run"])
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.number <= number and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(
                STOP_S, self.end, run, "stopped")
        return self._answer(200)
