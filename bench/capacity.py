"""Measures the slopes of docs/CAPACITY.md: at least four points each.

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


def slope(points):
    """Least squares: y = a + b * x."""
    n = len(points)
    mx = sum(x for x, _ in points) / n
    my = sum(y for _, y in points) / n
    var = sum((x - mx) ** 2 for x, _ in points)
    b = sum((x - mx) * (y - my) for x, y in points) / var if var else 0
    return my - b * mx, b


def show(name, unit, points):
    a, b = slope(points)
    text = ", ".join(f"{x}: {y:.4g}" for x, y in points)
    print(f"{name} [{unit}]\n  {text}\n  = {a:.4g} + {b:.4g} x", flush=True)


def run(body, **options):
    cluster = Cluster(BUILD, **{**INSTANT, **options}).start()
    try:
        return body(cluster)
    finally:
        cluster.stop()


def processor_by_job_size():
    """Processor time of a job by its number of tasks, and frames."""
    dispatch, front, frames, agent = [], [], [], []
    def body(cluster):
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
    run(body)
    show("dispatcher: processor time of a job by tasks", "us", dispatch)
    show("front: processor time of a job by tasks", "us", front)
    show("frames of a job at the dispatcher by tasks", "frames", frames)


def memory_by_held():
    """Memory of a dispatcher by finished jobs of 20 tasks that it holds."""
    points = []
    def body(cluster):
        held = 0
        for count in (0, 2000, 4000, 8000, 12000):
            if count > held:
                run_load(cluster, rate=1000 * 1000,
                         duration=count - held, tasks="20:20", ms="0:0",
                         seed=4, deadline=60000)
            state = cluster.dump(1, 1, "dispatch")
            held = sum(s["held_answers"] for s in state["shards"])
            points.append((held, cluster.memory_kb("dispatch")))
    run(body)
    show("dispatcher: memory by held answers of 20 tasks", "KB", points)


def memory_by_targets():
    """Memory of each role by the number of targets in the list."""
    points = {"dispatch": [], "front": [], "agent": []}
    for targets in (50, 200, 500, 1000):
        def body(cluster):
            for part in points:
                points[part].append((targets, cluster.memory_kb(part)))
        run(body, targets=targets)
    for part, values in points.items():
        show(f"{part}: memory by targets", "KB", values)


def memory_by_teams():
    points = {"dispatch": [], "agent": []}
    for teams in (1, 50, 210, 840):
        def body(cluster):
            for part in points:
                points[part].append((teams, cluster.memory_kb(part)))
        run(body, teams=teams, quota={"tasks_per_s": 100})
    for part, values in points.items():
        show(f"{part}: memory by teams", "KB", values)


def cost_by_teams():
    """Processor time of a task by the number of teams."""
    points = []
    for teams in (1, 20, 100, 210):
        def body(cluster):
            run_load(cluster, rate=100000, duration=1000, tasks="20:20",
                     ms="0:0", seed=9, deadline=60000)
            result = run_load(cluster, rate=300 * 1000, duration=3000,
                              tasks="20:20", ms="0:0", teams=teams, seed=3,
                              deadline=60000)
            points.append((teams, result["dispatch_us_per_task"]))
        run(body, teams=teams)
    show("dispatcher: processor time of a task by teams", "us", points)


def cost_by_targets():
    """Processor time of a task's decisions by targets, virtual clock."""
    points = []
    for targets in (50, 200, 500, 1000, 1900):
        process = subprocess.run(
            [f"{BUILD}/jt-load", "--virtual", "--targets", str(targets),
             "--work", str(targets * 8 * 277), "--capacity",
             str(targets * 8 * 462), "--duration",
             str(max(3000, 3000000 // targets))],
            capture_output=True, text=True, check=True)
        points.append((targets, int(process.stderr.split()[2])))
    show("decisions: processor time of a start by targets", "ns", points)


def configuration():
    """Bytes, messages and processor time of changes of configuration."""
    dispatch_bytes, agent_cpu, dispatch_cpu, requests = [], [], [], []
    def body(cluster):
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
    run(body, poll_ms=20)
    show("dispatcher: bytes by changes of 1 KB", "bytes", dispatch_bytes)
    show("agent: processor time by changes", "ms", agent_cpu)
    show("dispatcher: processor time by changes", "ms", dispatch_cpu)


def member_list():
    """Bytes of the list of VMs that an agent sends its processes."""
    points = []
    for targets in (50, 200, 500, 1000):
        def body(cluster):
            before = cluster.counters("dispatch")["bytes_in"]
            vms = json.loads(cluster.vm_list())
            vms["vms"][-1]["state"] = "leaving"
            http("PUT", f"http://127.{cluster.net}.0.1:7300/standin/vms",
                 json.dumps(vms))
            cluster.wait(lambda: cluster.dump(1, 1, "dispatch")["targets"]
                         [-1]["leaving"])
            points.append((targets, cluster.counters("dispatch")["bytes_in"] -
                           before))
        run(body, targets=targets, poll_ms=100)
    show("dispatcher: bytes of a changed list by targets", "bytes", points)


def main():
    processor_by_job_size()
    memory_by_held()
    memory_by_targets()
    memory_by_teams()
    cost_by_teams()
    cost_by_targets()
    configuration()
    member_list()


if __name__ == "__main__":
    main()
