"""A planned stop drops an answer that is ready: see claim.txt."""

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from standin.cell import CannotRun, job_id, route, run_case  # noqa: E402

# One host after the other gets SIGTERM, as in `roll_term` with x = 1 and gap_s = 1.3; the planner's host is the last.
GAP_S = 1.3
# After the last SIGTERM.
SUBMIT_AFTER_S = 0.15
LOSS_SLACK_S = 0.2


async def case(cell, trouble):
    for number in range(14):
        cell.add_worker(labels=("a", f"r1-{number // 8}"))
    await cell.start([route("letters")])
    planner = cell.planner()
    if planner is None:
        raise CannotRun("no host holds the planner's key")
    others = [host for host in cell.hosts if host is not planner]
    order = [*others, planner]
    first = order[0]
    for number, host in enumerate(order):
        if number:
            await asyncio.sleep(GAP_S)
        if trouble:
            cell.record.add("SIGTERM", host=host.name)
            host.process.send_signal(signal.SIGTERM)
    await asyncio.sleep(SUBMIT_AFTER_S)
    sent = time.monotonic()
    step = {"count": 1, "cpu": 2000, "memMb": 512, "estMs": 500}
    body = {"spec": "ms=500", "steps": [step]}
    status, answer = await cell.call(first, "POST", "/letters/" + job_id(), body, deadline_ms=3000)
    took = time.monotonic() - sent
    cell.record.add("seen", status=status, answer=answer, after_s=round(took, 3))
    if status is None and took < 2.9 and took > LOSS_SLACK_S:
        return f"a whole request got no answer; its connection ended {took:.2f} s after it was sent"
    return None


run_case(FOLDER, case)
