"""Tasks are started on a worker by the capacity of its former life: see claim.txt."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standin.cell import CannotRun, job_id, route, run_case  # noqa: E402

WORKERS = 14
BEFORE_CPU = 32000
AFTER_CPU = 8000
STORE_DOWN_S = 4.5
CRASH_AT_S = 0.2
WORKER_DOWN_S = 0.5
FIRST_STEP_MS = 3000


async def case(cell, trouble):
    for number in range(WORKERS):
        cell.add_worker(cpu=BEFORE_CPU, labels=("b" if number == 0 else "a", f"r1-{number // 8}"))
    special = cell.workers[0]
    over = []

    def on_start(worker, task, _number):
        used = sum(run["cpu"] for run in worker.runs.values())
        if used > worker.cpu:
            over.append(used)
            cell.record.add("over capacity", worker=worker.name, task=task, used_cpu=used, capacity_cpu=worker.cpu)

    await cell.start([route("letters")])
    for worker in cell.workers:
        worker.on_start = on_start
    steps = [
        {"count": 1, "cpu": 1000, "memMb": 512, "estMs": FIRST_STEP_MS, "requires": "a"},
        {"count": 4, "cpu": 8000, "memMb": 512, "estMs": 5000, "requires": "b", "after": [0]},
    ]
    for worker in cell.workers:
        worker.cpu_of_step = [step["cpu"] for step in steps]
    path = "/letters/" + job_id()
    spec = f"ms={FIRST_STEP_MS}"
    if not await cell.submit(cell.hosts[0], path, {"spec": spec, "steps": steps}):
        raise CannotRun("the job was not accepted")
    await asyncio.sleep(0.8)
    began = time.monotonic()
    if trouble:
        cell.record.add("store down")
        cell.store.silent = True
        await asyncio.sleep(CRASH_AT_S)
        special.crash()
        special.cpu = AFTER_CPU
        await asyncio.sleep(WORKER_DOWN_S)
        await special.start()
    await asyncio.sleep(began + STORE_DOWN_S - time.monotonic())
    if trouble:
        cell.record.add("store up")
        cell.store.silent = False
    state = await cell.state(cell.hosts[0], path, ("done",), 40)
    cell.record.add("seen", state=state)
    if over:
        return f"starts brought a worker of {AFTER_CPU} thousandths of a core to {max(over)}"
    return None


run_case(FOLDER, case)
