"""One worker is lost for good, and a gang that lasts fits no more."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
import cell_world  # noqa: E402

SERVE = {"name": "r-serve", "host": "desk.example", "prefix": "/serve/", "type": "unsafe", "timeoutMs": 3000,
         "sloMs": 3000, "priority": 1, "service": "desk", "attempts": 3, "stretch": 4.0}
DESK = {**SERVE, "name": "r-desk", "prefix": "/desk/", "priority": 2}
HOSTS = 3
WORKERS = 8
WORKER_CPU = 16000
SINGLE_CPU = 6500
MEMBER_CPU = 5000
LEASES_LAPSED_S = 12
# The bound `finish_s` of the site, and the 3 s of the rule.
FINISH_S = 14
NOTHING_RUNNING_S = 3


async def scenario(world, trouble):
    world.put_config([SERVE, DESK])
    for number in range(WORKERS):
        world.add_worker({"cpu": WORKER_CPU, "memMb": 32000, "gpu": 0}, ["a", f"r1-{number}"])
    await world.begin()
    lasting = {"longRunning": True, "memMb": 1000, "estMs": 6000, "count": WORKERS}
    for_ever = {"workMs": 3_600_000}
    singles = await world.submit("/serve/", [{**lasting, "cpu": SINGLE_CPU, "maxPerServer": 1}], for_ever)
    await asyncio.sleep(1)
    gang = await world.submit("/serve/", [{**lasting, "cpu": MEMBER_CPU, "gang": True}], for_ever)
    await asyncio.sleep(2)
    if [len(worker.running) for worker in world.workers] != [2] * WORKERS:
        raise RuntimeError("the tasks that last do not run")
    steps = [{"count": 2, "cpu": 2000, "memMb": 1000, "estMs": 3000},
             {"count": 2, "cpu": 2000, "memMb": 1000, "estMs": 3000, "after": [0]}]
    first = await world.submit("/desk/", steps, {"workMs": 3000})
    await asyncio.sleep(1)
    if trouble:
        world.workers[0].crash()
        for worker in world.workers:
            for task in list(worker.running):
                if task.startswith(gang):
                    worker.end(task, "broken")
    await asyncio.sleep(LEASES_LAPSED_S)
    later = await world.submit("/desk/", steps, {"workMs": 3000})
    if None in (singles, gang, first, later):
        raise RuntimeError("a job was not accepted")
    states = {}
    for second in range(FINISH_S + 3 * NOTHING_RUNNING_S):
        await asyncio.sleep(1)
        for job in (first, later):
            status, states[job] = await world.state("/desk/", job, host=second)
            world.note("GET", job=job, status=status, state=states[job])
        if all(state == "done" for state in states.values()):
            return None
    running = sum(len(worker.running) for worker in world.workers)
    left = WORKERS - 1
    return (f"LOST: {FINISH_S} s and more after the last submission the jobs are {sorted(states.values())} with "
            f"nothing running; in use: {running * SINGLE_CPU} of {left * WORKER_CPU} millicores")


cell_world.main(os.path.dirname(os.path.abspath(__file__)), HOSTS, scenario)
