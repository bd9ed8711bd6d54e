"""Starts one deployment on the loopback interface: stand-ins for the platform, and VMs.

    deployment = Deployment("samples/cuenca", "build-release", VMS)
    deployment.start()
    deployment.submit()
    ...
    codes = deployment.stop()      # exit codes by process name

All ports are chosen by the kernel, so that deployments on one machine do not clash.
"""

import http.client
import json
import pathlib
import secrets
import shutil
import signal
import subprocess
import tempfile
import time

WAIT_SECONDS = 30  # for a port, readiness or an exit; far above the time needed on a busy machine


class DeploymentError(Exception):
    """A step of the deployment failed; the message says which."""


def call(port, method, path, body=None, headers=None, timeout=60):
    """One HTTP call; returns (status, headers, body text)."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        text = json.dumps(body) if body is not None and not isinstance(body, str) else body
        connection.request(method, path, text, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read().decode()
    finally:
        connection.close()


def wait_for(what, condition, seconds=WAIT_SECONDS):
    """Calls condition until it returns a true value, and returns that value."""
    limit = time.monotonic() + seconds
    while time.monotonic() < limit:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise DeploymentError(f"Waited {seconds} s for {what}.")


class Process:
    """A started program and its output file."""

    def __init__(self, name, command, directory):
        self.name = name
        self.log = directory / f"{name}.log"
        with open(self.log, "wb") as out:
            self.child = subprocess.Popen(command, stdout=out, stderr=subprocess.STDOUT,
                                          start_new_session=True)

    def check_alive(self):
        code = self.child.poll()
        if code is not None:
            tail = self.log.read_text(errors="replace")[-2000:]
            raise DeploymentError(f"{self.name} ended with code {code}:\n{tail}")

    def stop(self):
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGTERM)

    def wait(self):
        try:
            return self.child.wait(WAIT_SECONDS)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait()
            return None


class Deployment:
    """vms: list of (id, failure domain, region). engine_options: further options by upstream."""

    def __init__(self, sample, build, vms, engine_options=()):
        self.sample = pathlib.Path(sample)
        self.build = pathlib.Path(build)
        self.vms = vms
        self.engine_options = list(engine_options)
        self.root = pathlib.Path(tempfile.mkdtemp(prefix="wagtailhitch-"))
        self.processes = []
        self.ports = {}       # stand-ins and callers' ports of VMs
        self.peer_ports = {}
        self.document = {}

    # ---- processes

    def spawn(self, name, command):
        process = Process(name, [str(word) for word in command], self.root)
        self.processes.append(process)
        return process

    def port_of(self, process, file):
        def read():
            process.check_alive()
            return file.read_text().strip() if file.exists() else None
        text = wait_for(f"the port of {process.name}", read)
        return int(text.rsplit(":", 1)[-1])

    def standin(self, name, kind, *options):
        file = self.root / f"{name}.port"
        command = [self.build / "wagtailhitch-standin", kind, "--port", 0, "--port-file", file]
        process = self.spawn(name, command + list(options))
        return lambda: self.ports.__setitem__(name, self.port_of(process, file))

    def start(self):
        self.start_platform()
        self.start_upstreams()
        self.make_operator_key()
        self.start_vms()

    def start_platform(self):
        waits = [self.standin("log", "log"),
                 self.standin("vm-list", "vm-list", "--lag-ms", 0),
                 self.standin("ratings", "ratings"),
                 self.standin("weights", "weights")]
        for wait in waits:
            wait()

    def start_upstreams(self):
        upstreams = json.loads((self.sample / "upstreams.json").read_text())["upstreams"]
        waits = []
        for name, spec in upstreams.items():
            if spec["kind"] == "engine":
                options = ["--name", name, "--versions", ",".join(spec["versions"]),
                           "--slots", spec["slots"], "--speed", spec["speed"]]
                if spec["checks_fencing"]:
                    options.append("--check-fencing")
                waits.append(self.standin(name, "engine", *options, *self.engine_options))
            else:
                waits.append(self.standin(name, "service", "--name", spec["service"]))
        for wait in waits:
            wait()
        for name, spec in upstreams.items():
            spec["address"] = f"127.0.0.1:{self.ports[name]}"
        self.document = {"upstreams": upstreams}

    def make_operator_key(self):
        """Makes an operator's key pair and keeps the public key for the VMs' settings."""
        key_file = self.root / "operator.key"
        result = subprocess.run([str(self.build / "wagtailhitch"), "keygen", str(key_file)],
                                capture_output=True, text=True, check=False)
        if result.returncode != 0:
            raise DeploymentError(f"keygen failed: {result.stderr}")
        self.key_file = key_file
        self.public_key = result.stdout.strip().split()[-1]

    def settings(self, vm, domain, region):
        platform = {"log": "log", "vm_list": "vm-list", "ratings": "ratings",
                    "weights": "weights"}
        return {
            "vm": vm, "failure_domain": domain, "region": region,
            "caller_listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0",
            "caller_port_file": str(self.root / f"{vm}.port"),
            "peer_port_file": str(self.root / f"{vm}.peer"),
            "platform": {key: f"127.0.0.1:{self.ports[name]}" for key, name in platform.items()},
            "cluster_key": self.cluster_key, "session_key": self.session_key,
            "operator_keys": {"operator": self.public_key},
        }

    def start_vms(self):
        self.cluster_key = secrets.token_hex(32)
        self.session_key = secrets.token_hex(32)
        started = [(vm, self.start_vm(vm, domain, region)) for vm, domain, region in self.vms]
        for vm, process in started:
            self.ports[vm] = self.port_of(process, self.root / f"{vm}.port")
            self.peer_ports[vm] = self.port_of(process, self.root / f"{vm}.peer")
        self.publish_vm_list()

    def start_vm(self, vm, domain, region):
        file = self.root / f"{vm}.json"
        file.write_text(json.dumps(self.settings(vm, domain, region), indent=2))
        return self.spawn(vm, [self.build / "wagtailhitch", "serve", "--settings", file])

    def publish_vm_list(self):
        entries = [{"id": vm, "address": f"127.0.0.1:{self.peer_ports[vm]}",
                    "failure_domain": domain, "state": "live"}
                   for vm, domain, _ in self.vms]
        self.control("vm-list", {"vms": entries})

    # ---- operators

    def operators_files(self):
        """Copies of the sample's files with the real addresses."""
        folder = self.root / "operators"
        folder.mkdir(exist_ok=True)
        for source in sorted(self.sample.glob("*.json")):
            text = source.read_text()
            if source.name == "upstreams.json":
                text = json.dumps(self.document, indent=2)
            (folder / source.name).write_text(text)
        return sorted(folder.glob("*.json"))

    def submit_files(self):
        """Submits the sample; returns what the command printed."""
        command = [str(self.build / "wagtailhitch"), "submit",
                   *[str(path) for path in self.operators_files()],
                   "--settings", str(self.root / f"{self.vms[0][0]}.json"),
                   "--key", str(self.key_file)]
        result = subprocess.run(command, capture_output=True, text=True, check=False,
                                timeout=WAIT_SECONDS * 2)
        if result.returncode != 0:
            raise DeploymentError(f"submit failed with code {result.returncode}: "
                                  f"{result.stdout}{result.stderr}")
        return result.stdout.strip()

    def submit(self):
        """Submits the sample and waits until it is in force on every VM."""
        printed = self.submit_files()
        wait_for("the configuration to be in force on all VMs", self.in_force_everywhere)
        wait_for("all VMs to be ready", self.all_ready)
        return printed

    def revisions(self):
        out = {}
        for vm, _, _ in self.vms:
            status, _, text = call(self.ports[vm], "GET", "/v1/in-force")
            out[vm] = json.loads(text).get("revision", 0) if status == 200 else 0
        return out

    def in_force_everywhere(self):
        self.check_alive()
        revisions = set(self.revisions().values())
        return len(revisions) == 1 and revisions != {0}

    def all_ready(self):
        return all(call(self.ports[vm], "GET", "/readyz")[0] == 200 for vm, _, _ in self.vms)

    # ---- fault control and log records

    def control(self, name, change):
        status, _, text = call(self.ports[name], "POST", "/control", change)
        if status != 200:
            raise DeploymentError(f"The control {change} of {name} was refused: {text}")
        return json.loads(text)

    def records(self, stream):
        """All records of a stream of the log."""
        out = []
        while True:
            _, _, text = call(self.ports["log"], "GET",
                              f"/v1/streams/{stream}/records?from={len(out)}")
            page = json.loads(text)
            out += [record["data"] for record in page["records"]]
            if not page["records"] or len(out) >= page["head"]:
                return out

    def check_alive(self):
        for process in self.processes:
            process.check_alive()

    def stop(self):
        """Stops the VMs first and the stand-ins after them; returns exit codes by name."""
        names = {vm for vm, _, _ in self.vms}
        codes = {}
        for group in ([p for p in self.processes if p.name in names],
                      [p for p in self.processes if p.name not in names]):
            for process in group:
                process.stop()
            for process in group:
                codes[process.name] = process.wait()
        self.processes = []
        return codes

    def remove_files(self):
        """Removes logs, keys and settings; after a failure they are kept for reading."""
        shutil.rmtree(self.root, ignore_errors=True)

    def environment(self):
        """Shell lines that name the ports, for a deployment that stays up."""
        return [f"{name.replace('-', '_').upper()}=127.0.0.1:{port}"
                for name, port in sorted(self.ports.items())]
