"""A stand-in of the platform's store, as PROTOCOL.md describes it."""
import asyncio
import base64
import time

import httpd

PAGE = 500


class Store:
    def __init__(self, address, port):
        self.server = httpd.Server(address, port, self.handle)
        self.rev = 1
        self.items = {}    # key -> {value, rev, createRev, lease}
        self.history = []  # events, in the order of their revisions
        self.leases = {}   # id -> [ends, ttl]
        self.next_lease = 1
        self.changed = asyncio.Event()

    async def start(self):
        await self.server.start()
        asyncio.get_running_loop().create_task(self._end_leases())

    # What the operator, the workers and tests write.
    def put(self, key, text):
        if isinstance(text, str):
            text = text.encode()
        self._write(key, base64.b64encode(text).decode(), 0)
        self._notify()

    def get(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    def remove(self, key):
        self._remove(key)
        self._notify()

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _write(self, key, value, lease):
        self.rev += 1
        old = self.items.get(key)
        item = {"key": key, "value": value, "rev": self.rev,
                "createRev": old["createRev"] if old else self.rev,
                "lease": lease}
        self.items[key] = item
        self.history.append(item)

    def _remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.rev += 1
        self.history.append({"key": key, "rev": self.rev, "tombstone": True})

    def _drop_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items()
                    if item["lease"] == lease]:
            self._remove(key)
        self._notify()

    async def _end_leases(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            for lease in [i for i, (ends, _) in self.leases.items()
                          if ends <= now]:
                self._drop_lease(lease)

    async def handle(self, request):
        await asyncio.sleep(0.004)
        return await self.execute(request)

    async def execute(self, request):
        path = request.path
        if path == "/kv-key":
            item = self.items.get(request.query["key"])
            if item is None:
                return 404, {}
            return 200, {**item, "asOf": self.rev}
        if path == "/kv-range":
            prefix = request.query["prefix"]
            after = request.query.get("after", "")
            keys = sorted(k for k in self.items
                          if k.startswith(prefix) and k > after)
            items = [self.items[k] for k in keys[:PAGE]]
            return 200, {"items": items, "hasMore": len(keys) > PAGE,
                         "asOf": self.rev}
        if path == "/kv-watch":
            return await self._watch(request)
        if path == "/kv-txn":
            return self._commit(request.json())
        return self._lease(request)

    async def _watch(self, request):
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        until = time.monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            events = []
            for event in reversed(self.history):
                if event["rev"] <= after:
                    break
                if event["key"].startswith(prefix):
                    events.append(event)
            left = until - time.monotonic()
            if events or left <= 0:
                events.reverse()
                return 200, {"events": events, "asOf": self.rev}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _commit(self, body):
        current = []
        holds = True
        for expected in body.get("expectRev", []):
            item = self.items.get(expected["key"])
            rev = item["rev"] if item else 0
            holds = holds and rev == expected["rev"]
            current.append(item or {"key": expected["key"], "rev": 0})
        if not holds:
            return 412, {"items": current}
        for write in body.get("writes", []):
            lease = write.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
        for write in body.get("writes", []):
            self._write(write["key"], write["value"], write.get("lease", 0))
        for key in body.get("remove", []):
            self._remove(key)
        self._notify()
        return 200, {"rev": self.rev}

    def _lease(self, request):
        now = time.monotonic()
        if request.path == "/kv-lease":
            ttl = max(1000, min(600000, int(request.json()["ttlMs"]))) / 1000
            lease = self.next_lease
            self.next_lease += 1
            self.leases[lease] = [now + ttl, ttl]
            return 200, {"lease": lease, "ttlMs": int(ttl * 1000)}
        lease = int(request.path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if request.path.startswith("/kv-lease-end/"):
            self._drop_lease(lease)
            return 200, {}
        entry = self.leases[lease]
        entry[0] = now + entry[1]
        return 200, {"lease": lease, "ttlMs": int(entry[1] * 1000)}
