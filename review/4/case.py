"""A job that runs each minute for a year ends the process that plans: see claim.txt."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standin.cell import SETTINGS, CannotRun, job_id, route, run_case  # noqa: E402

MINUTE_MS = 60 * 1000
MINUTES_A_YEAR = 365 * 24 * 60
CALLERS = 3
# One try and four retries, as the sheet's clients do.
TRIES = 5
MEMORY_KB = SETTINGS["limits"]["memoryMb"] * 1024


async def watch_memory(cell):
    """Ends processes over their memory, as the platform does."""
    while True:
        for host in cell.hosts:
            used = host.memory_kb()
            host.peak_kb = max(host.peak_kb, used)
            if used > MEMORY_KB:
                cell.record.add("process over its memory", host=host.name, used_kb=used, limit_kb=MEMORY_KB)
                host.kill()
        await asyncio.sleep(0.005)


async def case(cell, trouble):
    for number in range(14):
        cell.add_worker(labels=("a", f"r1-{number // 8}"))
    watch = asyncio.ensure_future(watch_memory(cell))
    await cell.start([route("letters")])
    each_minute = {
        "spec": "ms=500",
        "steps": [{"count": 1, "cpu": 500, "memMb": 256, "estMs": 500}],
        "times": MINUTES_A_YEAR if trouble else 60,
        "startTimeMs": int(time.time() * 1000) + MINUTE_MS,
        "intervalMs": MINUTE_MS,
    }
    accepted = []
    for _ in range(CALLERS):
        path = "/letters/" + job_id()
        # Each retry reaches another node.
        taken = False
        for attempt in range(TRIES):
            taken = taken or await cell.submit(cell.hosts[attempt % 3], path, each_minute, tries=1)
            if taken:
                break
            await asyncio.sleep(1.5)
        accepted.append(taken)
        await asyncio.sleep(2)
    watch.cancel()
    ends = {host.name: host.ends for host in cell.hosts}
    cell.record.add("seen", accepted=accepted, ends=ends, peak_kb=[host.peak_kb for host in cell.hosts])
    if trouble and not any(ends.values()) and not all(accepted):
        raise CannotRun("a job was not accepted, and no process ended")
    if sum(count >= 3 for count in ends.values()) >= 2:
        return f"processes ended by themselves: {ends}; jobs accepted: {accepted}"
    return None


run_case(FOLDER, case)
