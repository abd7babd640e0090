"""A task is started on a worker that lacks the label it requires: see claim.txt."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standin.cell import CannotRun, job_id, route, run_case  # noqa: E402

WORKERS = 14
STORE_DOWN_S = 4.5
CRASH_AT_S = 0.2
WORKER_DOWN_S = 0.5
FIRST_STEP_MS = 3000


async def case(cell, trouble):
    for number in range(WORKERS):
        cell.add_worker(labels=("b" if number == 0 else "a", f"r1-{number // 8}"))
    special = cell.workers[0]
    wrong = []

    def on_start(worker, task, number):
        step = int(task.split(".")[2])
        if steps[step]["requires"] not in worker.labels:
            wrong.append(task)
            cell.record.add("label missing", worker=worker.name, task=task, run=number, labels=worker.labels)

    await cell.start([route("letters")])
    for worker in cell.workers:
        worker.on_start = on_start
    steps = [
        {"count": 1, "cpu": 1000, "memMb": 512, "estMs": FIRST_STEP_MS, "requires": "a"},
        {"count": 2, "cpu": 2000, "memMb": 512, "estMs": 3000, "requires": "b", "after": [0]},
    ]
    path = "/letters/" + job_id()
    if not await cell.submit(cell.hosts[0], path, {"spec": f"ms={FIRST_STEP_MS}", "steps": steps}):
        raise CannotRun("the job was not accepted")
    await asyncio.sleep(0.8)
    began = time.monotonic()
    if trouble:
        cell.record.add("store down")
        cell.store.silent = True
        await asyncio.sleep(CRASH_AT_S)
        special.crash()
        special.labels = ["a", "r1-0"]
        await asyncio.sleep(WORKER_DOWN_S)
        await special.start()
    await asyncio.sleep(began + STORE_DOWN_S - time.monotonic())
    if trouble:
        cell.record.add("store up")
        cell.store.silent = False
    await asyncio.sleep(2)
    _, answer = await cell.call(cell.hosts[0], "GET", path)
    cell.record.add("seen", answer=answer, wrong=wrong)
    if wrong:
        return f"{len(wrong)} tasks that require the label b were started on a worker of kind a"
    return None


run_case(FOLDER, case)
