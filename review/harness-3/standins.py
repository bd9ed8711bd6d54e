"""Stand-ins of the platform's store, of replicas and of clients for the scripts in review/11 to 15.

They speak what PROTOCOL.md says and run in the process of the script that uses them, on loopback
addresses. The programs under test run as separate processes.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable"}


class Record:
    """Writes what was sent, answered and run to record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class CannotRun(Exception):
    """The case could not run: exit status 2."""


def machine_address(n):
    """The loopback address of machine `n` (1 to 15), other ones for each process of a script."""
    pid = os.getpid()
    return f"127.{16 + (pid >> 12) % 200}.{(pid >> 4) % 256}.{(pid % 16) * 16 + n}"


def free_port(addresses):
    """A TCP and UDP port that is free at all the addresses, outside the ephemeral range."""
    for _ in range(200):
        port = random.randint(12000, 30000)
        held = []
        try:
            for address in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    it = socket.socket(socket.AF_INET, kind)
                    held.append(it)
                    it.bind((address, port))
            return port
        except OSError:
            continue
        finally:
            for it in held:
                it.close()
    raise CannotRun("no free port")


async def read_message(reader):
    """Reads one HTTP/1.1 message with a length or in chunks: (first line, fields, body)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                break
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    elif "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return lines[0], fields, body


def answer_bytes(status, fields, body):
    out = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    for name, value in fields.items():
        out += f"{name}: {value}\r\n"
    return (out + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Server:
    """An HTTP/1.1 server on a loopback address whose connections can be reset."""

    def __init__(self, address):
        self.host = address
        self.writers = set()
        self.server = None
        self.port = 0

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.connected, self.host, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def connected(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, fields, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                out = await self.serve(method, target, fields, body)
                if out is None:
                    break
                writer.write(out)
                await writer.drain()
                if self.breaks_off(out):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, OSError):
            pass
        except asyncio.CancelledError:
            pass  # The case has ended.
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, method, target, fields, body):
        raise NotImplementedError

    def breaks_off(self, _answer):
        """Whether the connection is closed after this answer."""
        return False

    def reset_connections(self):
        for writer in list(self.writers):
            it = writer.get_extra_info("socket")
            try:
                it.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            except OSError:
                pass  # It is closed.
            writer.transport.abort()

    def stop(self):
        """Ends the process of this server, as far as others can see."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset_connections()


class Store(Server):
    """The platform's store: topics of one partition, of which `keyed.` ones have keys."""

    APPEND_S = 0.004

    def __init__(self, address, record):
        super().__init__(address)
        self.topics = {}
        self.era = 1
        self.away = False
        self.record = record
        self.changed = asyncio.Event()

    def put(self, topic, key, value):
        """A record of the operator or of a replica; returns its offset."""
        content = bytes([len(key)]) + key.encode() + value
        return self.append(topic, [content])

    def append(self, topic, contents):
        records = self.topics.setdefault(topic, [])
        offset = len(records)
        records.extend(contents)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def copy(self):
        return {topic: list(records) for topic, records in self.topics.items()}

    def go_away(self):
        self.away = True
        self.reset_connections()

    def come_back(self, copy):
        """From an older copy: offsets go back, and the era rises by one."""
        self.topics = copy
        self.era += 1
        self.away = False

    def newest(self, topic):
        latest = {}
        for offset, content in enumerate(self.topics.get(topic, [])):
            size = content[0]
            latest[content[1:1 + size].decode()] = (content[1 + size:], offset)
        return {key: it for key, it in sorted(latest.items()) if it[0]}

    def reply(self, status, body):
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        return answer_bytes(status, {"Store-Era": self.era}, body)

    async def serve(self, method, target, fields, body):
        if self.away:
            self.reset_connections()
            return None
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        topic = query.get("topic", "")
        records = self.topics.get(topic, [])
        if url.path == "/log-append":
            await asyncio.sleep(self.APPEND_S)
            records = self.topics.get(topic, [])
            if topic in ("keyed.op", "keyed.servers"):
                return self.reply(403, {})
            if "at" in query and int(query["at"]) != len(records):
                return self.reply(412, {"end": len(records)})
            contents = []
            while body:
                size = struct.unpack(">I", body[:4])[0]
                contents.append(body[4:4 + size])
                body = body[4 + size:]
            offset = self.append(topic, contents)
            return self.reply(200, {"offset": offset, "end": offset + len(contents)})
        if url.path == "/log-newest":
            end = len(records)
            items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (value, offset) in self.newest(topic).items()]
            return self.reply(200, {"items": items, "hasMore": False, "end": end})
        if url.path == "/log-read":
            return await self.read(topic, int(query["from"]), int(query.get("waitMs", "0")))
        return self.reply(404, {})

    async def read(self, topic, start, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        era = self.era
        while True:
            if self.away or era != self.era:
                return None
            records = self.topics.get(topic, [])
            if start > len(records):
                return self.reply(410, {"first": 0})
            left = until - time.monotonic()
            if start < len(records) or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        out = struct.pack(">QQ", len(records), 0)
        for content in records[start:]:
            out += struct.pack(">I", len(content)) + content
        return self.reply(200, out)


class Replica(Server):
    """A replica of a service: registers itself in the store and answers after about `work_s`."""

    def __init__(self, address, name, service, zone, store, record, work_s=0.03, slots=6):
        super().__init__(address)
        self.name = name
        self.service = service
        self.zone = zone
        self.store = store
        self.record = record
        self.work_s = work_s
        self.slots = slots
        self.free_slots = asyncio.Semaphore(slots)
        self.state = "ready"
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.runs = {}
        self.arrivals = []
        self.beating = None

    def entry(self):
        self.seq += 1
        return json.dumps({"service": self.service, "address": self.address, "zone": self.zone,
                           "version": "v1", "slots": self.slots, "state": self.state, "coldLeftMs": 0,
                           "seq": self.seq, "born": self.born}).encode()

    def write_entry(self):
        return None if self.store.away else self.store.put("keyed.servers", self.name, self.entry())

    async def register(self, heartbeat_s=1.2):
        self.write_entry()

        async def beat():
            await asyncio.sleep(random.uniform(0, heartbeat_s))
            while True:
                self.write_entry()
                await asyncio.sleep(heartbeat_s)

        self.beating = asyncio.create_task(beat())

    def unregister(self):
        """The replica has left: its entry is removed."""
        self.beating.cancel()
        self.store.put("keyed.servers", self.name, b"")

    async def serve(self, method, target, fields, body):
        attempt = fields.get("attempt-id", "")
        common = {"Attempt-Id": attempt}
        if self.state == "draining":
            common["Server-Leaving"] = "1"
        if fields.get("expect-replica", self.name) != self.name:
            return answer_bytes(421, dict(common, **{"Replica-Id": self.name}), b"")
        self.arrivals.append((self.record.now(), attempt))
        # At most `slots` requests run; the others wait.
        async with self.free_slots:
            self.record.line(f"{self.name} runs {attempt} {method} {target} "
                             f"Tenant={fields.get('tenant')}")
            self.runs[attempt] = self.runs.get(attempt, 0) + 1
            await asyncio.sleep(self.work_s * random.uniform(0.5, 1.5))
        common["Replica-Signature"] = f"sig.{self.name}.{attempt}"
        return answer_bytes(200, common, f"{self.name} {attempt}".encode())


class Vm:
    """A VM of the system: a process started with the command of the deploy file."""

    def __init__(self, name, address, zone, ports, store, record, folder, zones, bootstrap=True,
                 bounds=None):
        self.name = name
        self.address = address
        self.ports = ports
        self.record = record
        self.folder = folder
        self.process = None
        self.started_at = 0
        self.settings_file = os.path.join(folder, f"{name}.json")
        self.settings = {
            "nodeName": name, "role": "router", "machineClass": "front", "serves": ["front"],
            "ip": address, "zone": zone, "region": zones[zone], "zones": zones,
            "listen": {"front": f"{address}:{ports['front']}",
                       "ready": f"{address}:{ports['ready']}"},
            "internalPorts": [ports["internal"], ports["internal"] + 15],
            "seeds": [], "bootstrap": bootstrap, "countsAsLoss": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine",
                          "stream", "tenants", "platform", "rollout"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": dict({
                "seedLagS": 3, "reuseAfterS": 2, "stabilityWindowMs": 4000, "ackMs": 5000,
                "catchUpS": 4, "drainMs": 3000, "graceS": 8, "lossSlackMs": 200,
                "configApplyMs": 3000, "rollbackSlackMs": 250, "stretchMaxMs": 6000,
                "strictRevoke": True, "revokeMs": 5000, "retryBudgetRatio": 0.9,
                "retryWindowS": 10, "retrySlack": 54, "exposureShare": 0.15,
                "exposureSlack": 30, "rollbackMs": 5000, "recoveryS": 12, "eventDelayMs": 400,
                "reuseWindowS": 5.9, "sessionTtlS": 5}, **(bounds or {})),
            "platform": {"address": store.address, "form": "log", "writesPerS": 400,
                         "readsPerS": 2000, "parts": 8, "appendMs": 4.0, "partitionMbS": 20.0,
                         "readMbS": 80.0, "recordBytes": 262144, "requestBytes": 2097152,
                         "keep_s": 20, "partitionMb": 200, "minTtlMs": 1000}}

    def start(self):
        with open(self.settings_file, "w", encoding="utf-8") as out:
            json.dump(self.settings, out)
        words = deploy_command()
        words[0] = os.path.join(ROOT, words[0])
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL,
                                        env=dict(kept, WAGTAILHITCH_CONFIG=self.settings_file))
        self.started_at = self.record.now()
        self.record.line(f"{self.name} started at {self.address}")

    def signal(self, number):
        self.process.send_signal(number)
        self.record.line(f"{self.name} gets {signal.Signals(number).name}")

    async def ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.address, self.ports["ready"]), 1)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n")
            first, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return int(first.split()[1]) == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, limit_s=10):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if await self.ready():
                self.record.line(f"{self.name} is ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} did not become ready")

    def peak_memory(self):
        """The most memory that the process has had, as the system reports it."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as status:
                return next((line.strip() for line in status if line.startswith("VmHWM")), "")
        except OSError:
            return ""

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def deploy_command():
    """The words of the role's `run` in deploy/system.toml."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as it:
        for line in it:
            if line.startswith("run = "):
                return json.loads(line[len("run = "):]).split()
    raise CannotRun("deploy/system.toml names no command")


async def request(vm, record, attempt, method, path, host, key=None, deadline_ms=4000, body=b"",
                  fields=None):
    """One client attempt on a new connection: (status or 0, fields, body)."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Attempt-Id: {attempt}",
             f"Deadline-Ms: {deadline_ms}"]
    if key is not None:
        lines.append(f"Authorization: Token {key}")
    for name, value in (fields or {}).items():
        lines.append(f"{name}: {value}")
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    record.line(f"client sends {attempt} {method} {path} key={key} to {vm.name}")
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(vm.address, vm.ports["front"]), 1)
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        first, got, content = await asyncio.wait_for(read_message(reader), deadline_ms / 1000)
        status = int(first.split()[1])
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as ex:
        status, got, content = 0, {}, repr(ex).encode()
    finally:
        if writer is not None:
            writer.close()
    record.line(f"client gets {status} for {attempt} from {vm.name}")
    return status, got, content


class KeptConnection:
    """A client's connection that is kept for many requests, one at a time."""

    def __init__(self, vm, record):
        self.vm = vm
        self.record = record
        self.reader = None
        self.writer = None
        self.answered = 0  # on the connection that is open

    async def request(self, attempt, method, path, host, key=None, deadline_ms=4000, body=b"",
                      fields=None):
        """(status, fields, body); status 0 and "closed" or "late" when no answer came."""
        if self.writer is None:
            try:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(self.vm.address, self.vm.ports["front"]), 1)
            except (OSError, asyncio.TimeoutError):
                return 0, {}, b"no connection"
            self.answered = 0
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"Attempt-Id: {attempt}",
                 f"Deadline-Ms: {deadline_ms}"]
        if key is not None:
            lines.append(f"Authorization: Token {key}")
        for name, value in (fields or {}).items():
            lines.append(f"{name}: {value}")
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self.record.line(f"client sends {attempt} {method} {path} to {self.vm.name}, "
                         f"{self.answered} answers on this connection before")
        try:
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            first, got, content = await asyncio.wait_for(read_message(self.reader),
                                                         deadline_ms / 1000)
        except asyncio.TimeoutError:
            self.close()
            self.record.line(f"client gets no answer for {attempt} in time")
            return 0, {}, b"late"
        except (OSError, asyncio.IncompleteReadError, ValueError) as ex:
            self.close()
            self.record.line(f"client: connection of {attempt} closed without an answer: {ex!r}")
            return 0, {}, b"closed"
        self.answered += 1
        status = int(first.split()[1])
        self.record.line(f"client gets {status} for {attempt}")
        if got.get("connection", "").lower() == "close":
            self.close()
        return status, got, content

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None


def run_case(folder, case):
    """Runs `case(record, scratch folder, trouble)`, which returns whether the rule held."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    scratch = tempfile.mkdtemp(prefix="review-")
    try:
        held = asyncio.run(asyncio.wait_for(case(record, scratch, trouble), 115))
        record.line("the rule held" if held else "the rule was BROKEN")
        return 0 if held else 1
    except (CannotRun, OSError, asyncio.TimeoutError) as ex:
        record.line(f"the case could not run: {ex!r}")
        return 2
    finally:
        if os.environ.get("KEEP"):
            print(scratch)
        else:
            shutil.rmtree(scratch, ignore_errors=True)
