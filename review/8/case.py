"""Three crashes of single workers, seconds apart, under the runs of one task."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
import cell_world  # noqa: E402

ROUTES = [{"name": "r-desk", "host": "desk.example", "prefix": "/desk/", "type": "unsafe", "timeoutMs": 3000,
           "sloMs": 3000, "priority": 2, "service": "desk", "attempts": 3, "stretch": 4.0}]
HOSTS = 3
WORKERS = 8
CRASHES = 3
RUN_BEFORE_CRASH_S = 5.0
DOWN_S = 1.0
WATCHED_S = 40


async def scenario(world, trouble):
    world.put_config(ROUTES)
    for number in range(WORKERS):
        world.add_worker({"cpu": 4000, "memMb": 16000, "gpu": 0}, ["a", f"r1-{number}"])
    await world.begin()
    crashes = []

    async def crash(worker, task):
        await asyncio.sleep(RUN_BEFORE_CRASH_S)
        worker.crash()
        await asyncio.sleep(DOWN_S)
        await worker.start()

    def on_start(worker, task, run):
        if trouble and len(crashes) < CRASHES:
            crashes.append(task)
            asyncio.ensure_future(crash(worker, task))

    world.start_hooks.append(on_start)
    job = await world.submit("/desk/", [{"count": 1, "cpu": 2000, "memMb": 1000, "estMs": 6000, "longRunning": True}],
                             {"workMs": 3_600_000})
    if job is None:
        raise RuntimeError("the job was not accepted")
    for _ in range(WATCHED_S):
        await asyncio.sleep(1)
        status, state = await world.state("/desk/", job)
        world.note("GET", job=job, status=status, state=state)
        if state == "failed":
            failed = sum(1 for end in world.ends if end[4] == "failed")
            return (f"LOST: a job that lasts, which nobody cancelled, is shown as failed after {len(crashes)} crashes "
                    f"of single workers; runs that ended 'failed': {failed}")
    if status != 200 or state != "running" or not any(worker.running for worker in world.workers):
        raise RuntimeError("the job does not run at the end")
    return None


cell_world.main(os.path.dirname(os.path.abspath(__file__)), HOSTS, scenario)
