#!/usr/bin/env python3
"""Soak: workers that start again under their ids and are cut off, and planners that are killed meanwhile.

Real agatepass_cell processes on loopback addresses; the store and the workers are the stand-ins of the
second review. A worker's clock and its start time are of another time of day than the hosts', its clock
begins anew with each life, and a life carries out the calls that waited at the one before it. Broken is:
a task runs twice at the same time, or starts after an end as done that a planner has taken note of.

    tests/soak/reborn_soak.py --program build/agatepass_cell --seeds 50 --at-once 6
"""
import argparse
import asyncio
import os
import pathlib
import random
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review" / "standin-2"))
sys.dont_write_bytecode = True
import cell_world  # noqa: E402

ROUTES = [{"name": "r-desk", "host": "desk.example", "prefix": "/desk/", "type": "unsafe", "timeoutMs": 3000,
           "sloMs": 60000, "priority": 2, "service": "desk", "attempts": 3, "stretch": 10.0}]
CAPACITY = {"cpu": 8000, "memMb": 32000, "gpu": 0}
HOSTS = 3
WORKERS = 6
# Seconds by which the hosts' time of day may be ahead of the workers'.
TIME_OF_DAY_ERRORS_S = [0, 0, 30, 60, 600, -60]


class RebornWorker(cell_world.Worker):
    """A worker whose lives have unrelated clocks, and which may be cut off from everybody."""

    def __init__(self, world, *arguments):
        super().__init__(world, *arguments)
        self.cut_off = False
        self.waiting_calls = []
        self.clock_offset_ms = 0

    def clock(self):
        return super().clock() + self.clock_offset_ms

    async def start(self):
        self.clock_offset_ms = self.world.draw.randrange(100_000, 4_000_000)
        await super().start()
        self.born -= int(self.world.time_of_day_error_s * 1000)

    def crash(self):
        """Ends this life; some of the calls that wait at it will be carried out by the next one."""
        calls = [call for call in self.waiting_calls if self.world.draw.random() < 0.8]
        super().crash()
        asyncio.ensure_future(self.carry_out_late(calls))

    async def carry_out_late(self, calls):
        while not self.up:
            await asyncio.sleep(0.002)
        for call in calls:
            asyncio.ensure_future(super().handle(*call))

    async def handle(self, *call):
        self.waiting_calls.append(call)
        life = self.life
        try:
            answer = await super().handle(*call)
        finally:
            self.waiting_calls.remove(call)
        # What is cut off says nothing: neither an answer nor the end of a connection.
        while self.cut_off and life == self.life:
            await asyncio.sleep(0.01)
        return answer

    async def hold(self, body):
        if self.cut_off:
            await asyncio.sleep(3600)
        for _, task, _, how, _ in self.ended:
            if how == "done" and self.ended[0][0] <= body.get("seenUpto", 0):
                self.world.done_and_noted.add(task)
        return await super().hold(body)

    def start_run(self, body):
        if self.cut_off:
            raise ConnectionError
        return super().start_run(body)


class RebornWorld(cell_world.World):
    """The deployment, with a record of what runs where."""

    def __init__(self, folder, seed, program):
        super().__init__(folder, HOSTS)
        self.draw = random.Random(seed)
        # Addresses that no other seed, and hardly another process, has.
        self.network = f"127.{40 + os.getpid() % 180}.{1 + seed % 250}"
        self.store = cell_world.Store(f"{self.network}.200", 8169)
        self.hosts = [f"{self.network}.{11 + i}" for i in range(HOSTS)]
        self.root = folder
        os.makedirs(os.path.join(folder, "target"))
        os.symlink(os.path.abspath(program), os.path.join(folder, "target", "agatepass_cell"))
        self.time_of_day_error_s = self.draw.choice(TIME_OF_DAY_ERRORS_S)
        self.places, self.done_and_noted, self.broken = {}, set(), []

    def add_reborn_worker(self, number):
        worker = RebornWorker(self, f"i-{number:08x}", f"{self.network}.{101 + number}", dict(CAPACITY),
                              [f"r1-{number}"])
        self.workers.append(worker)

    def on_start(self, worker, task, run):
        super().on_start(worker, task, run)
        if task in self.places:
            self.broken.append(f"{task} run {run} on {worker.name} while it runs on {self.places[task]}")
        if task in self.done_and_noted:
            self.broken.append(f"{task} run {run} on {worker.name} after it was done, which was noted")
        self.places[task] = worker.name

    def on_end(self, worker, task, run, how):
        super().on_end(worker, task, run, how)
        if self.places.get(task) == worker.name:
            del self.places[task]

    async def hand_in(self):
        while True:
            work_ms = self.draw.choice([800, 9000, 12000])
            await self.submit("/desk/", [{"count": 3, "cpu": 2000, "memMb": 1000, "estMs": work_ms}],
                              {"workMs": work_ms}, host=self.draw.randrange(HOSTS))
            await asyncio.sleep(0.5)

    async def kill_planner(self):
        index = self.find_planner()
        self.note("planner killed", host=index)
        self.processes[index].kill()
        self.processes[index].wait()
        await asyncio.sleep(0.4)
        self.start_host(index)

    async def trouble(self):
        """Some workers crash, are back, and are cut off; the planner is killed before, amid or after."""
        victims = self.draw.sample(self.workers, 3)
        back_after = self.draw.uniform(0.3, 0.8)
        # Mostly such that the next planner reaches the new lives just before they are cut off.
        kill_after, cut_after = self.draw.choice(
            [(back_after + self.draw.uniform(0.3, 0.8), back_after + self.draw.uniform(1.2, 2.6))] * 3 +
            [(self.draw.uniform(0, 2.4), back_after + self.draw.uniform(0.6, 2.4))])
        asyncio.get_running_loop().call_later(kill_after, lambda: asyncio.ensure_future(self.kill_planner()))
        for worker in victims:
            worker.crash()
        await asyncio.sleep(back_after)
        for worker in victims:
            await worker.start()
        await asyncio.sleep(cut_after - back_after)
        for worker in victims:
            self.note("cut off", worker=worker.name)
            worker.cut_off, worker.can_register = True, False
        await asyncio.sleep(self.draw.uniform(9, 12))
        for worker in victims:
            worker.cut_off, worker.can_register = False, True

    def stop(self):
        """Ends all processes and all workers."""
        for process in self.processes:
            process.kill()
            process.wait()
        for worker in self.workers:
            worker.life += 1
            worker.server.close()
        self.store.server.close()


async def play(seed, program, folder):
    """Plays one seed; returns what broke."""
    world = RebornWorld(folder, seed, program)
    try:
        world.put_config(ROUTES)
        for number in range(WORKERS):
            world.add_reborn_worker(number)
        await world.begin()
        work = asyncio.ensure_future(world.hand_in())
        for _ in range(2):
            await asyncio.sleep(world.draw.uniform(2, 4))
            await world.trouble()
        work.cancel()
        if not world.starts:
            world.broken.append("nothing ran")
    finally:
        world.stop()
    return world


async def play_all(options):
    places = asyncio.Semaphore(options.at_once)
    failed = []

    async def play_one(seed):
        async with places:
            with tempfile.TemporaryDirectory() as folder:
                world = await play(seed, options.program, folder)
                print(f"seed {seed}: {len(world.starts)} starts, time of day {world.time_of_day_error_s} s ahead, "
                      f"{len(world.broken)} broken", flush=True)
                for line in world.broken[:4]:
                    print("   ", line, flush=True)
                if world.broken:
                    failed.append(seed)
                    if options.keep:
                        pathlib.Path(options.keep).mkdir(parents=True, exist_ok=True)
                        for index in range(HOSTS):
                            log = pathlib.Path(world.work_folder, f"host-{index}.log")
                            log.rename(pathlib.Path(options.keep, f"seed-{seed}-host-{index}.log"))
                world.record.close()

    began = time.monotonic()
    await asyncio.gather(*(play_one(options.first + i) for i in range(options.seeds)))
    print(f"{options.seeds - len(failed)} passed, {len(failed)} failed", f"in {time.monotonic() - began:.0f} s",
          f"(seeds {sorted(failed)})" if failed else "")
    return 1 if failed else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--program", required=True, help="the built agatepass_cell")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--at-once", type=int, default=4, help="seeds that are played at the same time")
    parser.add_argument("--keep", help="folder for the hosts' logs of seeds that broke a rule")
    sys.exit(asyncio.run(play_all(parser.parse_args())))


if __name__ == "__main__":
    main()
