"""Measures the costs in docs/CAPACITY.md and fits a line to at least four
points each.

Usage: capacity.py BUILD_DIR
"""
import json
import subprocess
import sys
import time

from cluster import Cluster, http, run_load

BUILD = sys.argv[1]
INSTANT = {"vms": 1, "spread": 1, "targets": 50, "target_threads": 2,
           "settings": {"dispatch": {"shards": 2, "queue_limit": 1000000,
                                     "record_hold_ms": 600000}}}


def fit_line(points):
    """Returns intercept and slope of the least-squares line."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    variance = sum((x - mean_x) ** 2 for x, _ in points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = covariance / variance if variance else 0
    return mean_y - slope * mean_x, slope


def print_fit(name, unit, points):
    intercept, slope = fit_line(points)
    text = ", ".join(f"{x}: {y:.4g}" for x, y in points)
    print(f"{name} [{unit}]\n  {text}\n  = {intercept:.4g} + {slope:.4g} x",
          flush=True)


def run(measure, **options):
    cluster = Cluster(BUILD, **{**INSTANT, **options}).start()
    try:
        return measure(cluster)
    finally:
        cluster.stop()


def processor_by_job_size():
    """Processor time and frames of a job by its number of tasks."""
    dispatch, front, frames = [], [], []
    def measure(cluster):
        run_load(cluster, rate=100000, duration=1000, tasks="20:20",
                 ms="0:0", seed=9, deadline=60000)
        for size in (1, 5, 20, 100, 520):
            result = run_load(cluster, rate=8000 * 1000 // size // 2 + 1000,
                              duration=3000, tasks=f"{size}:{size}",
                              ms="0:0", seed=3, deadline=60000)
            tasks_per_job = result["tasks"] / result["jobs"]
            dispatch.append((size, result["dispatch_us_per_task"] *
                             tasks_per_job))
            front.append((size, result["front_us_per_task"] * tasks_per_job))
            frames.append((size, result["frames_per_job"]))
    run(measure)
    print_fit("dispatcher: processor time of a job by tasks", "us", dispatch)
    print_fit("front: processor time of a job by tasks", "us", front)
    print_fit("frames of a job at the dispatcher by tasks", "frames", frames)


def memory_by_held_answers():
    """Memory of a dispatcher by the number of held answers of 20 tasks."""
    points = []
    def measure(cluster):
        held = 0
        for count in (0, 2000, 4000, 8000, 12000):
            if count > held:
                run_load(cluster, rate=1000 * 1000,
                         duration=count - held, tasks="20:20", ms="0:0",
                         seed=4, deadline=60000)
            state = cluster.dump(1, 1, "dispatch")
            held = sum(s["held_answers"] for s in state["shards"])
            points.append((held, cluster.memory_kb("dispatch")))
    run(measure)
    print_fit("dispatcher: memory by held answers of 20 tasks", "KB", points)


def memory_by_targets():
    """Memory of each role by the number of targets in the list."""
    points = {"dispatch": [], "front": [], "agent": []}
    for targets in (50, 200, 500, 1000):
        def measure(cluster):
            for role in points:
                points[role].append((targets, cluster.memory_kb(role)))
        run(measure, targets=targets)
    for role, values in points.items():
        print_fit(f"{role}: memory by targets", "KB", values)


def memory_by_teams():
    points = {"dispatch": [], "agent": []}
    for teams in (1, 50, 210, 840):
        def measure(cluster):
            for role in points:
                points[role].append((teams, cluster.memory_kb(role)))
        run(measure, teams=teams, quota={"tasks_per_s": 100})
    for role, values in points.items():
        print_fit(f"{role}: memory by teams", "KB", values)


def cost_by_teams():
    """Processor time of a task by the number of teams."""
    points = []
    for teams in (1, 20, 100, 210):
        def measure(cluster):
            run_load(cluster, rate=100000, duration=1000, tasks="20:20",
                     ms="0:0", seed=9, deadline=60000)
            result = run_load(cluster, rate=300 * 1000, duration=3000,
                              tasks="20:20", ms="0:0", teams=teams, seed=3,
                              deadline=60000)
            points.append((teams, result["dispatch_us_per_task"]))
        run(measure, teams=teams)
    print_fit("dispatcher: processor time of a task by teams", "us", points)


def cost_by_targets():
    """Processor time of a task start in the simulation, by targets."""
    points = []
    for targets in (50, 200, 500, 1000, 1900):
        process = subprocess.run(
            [f"{BUILD}/jt-load", "--virtual", "--targets", str(targets),
             "--work", str(targets * 8 * 277), "--capacity",
             str(targets * 8 * 462), "--duration",
             str(max(3000, 3000000 // targets))],
            capture_output=True, text=True, check=True)
        points.append((targets, int(process.stderr.split()[2])))
    print_fit("decisions: processor time of a start by targets", "ns", points)


def configuration():
    """Bytes, requests and processor time by configuration changes."""
    dispatch_bytes, agent_cpu, dispatch_cpu, requests = [], [], [], []
    def measure(cluster):
        platform = f"http://127.{cluster.net}.0.1:7300"
        base = json.loads(http("GET", platform + "/standin/log"))["next"]
        for count in (0, 50, 100, 200, 400):
            before = {p: (cluster.counters(p), cluster.cpu_s(p))
                      for p in ("agent", "dispatch")}
            for i in range(count):
                record = {"section": f"s{i}", "base": 0,
                          "edit_id": f"c{count}-{i}",
                          "text": json.dumps({"note": "x" * 900})}
                record["section"] = f"s{count}-{i}"
                http("POST", platform + "/v1/log/config",
                     json.dumps(record))
                time.sleep(0.01)
            base += count
            cluster.wait(lambda: cluster.dump(1, 1, "dispatch")
                         ["config_offset"] >= base - 1)
            after = {p: (cluster.counters(p), cluster.cpu_s(p))
                     for p in ("agent", "dispatch")}
            dispatch_bytes.append(
                (count, after["dispatch"][0]["bytes_in"] -
                 before["dispatch"][0]["bytes_in"]))
            agent_cpu.append((count, 1e3 * (after["agent"][1] -
                                            before["agent"][1])))
            dispatch_cpu.append((count, 1e3 * (after["dispatch"][1] -
                                               before["dispatch"][1])))
            requests.append((count,
                             after["agent"][0]["platform_requests"] -
                             before["agent"][0]["platform_requests"]))
    run(measure, poll_ms=20)
    print_fit("dispatcher: bytes by changes of 1 KB", "bytes", dispatch_bytes)
    print_fit("agent: processor time by changes", "ms", agent_cpu)
    print_fit("dispatcher: processor time by changes", "ms", dispatch_cpu)


def member_list():
    """Bytes that a process receives when the list of VMs changes."""
    points = []
    for targets in (50, 200, 500, 1000):
        def measure(cluster):
            before = cluster.counters("dispatch")["bytes_in"]
            vms = json.loads(cluster.vm_list())
            vms["vms"][-1]["state"] = "leaving"
            http("PUT", f"http://127.{cluster.net}.0.1:7300/standin/vms",
                 json.dumps(vms))
            cluster.wait(lambda: cluster.dump(1, 1, "dispatch")["targets"]
                         [-1]["leaving"])
            points.append((targets, cluster.counters("dispatch")["bytes_in"] -
                           before))
        run(measure, targets=targets, poll_ms=100)
    print_fit("dispatcher: bytes of a changed list by targets", "bytes", points)


def main():
    processor_by_job_size()
    memory_by_held_answers()
    memory_by_targets()
    memory_by_teams()
    cost_by_teams()
    cost_by_targets()
    configuration()
    member_list()


if __name__ == "__main__":
    main()
