"""Keys are taken away after the store came back from an older copy."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "harness-3"))
import standins as it  # noqa: E402

HOST = "books.example"
REVOKE_S = 5.0
KEYS = ["key-a", "key-b", "key-c", "key-d"]


def configuration(version, keys):
    return json.dumps({
        "version": version,
        "routes": [{"name": "post", "host": HOST, "pathPrefix": "/post/", "kind": "non_idempotent",
                    "timeoutMs": 2000, "targetLatencyMs": 400, "service": "ledger",
                    "maxAttempts": 1, "priority": 2}],
        "services": [{"name": "ledger", "maxConns": 100, "healthPath": "/healthz"}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 5000,
                   "idleTimeoutMs": 10000},
        "tenants": [{"name": "depot", "apiKeys": keys}]}).encode()


class Operator:
    """Writes `op/config`, which holds the newest configuration in full."""

    def __init__(self, store, record):
        self.store = store
        self.record = record
        self.version = 1
        self.keys = list(KEYS)
        self.taken_at = {}  # key: acknowledgement of the configuration that took it away

    def write(self):
        offset = self.store.put("keyed.op", "config", configuration(self.version, self.keys))
        self.record.line(f"operator: version {self.version} with {self.keys} is acknowledged, "
                         f"offset {offset}, era {self.store.era}")

    def revoke(self, key):
        self.keys.remove(key)
        self.version += 1
        self.write()
        self.taken_at[key] = self.record.now()


async def case(record, scratch, trouble):
    zones = {"ikeja": "ng-south"}
    machines = [it.machine_address(n) for n in range(1, 3)]
    ports = {name: it.free_port(machines)
             for name in ("front", "ready", "internal")}
    store = await it.Store("127.0.0.1", record).start()
    operator = Operator(store, record)
    operator.write()
    replicas = []
    for n in range(3):
        replica = await it.Replica("127.0.0.1", f"i-{n}", "ledger", "ikeja", store, record).start()
        await replica.register()
        replicas.append(replica)
    vms = [it.Vm(f"front-ikeja-{n}", machines[n - 1], "ikeja", ports, store, record, scratch, zones)
           for n in (1, 2)]
    sent = {}  # attempt: (key, when it was sent, VM)
    count = 0

    async def send(vm, key):
        nonlocal count
        count += 1
        attempt = f"{count:016x}"
        sent[attempt] = (key, record.now(), vm.name)
        await it.request(vm, record, attempt, "POST", f"/post/{count}", HOST, key=key, body=b"{}")

    async def traffic(seconds):
        until = record.now() + seconds
        while record.now() < until:
            await asyncio.gather(*(send(vm, KEYS[-1]) for vm in vms))
            await asyncio.sleep(0.2)

    try:
        for vm in vms:
            vm.start()
        for vm in vms:
            await vm.wait_ready()
        await traffic(2)
        copy = store.copy()
        record.line("the copy of the store is made")
        for key in ("key-a", "key-b"):
            operator.revoke(key)
            await traffic(0.4)
        await traffic(1.5)
        if trouble:
            record.line("the store is away")
            store.go_away()
            await traffic(0.5)
            store.come_back(copy)
            record.line(f"the store is back from its copy, era {store.era}")
            operator.write()
        # Longer than `stabilityWindowMs`.
        await traffic(5.5)
        operator.revoke("key-c")
        await traffic(REVOKE_S + 1)
        # Every key that was taken away is tried at every machine.
        for _ in range(5):
            for vm in vms:
                for key in KEYS[:3]:
                    await send(vm, key)
            await traffic(0.5)
    finally:
        for vm in vms:
            vm.end()
        for replica in replicas:
            replica.beating.cancel()
            replica.stop()
        store.stop()
    broken = 0
    for replica in replicas:
        for attempt in replica.runs:
            key, sent_at, vm = sent[attempt]
            late = sent_at - operator.taken_at.get(key, float("inf"))
            if late > REVOKE_S:
                broken += 1
                record.line(f"BROKEN: {attempt} with {key}, sent to {vm} {late:.3f} s after the key "
                            f"was taken away, ran at {replica.name}")
    record.line(f"{broken} requests ran with a key that had been taken away over {REVOKE_S} s ago")
    return broken == 0


if __name__ == "__main__":
    sys.exit(it.run_case(FOLDER, case))
