"""More clients than usual send large bodies, within the limits of the configuration."""

import asyncio
import json
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "harness-3"))
import standins as it  # noqa: E402

HOST = "books.example"
USUAL = 8  # kept connections
BURST = 1.7  # times as many clients
MAX_BODY = 4194304
BODY = b"x" * 4000000
CONFIGURATION = {
    "version": 1,
    "routes": [{"name": "post", "host": HOST, "pathPrefix": "/post/", "kind": "non_idempotent",
                "timeoutMs": 4000, "targetLatencyMs": 400, "service": "ledger", "maxAttempts": 1,
                "priority": 2}],
    "services": [{"name": "ledger", "maxConns": 100, "healthPath": "/healthz"}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": MAX_BODY, "headerTimeoutMs": 5000,
               "idleTimeoutMs": 10000},
    "tenants": [{"name": "depot", "apiKeys": ["key-a"]}]}


async def case(record, scratch, trouble):
    zones = {"ikeja": "ng-south"}
    ports = {name: it.free_port(["127.0.0.11"]) for name in ("front", "ready", "internal")}
    store = await it.Store("127.0.0.1", record).start()
    store.put("keyed.op", "config", json.dumps(CONFIGURATION).encode())
    replicas = []
    for n in range(3):
        replica = await it.Replica("127.0.0.1", f"i-{n}", "ledger", "ikeja", store, record,
                                   work_s=0.8).start()
        await replica.register()
        replicas.append(replica)
    vm = it.Vm("front-ikeja-1", "127.0.0.11", "ikeja", ports, store, record, scratch, zones)
    count = 0
    closed = []

    async def client(until):
        nonlocal count
        connection = it.KeptConnection(vm, record)
        while record.now() < until:
            count += 1
            attempt = f"{count:016x}"
            kept = connection.answered > 0
            status, _, why = await connection.request(attempt, "POST", f"/post/{count}", HOST,
                                                      key="key-a", body=BODY)
            if status == 0 and why == b"closed" and kept:
                closed.append(attempt)
            await asyncio.sleep(random.uniform(0.1, 0.3))
        connection.close()

    try:
        vm.start()
        await vm.wait_ready()
        await asyncio.sleep(4.5)
        begins = record.now()
        usual = [client(begins + 12) for _ in range(USUAL)]
        more = [client(begins + 10) for _ in range(round(USUAL * BURST) - USUAL if trouble else 0)]

        async def burst():
            await asyncio.sleep(5)
            if more:
                record.line(f"{len(more)} more clients come")
            await asyncio.gather(*more)

        await asyncio.gather(*usual, burst())
    finally:
        record.line(f"the VM's exit status: {vm.process.poll()}, {vm.peak_memory()}")
        vm.end()
        for replica in replicas:
            replica.beating.cancel()
            replica.stop()
        store.stop()
    sound = {attempt for replica in replicas for attempt in replica.runs}
    lost = [attempt for attempt in closed if attempt in sound]
    record.line(f"{len(lost)} requests on kept connections were passed on to sound replicas and "
                f"their connections closed without an answer: {lost}")
    return len(lost) <= 3


if __name__ == "__main__":
    sys.exit(it.run_case(FOLDER, case))
