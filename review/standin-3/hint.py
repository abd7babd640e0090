"""A stand-in of the service that says which minions may run a step."""
import asyncio

import httpd

DECIDE_MS = 12
PERIOD_MS = 0.17
VALID_MS = 2000


class Hint:
    """Allows all minions. A caller's calls are handled one after the other."""

    def __init__(self, address, port):
        self.server = httpd.Server(address, port, self.handle)
        self.lock = asyncio.Lock()

    async def start(self):
        await self.server.start()

    async def handle(self, request):
        body = request.json()
        async with self.lock:
            await asyncio.sleep(
                (DECIDE_MS + PERIOD_MS * len(body["workers"])) / 1000)
        return 200, {"good": [[w, f"t-{body['step']}"]
                              for w in body["workers"]], "validMs": VALID_MS}
