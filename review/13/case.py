"""A replica drains after the store came back from an older copy."""

import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "harness-3"))
import standins as it  # noqa: E402

HOST = "books.example"
DRAIN_S = 3.0
CONFIGURATION = {
    "version": 1,
    "routes": [{"name": service, "host": HOST, "pathPrefix": f"/{service}/",
                "kind": "non_idempotent", "timeoutMs": 2000, "targetLatencyMs": 400,
                "service": service, "maxAttempts": 1, "priority": 2}
               for service in ("ledger", "pool")],
    "services": [{"name": service, "maxConns": 100, "healthPath": "/healthz"}
                 for service in ("ledger", "pool")],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 5000,
               "idleTimeoutMs": 10000},
    "tenants": [{"name": "depot", "apiKeys": ["key-a"]}]}


async def case(record, scratch, trouble):
    zones = {"ikeja": "ng-south"}
    machines = [it.machine_address(n) for n in range(1, 4)]
    ports = {name: it.free_port(machines)
             for name in ("front", "ready", "internal")}
    store = await it.Store("127.0.0.1", record).start()
    store.put("keyed.op", "config", json.dumps(CONFIGURATION).encode())
    replicas = []

    async def add(name, service):
        replica = await it.Replica("127.0.0.1", name, service, "ikeja", store, record,
                                   work_s=0.3).start()
        await replica.register()
        replicas.append(replica)

    # As in the site file: three replicas of the application and nine engines.
    for n in range(12):
        await add(f"i-{n}", "ledger" if n < 3 else "pool")
    vms = [it.Vm(f"front-ikeja-{n}", machines[n - 1], "ikeja", ports, store, record, scratch, zones)
           for n in (1, 2, 3)]
    sent = {}
    answers = {}
    count = 0

    async def send(vm):
        nonlocal count
        count += 1
        attempt = f"{count:016x}"
        sent[attempt] = vm.name
        answers[attempt] = (await it.request(vm, record, attempt, "POST", f"/ledger/{count}", HOST,
                                             key="key-a", body=b"{}"))[0]

    async def few_requests():
        await asyncio.gather(*(send(vm) for vm in vms for _ in range(8)))

    leaving = replicas[0]
    acknowledged = None
    try:
        for vm in vms:
            vm.start()
        for vm in vms:
            await vm.wait_ready()
        await few_requests()
        await asyncio.sleep(2)
        copy = store.copy()
        record.line("the copy of the store is made")
        await asyncio.sleep(5.5)
        record.line("a replica is added")
        await add("i-12", "pool")
        await asyncio.sleep(1.3)
        if trouble:
            record.line("the store is away")
            store.go_away()
            await asyncio.sleep(0.25)
            store.come_back(copy)
            record.line(f"the store is back from its copy, era {store.era}")
        # The replicas' next heartbeats write their entries again. Longer than `stabilityWindowMs`.
        await asyncio.sleep(4.2)
        leaving.state = "draining"
        offset = leaving.write_entry()
        acknowledged = record.now()
        record.line(f"{leaving.name}: draining is acknowledged, offset {offset}, era {store.era}")
        await asyncio.sleep(DRAIN_S + 0.1)
        burst = asyncio.create_task(few_requests())
        await asyncio.sleep(0.2)
        record.line(f"{leaving.name} has left")
        leaving.unregister()
        leaving.stop()
        await burst
    finally:
        for vm in vms:
            vm.end()
        for replica in replicas:
            replica.beating.cancel()
            replica.stop()
        store.stop()
    late = [(attempt, at - acknowledged) for at, attempt in leaving.arrivals
            if at > acknowledged + DRAIN_S]
    for attempt, after in late:
        record.line(f"BROKEN: {attempt} reached {leaving.name} through {sent[attempt]} {after:.3f} s "
                    f"after its draining was acknowledged; its client got {answers[attempt]}")
    return not late


if __name__ == "__main__":
    sys.exit(it.run_case(FOLDER, case))
