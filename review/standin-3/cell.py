"""Starts hosts of agatepass with the deploy file's command, and writes the
record of a case."""
import asyncio
import json
import os
import re
import shutil
import signal
import sys
import tempfile
import time

import httpd
import minion
import store

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
TEMPLATE = os.path.join(ROOT, "deploy", "agatepass.ini.tmpl")
PROGRAM = os.path.join(ROOT, "target", "agatepass_cell")

HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def render(template, fields):
    """Fills in the template as DEPLOY.md says; sections of single values."""
    def find(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            elif isinstance(value, dict):
                value = value.get(part)
            else:
                return None
        return value

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                      lambda m: m.group(2) if find(m.group(1)) else "",
                      template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda m: str(find(m.group(1)) or ""), template)


class Host:
    def __init__(self, cell, number):
        self.cell = cell
        self.name = f"edge-{number}"
        self.address = f"{cell.network}.{11 + number}"
        self.log = os.path.join(cell.folder, self.name + ".log")
        self.settings = os.path.join(cell.folder, self.name + ".ini")
        self.process = None
        self.log_begin = 0
        self.own_ends = 0
        self.expected_end = False
        with open(TEMPLATE, encoding="utf-8") as file:
            template = file.read()
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(render(template, {
                "node": self.name, "zone": f"zone-{number}", "region": "r",
                "ip": self.address, "portRange": [7720, 7735],
                "listen": {"front": f"{self.address}:8161",
                           "ready": f"{self.address}:8167"},
                "limits": {"cpuShare": 0.25, "memoryMb": 260, "maxFds": 4100,
                           "linkMbps": 1000.0},
                "platform": {"addr": cell.store_address(number),
                             "writesPerS": 400, "ttlMinMs": 1000},
                "hint": cell.hint, "heartbeatMs": 1500,
                "bounds": {"graceS": 6, "holdMaxMs": 10000, "stopMs": 900,
                           "stabilityMs": 3000, "status_s": 120}}))

    async def start(self):
        with open(self.log, "ab") as log:
            self.log_begin = log.tell()
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, "--settings", self.settings, cwd=ROOT,
                stdout=log, stderr=log)
        self.expected_end = False
        asyncio.get_running_loop().create_task(self._await_end(self.process))

    async def _await_end(self, process):
        status = await process.wait()
        if self.cell.closed or self.expected_end:
            return
        self.own_ends += 1
        self.cell.record(f"{self.name}: its process ended by itself, status "
                         f"{status}: {self.last_words()}")
        await asyncio.sleep(0.5)
        if not self.cell.closed:
            await self.start()

    def last_words(self):
        with open(self.log, "rb") as log:
            lines = log.read().decode("utf-8", "replace").splitlines()
        words = [line for line in lines if not line.startswith("mono_ms=")]
        return " / ".join(words[-2:])

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.expected_end = True
        self.process.send_signal(signal.SIGKILL)

    def leads(self):
        """Whether its process, unless it was killed, has a term."""
        if self.process is None or self.process.returncode is not None:
            return False
        with open(self.log, "rb") as log:
            log.seek(self.log_begin)
            text = log.read()
        began = text.rfind(b'event="term begins"')
        return began >= 0 and text.rfind(b'event="term ends"') < began

    async def call(self, method, path, body=None, timeout=3.0,
                   host="desk.example"):
        headers = {"Host": host, "Deadline-Ms": str(int(timeout * 1000))}
        return await httpd.send(self.address, 8161, method, path, headers,
                                body, timeout)


class Cell:
    """The store, minions and hosts of a case, on loopback addresses."""

    def __init__(self, folder, hint=""):
        pid = os.getpid()
        self.network = f"127.{16 + (pid // 250) % 200}.{1 + pid % 250}"
        self.folder = tempfile.mkdtemp(prefix="agatepass-review-")
        self.began = time.monotonic()
        self.out = open(os.path.join(folder, "record.txt"), "w",
                        encoding="utf-8")
        self.closed = False
        self.hint = hint
        self.store = store.Store(f"{self.network}.200", 8169)
        self.minions = []
        self.hosts = []
        self.ends_by_way = {}

    def store_address(self, number):
        """Returns the address at which host `number` finds the store."""
        return f"{self.network}.200:8169"

    def record(self, text):
        self.out.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.out.flush()

    def now(self):
        return time.monotonic() - self.began

    async def start(self, hosts, minions, config, **minion_fields):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/agatepass_cell is not built")
        await self.store.start()
        self.store.put("op/config", json.dumps(config))
        for i in range(minions):
            self.minions.append(minion.Minion(
                self.store, self.record, f"i-{i:04x}",
                f"{self.network}.{100 + i}", 9000, "desk",
                ends_by_way=self.ends_by_way, **minion_fields))
            await self.minions[-1].start()
        self.hosts = [Host(self, i) for i in range(hosts)]
        for host in self.hosts:
            await host.start()
        for _ in range(100):
            await asyncio.sleep(0.1)
            ready = [await httpd.send(h.address, 8167, "GET", "/ready",
                                      timeout=0.5) for h in self.hosts]
            if all(status == 200 for status, _ in ready) and self.leader():
                self.record("all hosts are ready")
                return
        raise CannotRun("the hosts did not become ready")

    def leader(self):
        return next((h for h in self.hosts if h.leads()), None)

    def find_run(self, task):
        """Returns (minion, run) of a task that runs, or None."""
        for one in self.minions:
            if one.up and task in one.running:
                return one, one.running[task]
        return None

    def ends(self, how):
        """Returns how many runs have ended in this way so far."""
        return self.ends_by_way.get(how, 0)

    async def wait_for(self, condition, seconds, what):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            value = condition()
            if value:
                return value
            await asyncio.sleep(0.02)
        raise CannotRun(f"waited {seconds} s in vain for {what}")

    async def close(self):
        self.closed = True
        for host in self.hosts:
            if host.process is not None and host.process.returncode is None:
                host.kill()
                await host.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.out.close()


def config(version, **route):
    """A configuration with one queue at "/letters/" of desk.example."""
    fields = {"name": "letters", "host": "desk.example", "prefix": "/letters/",
              "type": "unsafe", "timeoutMs": 3000, "sloMs": 3000,
              "priority": 2, "service": "desk", "attempts": 3, "stretch": 4.0}
    fields.update(route)
    return {"version": version, "routes": [fields],
            "services": [{"name": "desk"}]}


def main(folder, play, hint=""):
    """Plays a case and ends the process with its result."""
    async def run():
        cell = Cell(folder, hint)
        try:
            broken = await asyncio.wait_for(play(cell), 112)
            for line in broken:
                cell.record("BROKEN " + line)
                print("BROKEN " + line)
            if not broken:
                cell.record("held")
                print("held")
            return BROKEN if broken else HELD
        except (CannotRun, asyncio.TimeoutError) as error:
            cell.record(f"could not run: {error}")
            print(f"could not run: {error}")
            return CANNOT_RUN
        finally:
            await cell.close()

    sys.exit(asyncio.run(run()))
