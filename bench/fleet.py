"""Plots goodput by kind against offered load, with the bound.

Usage: fleet.py BUILD_DIR OUT_DIR PLOT_DIR
Runs fleet-bench, two processes at once, for each workload, policy and load.
OUT_DIR gets fleet.csv and faults.txt, PLOT_DIR an SVG file a workload.
"""
import concurrent.futures
import csv
import pathlib
import subprocess
import sys

PROCESSES = 2
WORKLOADS = ("swing", "uneven")
POLICIES = ("product", "two", "central")
FAULTS = ("none", "owner", "news", "cut")
LOADS_PERCENT = range(60, 201, 20)
FAULT_LOAD_PERCENT = 80
# A third of the targets of the workloads: the central pool gets slow with long
# queues. The same for all policies.
SIZE = ["--owners", "3", "--targets", "39"]
COLUMNS = ["workload", "policy", "load", "kind", "jobs", "in_time", "late",
           "refused", "refusal_ms", "failed", "owed", "earned", "bound",
           "used_mean", "used_peak", "wasted"]
WIDTH = 1100
HEIGHT = 380


def run_bench(build, *args):
    command = [str(build / "fleet-bench"), *SIZE, *map(str, args)]
    return subprocess.run(command, check=True, capture_output=True,
                          text=True).stdout


def run_all(calls):
    """@return the output of each call, in order"""
    with concurrent.futures.ThreadPoolExecutor(PROCESSES) as pool:
        return list(pool.map(lambda call: run_bench(*call), calls))


def measure_loads(build):
    calls = [(build, "--csv", "--workload", workload, "--policy", policy,
              "--load", load)
             for workload in WORKLOADS for policy in POLICIES
             for load in LOADS_PERCENT]
    lines = "".join(run_all(calls)).splitlines()
    return list(csv.DictReader(lines, COLUMNS))


def measure_faults(build):
    calls = [(build, "--workload", workload, "--fault", fault,
              "--load", FAULT_LOAD_PERCENT)
             for workload in WORKLOADS for fault in FAULTS]
    return "".join(run_all(calls))


def write_rows(path, rows):
    with open(path, "w", newline="") as file:
        writer = csv.DictWriter(file, COLUMNS)
        writer.writeheader()
        writer.writerows(rows)


def add_sums(rows):
    """Adds a row of kind "all" for each run."""
    sums = {}
    for row in rows:
        key = (row["workload"], row["policy"], row["load"])
        total = sums.setdefault(key, {**row, "kind": "all", "owed": 0,
                                      "earned": 0, "bound": 0})
        for column in ("owed", "earned", "bound"):
            total[column] += float(row[column])
    return rows + list(sums.values())


def kinds_of(rows, workload):
    return sorted({row["kind"] for row in rows
                   if row["workload"] == workload})


def write_series(path, rows, column):
    """Writes offered load, and value earned in parts of the value owed at
    load 1 (so 1 is all of it at load 1)."""
    with open(path, "w") as file:
        for row in rows:
            goodput = float(row["load"]) * float(row[column]) / \
                float(row["owed"])
            file.write(f"{row['load']} {goodput:.4f}\n")


def select(rows, workload, kind, policy):
    return [row for row in rows if (row["workload"], row["kind"],
                                    row["policy"]) == (workload, kind, policy)]


def plot_kind(out, rows, workload, kind):
    """@return the plot command for one kind"""
    parts = []
    for policy in POLICIES:
        path = out / f"{workload}-{kind}-{policy}.dat"
        write_series(path, select(rows, workload, kind, policy), "earned")
        parts.append(f"'{path}' with linespoints title '{policy}'")
    path = out / f"{workload}-{kind}-bound.dat"
    write_series(path, select(rows, workload, kind, "product"), "bound")
    parts.append(f"'{path}' with lines dashtype 2 lc 'black' title 'bound'")
    return f"set title '{kind}'\nplot {', '.join(parts)}\n"


def plot_workload(out, plots, rows, workload):
    script = out / f"{workload}.gp"
    kinds = kinds_of(rows, workload)
    script.write_text(
        f"set terminal svg size {WIDTH},{HEIGHT} background 'white'\n"
        f"set output '{plots}/fleet-{workload}.svg'\n"
        f"set multiplot layout 1,{len(kinds)} title '{workload}'\n"
        "set xlabel 'offered load'\nset ylabel 'goodput'\n"
        "set xrange [0.5:2.1]\nset yrange [0:2.1]\nset key top left\n"
        "set grid\n" +
        "".join(plot_kind(out, rows, workload, kind) for kind in kinds) +
        "unset multiplot\n")
    subprocess.run(["gnuplot", str(script)], check=True)


def main(build, out, plots):
    out.mkdir(parents=True, exist_ok=True)
    plots.mkdir(parents=True, exist_ok=True)
    rows = measure_loads(build)
    write_rows(out / "fleet.csv", rows)
    for workload in WORKLOADS:
        plot_workload(out, plots, add_sums(rows), workload)
    faults = measure_faults(build)
    (out / "faults.txt").write_text(faults)
    print(faults, end="")


if __name__ == "__main__":
    main(*map(pathlib.Path, sys.argv[1:4]))
