"""Runs the benchmarks of docs/measurements.md and prints one table.

Usage: run.py BUILD_DIR OUT_DIR [--quick]
Variants are compared within one run, with the same seeds, as ratios.
"""
import csv
import pathlib
import subprocess
import sys
import threading
import time

from cluster import Cluster, run_load

KUISEB = {"tasks": "1:12", "ms": "50:400"}
HIVECRAFT = {"tasks": "1:40", "ms": "50:1000", "long": 20}
DEADLINE = {"deadline": 60000}
COLUMNS = ["name", "policy", "jobs", "tasks", "complete", "failed", "refused",
           "cancelled", "broken", "slow_p50", "slow_p99", "slow_p999",
           "wasted_percent", "frames_per_job", "dispatch_us_per_task",
           "front_us_per_task", "doubled"]


class Report:
    def __init__(self, out):
        self.out = pathlib.Path(out)
        self.out.mkdir(parents=True, exist_ok=True)
        self.rows = []

    def add(self, name, policy, result):
        row = {"name": name, "policy": policy, **result}
        self.rows.append(row)
        print("  ".join(f"{c}={row.get(c, '')}" for c in COLUMNS), flush=True)

    def write(self):
        with open(self.out / "results.csv", "w", newline="") as file:
            writer = csv.DictWriter(file, COLUMNS, extrasaction="ignore")
            writer.writeheader()
            writer.writerows(self.rows)


def warm_up(cluster):
    run_load(cluster, work=cluster.capacity_milli() // 3, duration=1500,
             seed=99, **DEADLINE)


def load_at(cluster, percent, duration, seed=2, **options):
    return run_load(cluster, work=cluster.capacity_milli() * percent // 100,
                    duration=duration, seed=seed, **{**DEADLINE, **options})


def with_cluster(measure, **options):
    cluster = Cluster(BUILD, **options).start()
    try:
        warm_up(cluster)
        measure(cluster)
    finally:
        cluster.stop()


def routing(report, policies, percents, duration):
    """Compares routing policies."""
    for policy in policies:
        def measure(cluster):
            for percent in percents:
                report.add(f"load {percent}%", policy,
                           load_at(cluster, percent, duration, **KUISEB))
        with_cluster(measure, settings={"dispatch": {"routing": policy}})


def ordering(report, duration):
    """Compares orderings for a mix of small and very large jobs."""
    for policy in ("fifo", "round_robin", "fewest_left"):
        def measure(cluster):
            report.add("burst, 1 to 520 tasks", policy,
                       load_at(cluster, 70, duration, tasks="1:520",
                               ms="50:200"))
        with_cluster(measure, settings={"dispatch": {"ordering": policy}})


def faults(report, duration):
    """Measures one disturbance at a time, after runs without any."""
    def measure(cluster):
        report.add("kuiseb 60%", "slack",
                   load_at(cluster, 60, duration, **KUISEB))
        report.add("hivecraft 60%", "slack",
                   load_at(cluster, 60, duration, **HIVECRAFT))
        report.add("burst of 10 times at 20%", "slack",
                   load_at(cluster, 20, duration, burst=10, **KUISEB))
        report.add("declared times off by 10", "slack",
                   load_at(cluster, 60, duration, wrong=10, **KUISEB))
        report.add("impossible 5%", "slack",
                   load_at(cluster, 60, duration, impossible=50, **KUISEB))
        report.add("half cancelled", "slack",
                   load_at(cluster, 60, duration, cancel=500, **KUISEB))
        cluster.set_targets("runner=all&stragglers=50")
        report.add("stragglers 5%", "slack",
                   load_at(cluster, 60, duration, **KUISEB))
        cluster.set_targets("runner=0&mode=fail")
        report.add("stragglers 5%, one bad worker", "slack",
                   load_at(cluster, 60, duration, **KUISEB))
        cluster.set_targets("runner=all&stragglers=0")
        report.add("one bad worker", "slack",
                   load_at(cluster, 60, duration, **KUISEB))
        cluster.set_targets("runner=0&mode=serve")
        for n in range(0, 50, 3):
            cluster.set_targets(f"runner={n}&leaving=1")
        report.add("a third of the targets leaving", "slack",
                   load_at(cluster, 40, duration, **KUISEB))
    with_cluster(measure)


def dispatcher_killed(report, duration):
    """Kills the dispatcher that all callers use halfway through the run."""
    def measure(cluster):
        def kill():
            time.sleep(duration / 2000)
            cluster.kill("dispatch11")
        thread = threading.Thread(target=kill)
        thread.start()
        result = load_at(cluster, 40, duration, fronts=[cluster.front()],
                         **KUISEB)
        thread.join()
        for column in ("wasted_percent", "frames_per_job",
                       "dispatch_us_per_task"):
            result[column] = ""  # its counters are lost
        report.add("dispatcher killed", "slack", result)
    with_cluster(measure)


def quota(report, duration):
    """One team exceeds its quota up to 10 times; 20 others keep theirs."""
    rate = 40
    def measure(cluster):
        result = run_load(cluster, rate=30 * 1000 // 4, duration=duration,
                          tasks="4:4", ms="50:50", teams=21, greedy=33,
                          seed=5, **DEADLINE)
        report.add("one team over its quota", "slack", result)
        result = run_load(cluster, rate=125 * 1000, duration=duration,
                          tasks="4:4", ms="50:50", teams=21, greedy=80,
                          seed=6, **DEADLINE)
        report.add("one team at 10 times its quota", "slack", result)
        accepted = result["jobs_first"] - result["refused_first"]
        # The quota allows a burst of one second.
        allowed = rate / 4 * (duration / 1000 + 1)
        print(f"  team t0: {result['jobs_first']} jobs, {accepted} accepted, "
              f"{allowed:.0f} allowed, {accepted / allowed:.3f} of its quota; "
              f"refused of other teams: "
              f"{result['refused'] - result['refused_first']}", flush=True)
    with_cluster(measure, teams=21, quota={"tasks_per_s": rate})


def idle(report, seconds):
    """Measures messages, wake-ups and processor time of an idle system."""
    def measure(cluster):
        time.sleep(2)
        roles = ("front", "dispatch", "agent")
        before = {p: cluster.counters(p) for p in roles}
        cpu = {p: cluster.cpu_s(p) for p in roles}
        time.sleep(seconds)
        for role in roles:
            after = cluster.counters(role)
            delta = {k: after[k] - before[role][k] for k in after}
            # Each dump costs a connection, a hello, a request and a reply.
            messages = delta["frames_in"] + delta["frames_out"] - 4 * 2 + \
                2 * delta["platform_requests"]
            cpu_ms = 1000 * (cluster.cpu_s(role) - cpu[role])
            print(f"  idle {role}: {max(messages, 0) / seconds / 2:.2f} "
                  f"messages/s, {delta['wakeups'] / seconds / 2:.2f} "
                  f"wake-ups/s, {cpu_ms / seconds / 2:.2f} ms processor/s "
                  "a process", flush=True)
    with_cluster(measure, poll_ms=5000)


def throughput(report, seconds):
    """Compares a dispatcher on two threads with a plain libcurl loop, on
    stand-ins that answer at once."""
    options = {"vms": 1, "spread": 1, "target_threads": 3,
               "settings": {"dispatch": {"shards": 2,
                                         "queue_limit": 1000000}}}
    def measure(cluster):
        urls = [f"http://{cluster.target(1, n)}:9000" for n in range(50)]
        # Its task ids repeat, so the ledger counts them as doubled.
        baseline = {}
        for connections in (50, 100, 200):
            baseline[connections] = int(subprocess.run(
                [str(cluster.build / "bare-loop"), "2", str(connections),
                 str(seconds)] + urls, capture_output=True, text=True,
                check=True).stdout)
        started = time.time()
        result = run_load(cluster, rate=2500 * 1000, duration=seconds * 1000,
                          tasks="20:20", ms="0:0", seed=2, threads=2,
                          deadline=60000)
        rate = result["complete_tasks"] / (time.time() - started)
        report.add("instant tasks, 2 threads", "slack", result)
        print(f"  libcurl loop, by connections per thread: {baseline}")
        print(f"  dispatcher: {rate:.0f} starts/s, "
              f"{rate / baseline[200]:.2f} of the libcurl loop's at 200",
              flush=True)
    with_cluster(measure, **options)


def virtual(counts):
    """Simulates a dispatcher for several numbers of targets."""
    for targets in counts:
        capacity = targets * 8 * 462
        process = subprocess.run(
            [f"{BUILD}/jt-load", "--virtual", "--targets", str(targets),
             "--work", str(capacity * 60 // 100), "--capacity",
             str(capacity), "--duration",
             str(max(3000, 3000000 // targets))],
            capture_output=True, text=True, check=True)
        values = process.stdout.split()[1].split(",")
        print(f"  virtual, {targets} targets at 60%: median "
              f"{int(values[10]) / 1000} p99 {int(values[11]) / 1000}; "
              f"{process.stderr.strip()}", flush=True)


def placement(seeds):
    """Runs the placement benchmark of a node's pool."""
    subprocess.run([f"{BUILD}/placement-bench", str(seeds)], check=True)


def plot(report):
    script = report.out / "slowdown.gp"
    script.write_text(
        "set terminal pngcairo size 900,500\n"
        f"set output '{report.out}/slowdown.png'\n"
        "set datafile separator ','\nset style data histogram\n"
        "set style fill solid\nset logscale y\n"
        "set ylabel 'response over ideal, 1/1000'\n"
        "set xtics rotate by -35\n"
        f"plot '{report.out}/results.csv' every ::1 using 10:xtic(1) "
        "title 'median', '' every ::1 using 11 title 'p99'\n")
    subprocess.run(["gnuplot", str(script)], check=False)


def main(out, is_quick):
    report = Report(out)
    if is_quick:
        routing(report, ("expected", "slack"), (60,), 4000)
        idle(report, 5)
        throughput(report, 2)
        virtual((50, 500))
        placement(1)
    else:
        routing(report, ("random", "least_outstanding", "two_choices",
                         "expected", "slack"), (30, 60, 80, 95), 8000)
        ordering(report, 8000)
        faults(report, 8000)
        dispatcher_killed(report, 8000)
        quota(report, 8000)
        idle(report, 20)
        throughput(report, 3)
        virtual((50, 200, 500, 1000, 1900))
        placement(5)
    report.write()
    plot(report)


if __name__ == "__main__":
    BUILD = sys.argv[1]
    main(sys.argv[2], "--quick" in sys.argv)
