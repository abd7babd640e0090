"""A planned restart of one host while tasks that fill run on all workers."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
import cell_world  # noqa: E402

ROUTES = [{"name": "r-desk", "host": "desk.example", "prefix": "/desk/", "type": "unsafe", "timeoutMs": 3000,
           "sloMs": 3000, "priority": 2, "service": "desk", "attempts": 3, "stretch": 4.0}]
HOSTS = 3
WORKERS = 6
WORKER_CPU = 8000
# The bound `finish_s` of the site, and the 3 s of the rule.
FINISH_S = 14
NOTHING_RUNNING_S = 3


async def scenario(world, trouble):
    world.put_config(ROUTES)
    for number in range(WORKERS):
        world.add_worker({"cpu": WORKER_CPU, "memMb": 32000, "gpu": 0}, ["a", f"r1-{number}"])
    await world.begin()
    filling = await world.submit("/desk/", [{"count": WORKERS, "cpu": WORKER_CPU, "memMb": 1000, "estMs": 6000,
                                             "longRunning": True, "fills": True, "maxPerServer": 1}],
                                 {"workMs": 3_600_000})
    await asyncio.sleep(2)
    if [len(worker.running) for worker in world.workers] != [1] * WORKERS:
        raise RuntimeError("the filling tasks do not run")
    two_steps = await world.submit("/desk/", [{"count": 2, "cpu": 2000, "memMb": 1000, "estMs": 3000},
                                              {"count": 2, "cpu": 2000, "memMb": 1000, "estMs": 3000, "after": [0]}],
                                   {"workMs": 3000})
    await asyncio.sleep(1)
    if trouble:
        planner = world.find_planner()
        process = world.processes[planner]
        world.note("SIGTERM", host=planner)
        process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(process.wait)
        world.note("process ended", host=planner, code=process.returncode)
        world.start_host(planner)
        await asyncio.sleep(3)
    later = await world.submit("/desk/", [{"count": 1, "cpu": 1000, "memMb": 1000, "estMs": 1000}], {"workMs": 1000})
    if None in (filling, two_steps, later):
        raise RuntimeError("a job was not accepted")
    states = {}
    for second in range(FINISH_S + 2 * NOTHING_RUNNING_S):
        await asyncio.sleep(1)
        for job in (two_steps, later):
            status, states[job] = await world.state("/desk/", job, host=second)
            world.note("GET", job=job, status=status, state=states[job])
        if all(state == "done" for state in states.values()):
            return None
    begun = {task.split(".")[0] + "." + task.split(".")[2] for _, _, task, _ in world.starts}
    never = [name for name in (f"{two_steps}.1", f"{later}.0") if name not in begun]
    return (f"LOST: steps of accepted jobs that have never begun, {FINISH_S} s and more after the last submission, "
            f"though only filling tasks run: {never}")


cell_world.main(os.path.dirname(os.path.abspath(__file__)), HOSTS, scenario)
