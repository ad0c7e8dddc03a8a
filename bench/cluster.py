"""Runs all jaytrestle processes on loopback addresses, for benchmarks."""
import json
import os
import pathlib
import shutil
import signal
import subprocess
import tempfile
import time
import urllib.request

CONTROL_PORTS = {"agent": 7402, "dispatch": 7401, "front": 7400}
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def http(method, url, body=None):
    request = urllib.request.Request(url, method=method,
                                     data=body.encode() if body else None)
    with urllib.request.urlopen(request, timeout=10) as reply:
        return reply.read().decode()


class Cluster:
    """The processes of one run: the platform stand-in, and the targets and
    entry VMs of one or more data centres."""

    def __init__(self, build, net=95, dcs=1, vms=2, targets=50, slots=8,
                 spread=4, target_threads=2, settings=None, teams=1,
                 quota=None, poll_ms=1000):
        self.build = pathlib.Path(build).resolve()
        self.net, self.dcs, self.vm_count = net, dcs, vms
        self.targets, self.slots, self.spread = targets, slots, spread
        self.target_threads, self.poll_ms = target_threads, poll_ms
        self.settings = settings or {}
        self.teams, self.quota = teams, quota or {}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="jt-bench-"))
        self.processes = {}

    def spawn(self, name, *arguments):
        log = open(self.folder / f"{name}.log", "wb")
        self.processes[name] = subprocess.Popen(
            [str(a) for a in arguments], stderr=log, stdout=log)

    def vm_list(self, excluded=()):
        vms = []
        for dc in range(1, self.dcs + 1):
            for n in range(1, self.vm_count + 1):
                if (dc, n) not in excluded:
                    vms.append({"vm": dc * 10 + n, "dc": dc, "role": "entry",
                                "address": self.address(dc, n)})
            for n in range(self.targets):
                vms.append({"vm": dc * 10000 + n, "dc": dc, "role": "target",
                            "address": self.target(dc, n), "port": 9000,
                            "slots": self.slots})
        return json.dumps({"vms": vms})

    def address(self, dc, n):
        return f"127.{self.net}.{dc}.{n}"

    def target(self, dc, n):
        return f"127.{self.net}.{100 + dc * 10 + (n + 1) // 256}." \
               f"{(n + 1) % 256}"

    def front(self, dc=1, n=1):
        return f"http://{self.address(dc, n)}:8080"

    def fronts(self):
        return [self.front(dc, n) for dc in range(1, self.dcs + 1)
                for n in range(1, self.vm_count + 1)]

    def start(self):
        platform = f"http://127.{self.net}.0.1:7300"
        self.spawn("platform", self.build / "standin-platform", "--address",
                   f"127.{self.net}.0.1", "--port", 7300)
        for dc in range(1, self.dcs + 1):
            self.spawn(f"targets{dc}", self.build / "standin-targets",
                       "--address", self.target(dc, 0), "--count",
                       self.targets, "--slots", self.slots, "--spread",
                       self.spread, "--threads", self.target_threads)
        self.wait(lambda: http("GET", platform + "/standin/log"))
        http("PUT", platform + "/standin/vms", self.vm_list())
        for i in range(self.teams):
            text = json.dumps({"quota": self.quota} if self.quota else {})
            record = {"section": f"t{i}", "base": 0, "edit_id": f"e{i}",
                      "text": text}
            http("POST", platform + "/v1/log/config", json.dumps(record))
        for dc in range(1, self.dcs + 1):
            for n in range(1, self.vm_count + 1):
                self.start_vm(dc, n, platform)
        for dc in range(1, self.dcs + 1):
            for n in range(1, self.vm_count + 1):
                self.wait(lambda: self.is_ready(dc, n))
        return self

    def start_vm(self, dc, n, platform):
        here = {"dc": dc, "vm": dc * 10 + n, "address": self.address(dc, n)}
        for role in ("agent", "dispatch", "front"):
            settings = {"here": here, **self.settings.get(role, {})}
            if role == "agent":
                settings["platform_url"] = platform
                settings.setdefault("poll_ms", self.poll_ms)
            path = self.folder / f"{dc}-{n}-{role}.json"
            path.write_text(json.dumps(settings))
            self.spawn(f"{role}{dc}{n}", self.build / f"jt-{role}",
                       "--settings", path)

    def wait(self, condition):
        limit = time.time() + 60
        while time.time() < limit:
            try:
                if condition():
                    return
            except (OSError, ValueError, subprocess.CalledProcessError):
                pass
            time.sleep(0.05)
        raise SystemExit("bench: the cluster did not become ready in 60 s")

    def ctl(self, dc, n, role, *words):
        return subprocess.run(
            [str(self.build / "jtctl"), "-a", self.address(dc, n), "-p",
             str(CONTROL_PORTS[role]), *words],
            capture_output=True, text=True, check=True).stdout

    def is_ready(self, dc, n):
        state = json.loads(self.ctl(dc, n, "dispatch", "dump"))
        ids = http("POST", self.front(dc, n) + "/v1/job-ids", " ")
        return state["teams"] >= self.teams and state["targets"] and ids

    def dump(self, dc, n, role):
        return json.loads(self.ctl(dc, n, role, "dump"))

    def counters(self, role):
        total = {}
        for dc in range(1, self.dcs + 1):
            for n in range(1, self.vm_count + 1):
                if self.is_alive(f"{role}{dc}{n}"):
                    for name, value in self.dump(dc, n,
                                                 role)["counters"].items():
                        total[name] = total.get(name, 0) + value
        return total

    def is_alive(self, name):
        process = self.processes.get(name)
        return process is not None and process.poll() is None

    def cpu_s(self, role):
        total = 0.0
        for name, process in self.processes.items():
            if name.startswith(role) and process.poll() is None:
                fields = pathlib.Path(f"/proc/{process.pid}/stat") \
                    .read_text().rsplit(")", 1)[1].split()
                total += (int(fields[11]) + int(fields[12])) / TICKS_PER_S
        return total

    def memory_kb(self, role):
        """Largest resident set of the processes of a role."""
        largest = 0
        for name, process in self.processes.items():
            if name.startswith(role) and process.poll() is None:
                for line in pathlib.Path(f"/proc/{process.pid}/status") \
                        .read_text().splitlines():
                    if line.startswith("VmRSS:"):
                        largest = max(largest, int(line.split()[1]))
        return largest

    def set_targets(self, query, dc=1):
        http("POST", f"http://{self.target(dc, 0)}:9001/standin/set?{query}",
             " ")

    def ledger(self, dc=1):
        return json.loads(
            http("GET", f"http://{self.target(dc, 0)}:9001/standin/ledger"))

    def capacity_milli(self):
        """Sum of the speeds of all slots, in 1/1000 of a slot of the fastest
        target."""
        total = 0
        for n in range(self.targets):
            slowdown_percent = \
                n * 100 * (self.spread - 1) // (self.targets - 1) \
                if self.targets > 1 else 0
            total += self.slots * 100 * 1000 // (100 + slowdown_percent)
        return total * self.dcs

    def kill(self, name, signal_number=signal.SIGKILL):
        self.processes[name].send_signal(signal_number)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self.folder)


def run_load(cluster, **options):
    """Runs jt-load against a cluster.

    Returns its result columns, with the frames, the processor time and the
    starts of the run added."""
    fronts = options.pop("fronts", None) or cluster.fronts()
    arguments = [str(cluster.build / "jt-load"), "--capacity",
                 str(cluster.capacity_milli())]
    for front in fronts:
        arguments += ["--front", front]
    for name, value in options.items():
        arguments += [f"--{name}", str(value)]
    before = cluster.counters("dispatch")
    cpu = {p: cluster.cpu_s(p) for p in ("dispatch", "front", "agent")}
    ledger = [cluster.ledger(dc) for dc in range(1, cluster.dcs + 1)]
    output = subprocess.run(arguments, capture_output=True, text=True,
                            check=True).stdout.split()
    result = dict(zip(output[0].split(","), map(int, output[1].split(","))))
    after = cluster.counters("dispatch")
    delta = {k: after[k] - before.get(k, 0) for k in after}
    starts = sum(cluster.ledger(dc)["starts"] - ledger[dc - 1]["starts"]
                 for dc in range(1, cluster.dcs + 1))
    done = max(delta["tries_done"], 1)
    result["wasted_percent"] = round(
        100 * delta["tries_not_run"] / done, 2)  # attempts that did not run
    result["frames_per_job"] = round(
        (delta["frames_in"] + delta["frames_out"]) /
        max(result["jobs"], 1), 2)
    result["starts"] = starts
    result["doubled"] = sum(
        cluster.ledger(dc)["doubled"] - ledger[dc - 1]["doubled"]
        for dc in range(1, cluster.dcs + 1))
    for role, cpu_before in cpu.items():
        result[f"{role}_us_per_task"] = round(
            1e6 * (cluster.cpu_s(role) - cpu_before) / done, 1)
    return result
