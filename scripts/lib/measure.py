"""Measures the data path, overload, a planned stop and idle cost against their baselines.

Prints a table and one JSON line for each figure: name, baseline, current, ratio, unit, better. The
baseline is a bare pass-through where there is one, otherwise the design's bound. Every load is
bounded in count and time and has a fixed seed.
"""

import argparse
import hashlib
import json
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import threading
import time

from deployment import Deployment, DeploymentError

TOKEN = "token-load"
ENGINES = 4
TOKENS_PER_ANSWER = 32
SEED = "1"
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
VMS = [("vm-1", "domain-a", "region-a"), ("vm-2", "domain-a", "region-a")]


class Figures:
    """Collected figures; `better` is lower or higher."""

    def __init__(self):
        self.rows = []

    def add(self, name, baseline, current, unit, better):
        ratio = current / baseline if baseline else None
        self.rows.append({"name": name, "baseline": baseline, "current": current, "ratio": ratio,
                          "unit": unit, "better": better})

    def print(self):
        columns = ["name", "baseline", "current", "ratio", "unit", "better"]
        table = [columns] + [[self.cell(row[key]) for key in columns] for row in self.rows]
        widths = [max(len(line[i]) for line in table) for i in range(len(columns))]
        for line in table:
            print("  ".join(text.ljust(width) for text, width in zip(line, widths)).rstrip())
        for row in self.rows:
            print(json.dumps(row))

    @staticmethod
    def cell(value):
        if value is None:
            return "-"
        return f"{value:.3f}" if isinstance(value, float) else str(value)


def write_sample(folder, slots):
    """A deployment with one model, one team and equal engines, so that only the path differs."""
    team = {"token_sha256": hashlib.sha256(TOKEN.encode()).hexdigest(), "allowed": ["m"]}
    version = {"state": "settled", "cost_per_1k_input": 0.1, "cost_per_1k_output": 0.3}
    route = {"steps": ["m"], "quality_target": 0.5, "deadline_ms": 5000, "first_token_ms": 1000,
             "class": "short"}
    files = {
        "models": {"m": {"quality": 0.9, "versions": {"m-1": version}}},
        "teams": {"load": team},
        "routes": {"direct": route},
        "upstreams": {f"engine-{i}": {
            "kind": "engine", "address": "127.0.0.1:0", "failure_domain": "domain-a",
            "region": "region-a", "versions": ["m-1"], "slots": slots, "speed": 1.0,
            "checks_fencing": True} for i in range(1, ENGINES + 1)},
    }
    folder.mkdir(parents=True, exist_ok=True)
    for name, content in files.items():
        (folder / f"{name}.json").write_text(json.dumps({name: content}, indent=2))
    return folder


def make_deployment(build, slots, token_us):
    folder = pathlib.Path(tempfile.mkdtemp(prefix="wagtailhitch-measure-"))
    options = ["--token-us", token_us, "--prompt-us", 1, "--batch-penalty", 0,
               "--minimum-tokens", TOKENS_PER_ANSWER, "--maximum-tokens", TOKENS_PER_ANSWER]
    out = Deployment(write_sample(folder, slots), build, VMS, options)
    out.start()
    out.submit()
    # Readiness is reported before every engine has answered its first probe.
    time.sleep(2)
    return out


def stop(deployment):
    deployment.stop()
    deployment.remove_files()
    shutil.rmtree(deployment.sample, ignore_errors=True)


def load(build, targets, model, rate, seconds, token=None):
    """Runs the load tool; returns its summary of all requests."""
    command = [str(build / "load"), "--kind", f"{model}:1:400", "--rate", str(rate),
               "--seconds", str(seconds), "--requests", "100000", "--seed", SEED,
               "--timeout-ms", "15000"]
    for target in targets:
        command += ["--target", f"127.0.0.1:{target}"]
    if token:
        command += ["--token", token]
    result = subprocess.run(command, capture_output=True, text=True, check=False,
                            timeout=seconds + 60)
    if result.returncode != 0:
        raise DeploymentError(f"The load tool failed: {result.stderr}")
    return json.loads(result.stdout.splitlines()[-1])


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_megabytes(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def process_named(deployment, name):
    return next(p for p in deployment.processes if p.name == name)


def run_measured_load(build, pid, *arguments):
    """Runs a load and returns (summary, CPU milliseconds per request of the process)."""
    before = cpu_seconds(pid)
    summary = load(build, *arguments)
    used = cpu_seconds(pid) - before
    if summary["answered"] != summary["sent"]:
        print(f"note: {summary['answered']} of {summary['sent']} answered; refused "
              f"{summary['refused']}, broken {summary['broken']}", file=sys.stderr)
    return summary, used * 1000 / max(summary["answered"], 1)


def measure_data_path(build, figures, seconds):
    """Added latency and CPU of one VM, and of the pass-through, over calling engines directly."""
    rate = 100
    deployment = make_deployment(build, 64, 500)
    try:
        engines = [deployment.ports[f"engine-{i}"] for i in range(1, ENGINES + 1)]
        file = deployment.root / "pass-through.port"
        command = [build / "pass_through", "--port-file", file]
        for port in engines:
            command += ["--upstream", f"127.0.0.1:{port}"]
        baseline = deployment.spawn("pass-through", command)
        port = deployment.port_of(baseline, file)
        # The first run of each path fills its connection pools and is not counted.
        vm = deployment.ports["vm-1"]
        load(build, [port], "m-1", rate, 1)
        load(build, [vm], "direct", rate, 1, TOKEN)
        direct = load(build, engines, "m-1", rate, seconds)
        bare, bare_cpu = run_measured_load(build, baseline.child.pid, [port], "m-1", rate, seconds)
        router, router_cpu = run_measured_load(
            build, process_named(deployment, "vm-1").child.pid, [vm], "direct",
            rate, seconds, TOKEN)
        for quantile in ("p50", "p99"):
            for key in ("first_token_ms", "total_ms"):
                name = f"{key.removesuffix('_ms').replace('_', ' ')} {quantile}"
                start = direct[key][quantile]
                figures.add(name, bare[key][quantile], router[key][quantile], "ms", "lower")
                figures.add(f"added {name}", bare[key][quantile] - start,
                            router[key][quantile] - start, "ms", "lower")
        figures.add("CPU per request", bare_cpu, router_cpu, "ms", "lower")
    finally:
        stop(deployment)


def measure_overload(build, figures, seconds):
    """Goodput at twice the load that the engines can carry."""
    slots, token_us = 4, 4000
    peak = ENGINES * slots / (TOKENS_PER_ANSWER * token_us / 1e6)
    deployment = make_deployment(build, slots, token_us)
    try:
        vms = [deployment.ports[vm] for vm, _, _ in VMS]
        full = load(build, vms, "direct", peak, seconds, TOKEN)
        double = load(build, vms, "direct", 2 * peak, seconds, TOKEN)
        print(f"note: at 1x {full['refused']} {full['broken']}; at 2x {double['refused']} "
              f"{double['broken']}", file=sys.stderr)
        figures.add("goodput at 2x load, of that at 1x", full["goodput_per_s"],
                    double["goodput_per_s"], "requests/s", "higher")
    finally:
        stop(deployment)


def measure_stop(build, figures, seconds):
    """Requests that a planned stop of one VM of two interrupts."""
    deployment = make_deployment(build, 64, 2000)
    try:
        vm = process_named(deployment, "vm-2")
        results = {}

        def run():
            results["vm-2"] = load(build, [deployment.ports["vm-2"]], "direct", 50, seconds, TOKEN)
        thread = threading.Thread(target=run)
        thread.start()
        time.sleep(seconds / 2)
        deployment.control("vm-list", {"states": {"vm-2": "leaving"}})
        vm.stop()
        code = vm.wait()
        thread.join()
        broken = dict(results["vm-2"]["broken"])
        # New connections are refused after the stop; the load balancer would send them elsewhere.
        refused = broken.pop("connect_failed", 0)
        print(f"note: exit code {code}, {results['vm-2']['answered']} answered, {refused} "
              f"connections refused after the stop, broken {broken}", file=sys.stderr)
        figures.add("requests interrupted by a planned stop", 0, sum(broken.values()), "requests",
                    "lower")
    finally:
        stop(deployment)


def measure_idle(build, figures, seconds):
    """Control cost of a VM without requests, against the design's bounds."""
    deployment = make_deployment(build, 8, 5000)
    try:
        pid = process_named(deployment, "vm-1").child.pid
        before = cpu_seconds(pid)
        time.sleep(seconds)
        share = (cpu_seconds(pid) - before) / seconds * 100
        figures.add("idle CPU of a VM", 1.7, share, "% of a core", "lower")
        figures.add("memory of a VM", 128.0, resident_megabytes(pid), "MB", "lower")
        started = time.monotonic()
        models = json.loads((deployment.sample / "models.json").read_text())
        models["models"]["m"]["versions"]["m-1"]["cost_per_1k_output"] = 0.2
        (deployment.sample / "models.json").write_text(json.dumps(models))
        before = set(deployment.revisions().values())
        deployment.submit_files()
        while set(deployment.revisions().values()) & before:
            time.sleep(0.005)
            if time.monotonic() - started > 60:
                raise DeploymentError("The change was not in force after 60 s.")
        figures.add("time until a change is in force everywhere", 9.0,
                    time.monotonic() - started, "s", "lower")
    finally:
        stop(deployment)


MEASUREMENTS = {"data-path": measure_data_path, "overload": measure_overload,
                "stop": measure_stop, "idle": measure_idle}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True, type=pathlib.Path)
    parser.add_argument("--seconds", type=int, default=10, help="length of each load")
    parser.add_argument("--only", choices=sorted(MEASUREMENTS), action="append")
    options = parser.parse_args()
    if not 1 <= options.seconds <= 120:
        parser.error("--seconds is from 1 to 120")
    figures = Figures()
    failed = False
    for name in options.only or list(MEASUREMENTS):
        try:
            MEASUREMENTS[name](options.build, figures, options.seconds)
        except (DeploymentError, OSError, subprocess.TimeoutExpired) as failure:
            failed = True
            print(f"FAILED: {name}: {failure}", file=sys.stderr)
    figures.print()
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
