"""Runs a short day on real daemons on loopback and checks that nothing was lost, doubled or overloaded."""
import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

BUILD = os.environ.get("BUILD", "build")
FIRST_PORT = int(os.environ.get("AGATEPASS_DEMO_PORT", "17000"))
OPERATOR = "operator-demo-token"
DATA_CENTRES = (("uusimaa", "uus-a", 2, 8), ("pirkanmaa", "pirk-a", 1, 8))
CONFIGURATION = os.path.join(os.path.dirname(__file__), "..", "examples", "demo.ini")
SERVICES = ("notices", "quotes")


class Ports:
    def __init__(self, first):
        self.next = first

    def take(self):
        self.next += 1
        return f"127.0.0.1:{self.next - 1}"


def call(method, address, path, body=None, token=OPERATOR, headers=None, timeout=20):
    data = None if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method)
    request.add_header("Authorization", f"Bearer {token}")
    for name, value in (headers or {}).items():
        request.add_header(name, value)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()


def call_json(*args, **kwargs):
    status, body = call(*args, **kwargs)
    return status, json.loads(body)


class Cell:
    """The processes of the day."""

    def __init__(self, folder):
        self.folder = folder
        self.processes = []
        ports = Ports(FIRST_PORT)
        self.store, self.list = ports.take(), ports.take()
        self.hosts, self.entry = [], []
        for region, centre, entries, workers in DATA_CENTRES:
            for i in range(entries):
                gate, peers = ports.take(), ports.take()
                self.entry.append((f"{centre}-e{i + 1}", centre, region, gate, peers))
                self.add_host(f"{centre}-e{i + 1}", "entry_host", peers, region, centre)
            for i in range(workers):
                self.add_host(f"{centre}-w{i + 1}", "worker", ports.take(), region, centre,
                              rack=f"{centre}-r{i // 8 + 1}", millicores=32000, memory_mib=65536)
            for service in SERVICES:
                for i in range(2):
                    self.add_host(f"{centre}-{service}-{i + 1}", "upstream", ports.take(), region, centre,
                                  service=service)

    def add_host(self, name, role, endpoint, region, centre, **more):
        self.hosts.append(dict(name=name, role=role, state="live", endpoint=endpoint, region=region,
                               data_centre=centre, **more))

    def start(self, name, *command):
        log = open(os.path.join(self.folder, name + ".log"), "wb")
        self.processes.append((name, subprocess.Popen(command, stdout=log, stderr=log)))

    def run(self):
        hosts = os.path.join(self.folder, "hosts.json")
        with open(hosts, "w") as file:
            json.dump({"hosts": self.hosts}, file)
        self.start("platform", f"{BUILD}/fake_platform", "--store", self.store, "--host-list", self.list,
                   "--hosts", hosts)
        for host in self.hosts:
            if host["role"] == "upstream":
                self.start(host["name"], f"{BUILD}/fake_upstream", "--listen", host["endpoint"],
                           "--service-time-ms", "5")
        time.sleep(0.3)
        for name, centre, region, gate, peers in self.entry:
            settings = os.path.join(self.folder, name + ".ini")
            with open(settings, "w") as file:
                file.write(f"[host]\nid = {name}\ndata_centre = {centre}\nregion = {region}\n"
                           f"[access]\noperator_token = {OPERATOR}\n"
                           f"[listen]\ngate = {gate}\npeers = {peers}\n"
                           f"[platform]\nstore = {self.store}\nhost_list = {self.list}\n")
            self.start(name, f"{BUILD}/agatepassd", "--settings", settings)

    def wait_ready(self, seconds=20):
        end = time.time() + seconds
        for name, _, _, gate, _ in self.entry:
            while True:
                try:
                    status, workers = call_json("GET", gate, "/v1/workers")
                    if status == 200 and any(row["epoch"] for row in workers["workers"]):
                        break
                except (OSError, ValueError):
                    pass
                if time.time() > end:
                    raise SystemExit(f"entry host {name} did not become ready; see {self.folder}")
                time.sleep(0.05)

    def configure(self, seconds=20):
        """Puts the example configuration in force; returns the seconds until every host has it."""
        with open(CONFIGURATION, "rb") as file:
            text = file.read()
        status, answer = call_json("PUT", self.entry[0][3], "/v1/config?expected=0", text)
        if status != 200:
            raise SystemExit(f"the configuration was refused: {answer}")
        began = time.time()
        while time.time() - began < seconds:
            states = [call_json("GET", entry[3], "/v1/config/status")[1] for entry in self.entry]
            if all(state["revision"] == answer["revision"] for state in states):
                return time.time() - began
            time.sleep(0.02)
        raise SystemExit("the configuration did not reach every entry host")

    def workers(self):
        return [host for host in self.hosts if host["role"] == "worker"]

    def stop(self):
        codes = {}
        for name, process in reversed(self.processes):
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
                try:
                    process.wait(40)
                except subprocess.TimeoutExpired:
                    process.kill()
            codes[name] = process.returncode
        return codes


def submit(gate, **job):
    status, answer = call_json("POST", gate, "/v1/jobs", job)
    if status != 202:
        raise SystemExit(f"job {job['key']} was refused: {answer}")
    return answer["job"]


def wait_for(jobs, seconds=60):
    """Waits until every job has ended; returns the jobs with their tasks."""
    end = time.time() + seconds
    done = {}
    while len(done) < len(jobs):
        for gate, job in jobs:
            if job in done:
                continue
            _, view = call_json("GET", gate, f"/v1/jobs/{job}")
            if view.get("state") in ("ended", "cancelled"):
                done[job] = view
        if time.time() > end:
            missing = [job for _, job in jobs if job not in done]
            raise SystemExit(f"{len(missing)} jobs did not end, the first is {missing[0]}")
        time.sleep(0.05)
    return done


def waits(cell):
    """Seconds from acceptance to the start of each task, from the time line."""
    accepted, started = {}, {}
    for _, _, _, gate, _ in cell.entry:
        _, line = call_json("GET", gate, "/v1/timeline?format=json")
        for event in line["events"]:
            wall = event_micros(event)
            if event["kind"] == "accepted":
                accepted[event["subject"]] = wall
            if event["kind"] == "started":
                started[event["subject"]] = (event.get("parent", ""), wall)
    return sorted((wall - accepted[job]) / 1e6 for job, wall in started.values() if job in accepted)


def event_micros(event):
    return event["time"]["wall_us"]


def percentile(values, share):
    return values[min(len(values) - 1, int(share * len(values)))] if values else float("nan")


def check_workers(cell, jobs):
    """Returns the tasks that were lost or doubled, and the workers that were overloaded."""
    starts, overloaded = {}, []
    for worker in cell.workers():
        _, stats = call_json("GET", worker["endpoint"], "/stats")
        if stats["overloaded"]:
            overloaded.append(worker["name"])
        for task, count in stats["starts"].items():
            job, index = task.rsplit("/", 2)[0:2]
            starts[(job, index)] = starts.get((job, index), 0) + count
    lost, doubled = [], []
    for job, view in jobs.items():
        for task in view["tasks"]:
            count = starts.get((job, str(task["index"])), 0)
            if count == 0 or task["state"] != "succeeded":
                lost.append(f"{job}/{task['index']}: {task['state']}")
            if count > 1:
                doubled.append(f"{job}/{task['index']}")
    return lost, doubled, overloaded


def run_day(cell):
    gates = [entry[3] for entry in cell.entry]
    jobs = []
    for i in range(60):
        gate = gates[i % len(gates)]
        jobs.append((gate, submit(gate, key=f"letters-{i}", team="letters", workload="resident-letters",
                                  tasks=10, millicores=1000, memory_mib=512, command="run 200")))
    jobs.append((gates[0], submit(gates[0], key="route-pack", team="routes", workload="route-packs", kind="gang",
                                  tasks=8, millicores=4000, memory_mib=2048, command="run 300")))
    alert = submit(gates[0], key="alert-1", team="alerts", workload="shutoff-alerts", priority="urgent",
                   millicores=500, memory_mib=128, command="run 20")
    jobs.append((gates[0], alert))
    again = submit(gates[1], key="alert-1", team="alerts", workload="shutoff-alerts", priority="urgent",
                   millicores=500, memory_mib=128, command="run 20")
    quotes = []
    for i in range(60):
        began = time.time()
        status, _ = call("POST", gates[i % len(gates)], "/v1/services/quotes/price", b"wire 2.5 mm",
                         headers={"X-Agatepass-Class": "interactive"})
        quotes.append((time.time() - began, status))
    return jobs, alert, again, quotes


def summarize(cell, done, alert, again, quotes):
    lost, doubled, overloaded = check_workers(cell, done)
    wait = waits(cell)
    tasks = sum(len(view["tasks"]) for view in done.values())
    failed = [status for _, status in quotes if status != 200]
    seconds = sorted(second for second, _ in quotes)
    _, store = call_json("GET", cell.store, "/stats")
    print(f"jobs              {len(done)} with {tasks} tasks, all through three entry hosts")
    print(f"waiting time      p50 {percentile(wait, .5) * 1000:.0f} ms, p99 {percentile(wait, .99) * 1000:.0f} ms, "
          f"from acceptance to start, {len(wait)} tasks")
    print(f"counter quotes    {len(quotes)}, p50 {percentile(seconds, .5) * 1000:.1f} ms, "
          f"p99 {percentile(seconds, .99) * 1000:.1f} ms, {len(failed)} failed")
    print(f"control cost      {store['calls']} store calls, {store['writes']} writes, "
          f"{store['calls'] / tasks:.2f} calls a task")
    print(f"alert repeated    {'the first job' if alert == again else 'A SECOND JOB'} through another entry host")
    print(f"lost {len(lost)}, doubled {len(doubled)}, overloaded workers {len(overloaded)}")
    for line in (lost + doubled + overloaded)[:10]:
        print("  ", line)
    _, why = call_json("GET", cell.entry[0][3], f"/v1/why/{alert}")
    print(f"why {alert}:")
    for line in why.get("why", str(why)).splitlines():
        print("  ", line)
    return not (lost or doubled or overloaded or failed) and alert == again


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true", help="leave the processes running")
    options = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="agatepass-demo-")
    cell = Cell(folder)
    good = False
    try:
        cell.run()
        cell.wait_ready()
        spread = cell.configure()
        print(f"configuration     in force on every entry host after {spread * 1000:.0f} ms")
        jobs, alert, again, quotes = run_day(cell)
        done = wait_for(jobs)
        good = summarize(cell, done, alert, again, quotes)
        if options.keep:
            print("store", cell.store, "host list", cell.list, "token", OPERATOR, "logs", folder)
            for name, _, _, gate, _ in cell.entry:
                print(name, "gate", gate)
            return 0 if good else 1
    finally:
        if not options.keep:
            codes = cell.stop()
            unclean = {name: code for name, code in codes.items() if code != 0 and "-e" in name}
            if unclean:
                print("entry hosts that did not stop cleanly:", unclean)
                good = False
    print("the day is whole" if good else "THE DAY HAS FAULTS")
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
