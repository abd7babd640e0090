"""The only worker of a kind crashes twice under a task that lasts, and then takes no other work."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
import cell_world  # noqa: E402

ROUTES = [{"name": "r-desk", "host": "desk.example", "prefix": "/desk/", "type": "unsafe", "timeoutMs": 3000,
           "sloMs": 3000, "priority": 2, "service": "desk", "attempts": 3, "stretch": 4.0}]
HOSTS = 3
WORKERS = 8
RUN_BEFORE_FIRST_CRASH_S = 40
RUN_BEFORE_SECOND_CRASH_S = 5
DOWN_S = 1
# The bound `finish_s` of the site, and the 3 s of the rule.
FINISH_S = 14
NOTHING_RUNNING_S = 3


async def scenario(world, trouble):
    world.put_config(ROUTES)
    for number in range(WORKERS):
        world.add_worker({"cpu": 16000, "memMb": 32000, "gpu": 0}, ["b" if number == 0 else "a", f"r1-{number}"])
    await world.begin()
    only = world.workers[0]
    lasting = await world.submit("/desk/", [{"count": 1, "cpu": 2000, "memMb": 1000, "estMs": 6000, "requires": "b",
                                             "longRunning": True}], {"workMs": 3_600_000})
    for run_s in (RUN_BEFORE_FIRST_CRASH_S, RUN_BEFORE_SECOND_CRASH_S):
        await asyncio.sleep(run_s)
        if trouble:
            only.crash()
            await asyncio.sleep(DOWN_S)
            await only.start()
            await asyncio.sleep(3)
    if len(only.running) != 1:
        raise RuntimeError("the task that lasts does not run")
    job = await world.submit("/desk/", [{"count": 1, "cpu": 2000, "memMb": 1000, "estMs": 2000, "requires": "b"}],
                             {"workMs": 2000})
    if None in (lasting, job):
        raise RuntimeError("a job was not accepted")
    for second in range(FINISH_S + NOTHING_RUNNING_S):
        await asyncio.sleep(1)
        status, state = await world.state("/desk/", job, host=second)
        world.note("GET", job=job, status=status, state=state)
        if state == "done":
            return None
    return (f"LOST: {FINISH_S + NOTHING_RUNNING_S} s after the last submission a job is {state} with nothing running, "
            f"though its worker has 14 of 16 cores free and answers")


cell_world.main(os.path.dirname(os.path.abspath(__file__)), HOSTS, scenario)
