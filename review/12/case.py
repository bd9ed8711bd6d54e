"""A replica spoils one answer in 50: the length in its head has too many digits."""

import asyncio
import json
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "harness-3"))
import standins as it  # noqa: E402

HOST = "books.example"
CONNECTIONS = 24  # kept by clients at each VM
STABILITY_S = 4  # `stabilityWindowMs`: a machine that was started is in touch after it
SPOILED = 50  # one answer in so many of one replica
LENGTH = b"Content-Length: "
TOO_MANY_DIGITS = b"90000000000000"
CONFIGURATION = {
    "version": 1,
    "routes": [{"name": "post", "host": HOST, "pathPrefix": "/post/", "kind": "non_idempotent",
                "timeoutMs": 2000, "targetLatencyMs": 400, "service": "ledger", "maxAttempts": 1,
                "priority": 2}],
    "services": [{"name": "ledger", "maxConns": 100, "healthPath": "/healthz"}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 5000,
               "idleTimeoutMs": 10000},
    "tenants": [{"name": "depot", "apiKeys": ["key-a"]}]}


class GarblingReplica(it.Replica):
    """Spoils some of its answers, and breaks them off."""

    answers = 0

    async def serve(self, method, target, fields, body):
        out = await super().serve(method, target, fields, body)
        self.answers += 1
        if self.answers % SPOILED == 0:
            self.record.line(f"{self.name} spoils its answer to {fields.get('attempt-id')}")
            out = out.replace(LENGTH, LENGTH + TOO_MANY_DIGITS)
        return out

    def breaks_off(self, answer):
        return LENGTH + TOO_MANY_DIGITS in answer


async def case(record, scratch, trouble):
    zones = {"ikeja": "ng-south"}
    machines = [it.machine_address(n) for n in range(1, 3)]
    ports = {name: it.free_port(machines)
             for name in ("front", "ready", "internal")}
    store = await it.Store("127.0.0.1", record).start()
    store.put("keyed.op", "config", json.dumps(CONFIGURATION).encode())
    replicas = []
    for n in range(5):
        kind = GarblingReplica if trouble and n == 0 else it.Replica
        replica = await kind("127.0.0.1", f"i-{n}", "ledger", "ikeja", store, record,
                             work_s=0.3).start()
        await replica.register()
        replicas.append(replica)
    vms = [it.Vm(f"front-ikeja-{n}", machines[n - 1], "ikeja", ports, store, record, scratch, zones)
           for n in (1, 2)]
    count = 0
    closed = []  # (VM, attempt) on a kept connection that was closed without an answer
    ends = []

    async def client(vm, until):
        nonlocal count
        connection = it.KeptConnection(vm, record)
        while record.now() < until:
            count += 1
            attempt = f"{count:016x}"
            kept = connection.answered > 0
            status, _, why = await connection.request(attempt, "POST", f"/post/{count}", HOST,
                                                      key="key-a", body=b"{}")
            in_touch = record.now() - vm.started_at > STABILITY_S
            if status == 0 and why == b"closed" and kept and in_touch:
                closed.append((vm.name, attempt))
            await asyncio.sleep(random.uniform(0.2, 0.5) if status else 0.5)
        connection.close()

    async def platform(vm, until):
        """Starts a process that has ended again after a short delay."""
        while record.now() < until:
            if vm.process.poll() is not None:
                record.line(f"{vm.name} has ended by itself with status {vm.process.returncode}")
                ends.append(vm.name)
                await asyncio.sleep(1)
                vm.settings["bootstrap"] = False
                vm.start()
            await asyncio.sleep(0.05)

    try:
        for vm in vms:
            vm.start()
        for vm in vms:
            await vm.wait_ready()
        await asyncio.sleep(STABILITY_S + 0.5)
        until = record.now() + 20
        await asyncio.gather(*(client(vm, until) for vm in vms for _ in range(CONNECTIONS)),
                             *(platform(vm, until) for vm in vms))
    finally:
        for vm in vms:
            vm.end()
        for replica in replicas:
            replica.beating.cancel()
            replica.stop()
        store.stop()
    # Only requests that a replica which garbles nothing has begun to run.
    sound = {attempt for replica in replicas if not isinstance(replica, GarblingReplica)
             for attempt in replica.runs}
    lost = {}
    for vm, attempt in closed:
        if attempt in sound:
            lost.setdefault(vm, []).append(attempt)
    for vm, attempts in lost.items():
        record.line(f"{vm}: {len(attempts)} requests on kept connections were passed on to sound "
                    f"replicas and their connections closed without an answer: {attempts}")
    record.line(f"processes that ended by themselves: {ends}")
    return all(len(attempts) <= 3 for attempts in lost.values())


if __name__ == "__main__":
    sys.exit(it.run_case(FOLDER, case))
