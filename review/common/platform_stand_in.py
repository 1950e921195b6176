"""Stand-ins of the platform for the cases: store, balancer's view of a process, runners, clients.

Only the Python standard library is used. All addresses are on the loopback interface.
"""
import asyncio
import base64
import json
import os
import random
import resource
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "laburnumweir")
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "hule930"
HOST = "ficu95.example"
HEARTBEAT_S = 1.2
MAX_FDS = 4100

# Bounds of the site cst-atelier, as `fleetbench wire` prints them.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_extension_ms": 5000,
    "strict_revocation": True, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
    "retry_window_s": 10, "budget_slack": 56, "quota_window_s": 8, "quota_overage": 0.1,
    "quota_slack": 17000, "cold_overage": 1.5, "cold_slack": 5, "evacuate_ms": 5000,
    "recover_s": 12, "pass_ms": 120, "retry_after_s": 0, "fencing_enforced": True,
    "lease_ms": 3000, "thaw_ms": 300, "ceiling_window_s": 5, "load_overage": 1.1,
    "version_ms": 5000,
}
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 4194304,
          "header_timeout_ms": 3000, "idle_timeout_ms": 15000}


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        line = "%8.3f  %s" % (time.monotonic() - self.start, text)
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


def free_ports(count, kinds=(socket.SOCK_STREAM,)):
    """The first of `count` free ports in a row, below those that connections are given."""
    for _ in range(1000):
        first = random.randrange(10000, 32000)
        sockets = []
        try:
            for port in range(first, first + count):
                for kind in kinds:
                    sockets.append(socket.socket(socket.AF_INET, kind))
                    sockets[-1].bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()
    raise CannotRun("no %d free ports in a row" % count)


async def read_head(reader):
    """Returns the start line and the fields (lower-case names), or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                while (await reader.readuntil(b"\r\n")) != b"\r\n":
                    pass
                return body
            body += (await reader.readexactly(size + 2))[:-2]
    return await reader.readexactly(int(fields.get("content-length", "0") or 0))


def message(start, fields, body=b""):
    fields = dict(fields)
    fields.setdefault("Content-Length", str(len(body)))
    head = start + "\r\n" + "".join("%s: %s\r\n" % item for item in fields.items()) + "\r\n"
    return head.encode("latin-1") + body


SPOILT_BYTES = 66000
CALLERS_BEFORE = 8


def chunked_and_spoilt(fields, body):
    """An answer in chunks; what follows the last chunk are no fields of an answer."""
    head = message("HTTP/1.1 200 OK", dict(fields, **{"Transfer-Encoding": "chunked"}))
    return (head.replace(b"Content-Length: 0\r\n", b"") + b"%x\r\n" % len(body) + body +
            b"\r\n0\r\nx: " + b"a" * SPOILT_BYTES + b"\r\n\r\n")


class Store:
    """The platform's store in the form of a log, on one port."""

    def __init__(self):
        self.topics = {}
        self.groups = {}
        self.changed = asyncio.Condition()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def records(self, topic):
        return self.topics.setdefault(topic, [])

    async def put(self, topic, key, value):
        """Writes a keyed record as the operator or a runner does."""
        content = bytes([len(key)]) + key.encode() + (value or b"")
        async with self.changed:
            self.records(topic).append(content)
            self.changed.notify_all()

    def newest(self, topic):
        found = {}
        for offset, content in enumerate(self.records(topic)):
            length = content[0]
            key, value = content[1:1 + length].decode(), content[1 + length:]
            found.pop(key, None)
            if value:
                found[key] = (value, offset)
        items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                 for key, (value, offset) in sorted(found.items())]
        return {"items": items, "has_more": False, "end_offset": len(self.records(topic))}

    async def read(self, query):
        topic, start = query["topic"], int(query["from"])
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        async with self.changed:
            while len(self.records(topic)) <= start and time.monotonic() < end:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
                except asyncio.TimeoutError:
                    break
        records = self.records(topic)
        body = struct.pack(">QQ", len(records), 0)
        for content in records[start:start + 500]:
            body += struct.pack(">I", len(content)) + content
        return body

    async def append(self, query, body):
        async with self.changed:
            records = self.records(query["topic"])
            offset = len(records)
            while body:
                (length,) = struct.unpack(">I", body[:4])
                records.append(body[4:4 + length])
                body = body[4 + length:]
            self.changed.notify_all()
        return {"offset": offset, "end_offset": len(records)}

    def join(self, call):
        group = self.groups.setdefault(call["group"], {"generation": 0, "members": {}})
        now = time.monotonic()
        gone = [name for name, end in group["members"].items() if end < now]
        if gone or call["member"] not in group["members"]:
            group["generation"] += 1
        for name in gone:
            del group["members"][name]
        group["members"][call["member"]] = now + call["ttl_ms"] / 1000
        names = sorted(group["members"])
        mine = [[call["topics"][0], part, 0] for part in range(12)
                if names[part % len(names)] == call["member"]]
        return {"generation": group["generation"], "ttl_ms": call["ttl_ms"], "parts": mine}

    def leave(self, call):
        group = self.groups.setdefault(call["group"], {"generation": 0, "members": {}})
        if group["members"].pop(call["member"], None):
            group["generation"] += 1
        return {}

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                start, fields = head
                body = await read_body(reader, fields)
                target = start.split(" ")[1]
                path, _, text = target.partition("?")
                query = dict(item.partition("=")[::2] for item in text.split("&") if item)
                if path == "/api/log-read":
                    answer, kind = await self.read(query), "application/octet-stream"
                else:
                    if path == "/api/log-newest":
                        content = self.newest(query["topic"])
                    elif path == "/api/log-append":
                        content = await self.append(query, body)
                    elif path == "/api/log-join":
                        content = self.join(json.loads(body))
                    elif path == "/api/log-leave":
                        content = self.leave(json.loads(body))
                    else:
                        writer.write(message("HTTP/1.1 404 Not Found", {}))
                        continue
                    answer, kind = json.dumps(content).encode(), "application/json"
                await asyncio.sleep(0.004)
                writer.write(message("HTTP/1.1 200 OK", {"Content-Type": kind}, answer))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Runner:
    """A runner. `behave(runner, request, writer)` answers; by default it answers soundly."""

    def __init__(self, store, record, name, service, behave, engine=False, slots=64):
        self.store, self.record, self.name, self.service = store, record, name, service
        self.behave, self.engine, self.slots = behave, engine, slots
        self.born = int(time.time() * 1000)
        self.beats = 0
        self.runs = []
        self.state = "ready"
        self.writers = set()
        self.is_quiet = False
        self.adapters = []
        self.has_spoilt = False
        self.report_faults = []  # shared by runners of which the first one asked is faulty

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.task = asyncio.create_task(self.beat())

    def models(self):
        return [{"name": "daka510000", "version": 1, "adapters": self.adapters}]

    async def leave(self, drain_s=2.0):
        """Planned shutdown: reports draining, goes on serving, and exits."""
        self.state = "draining"
        await self.write_entry()
        await asyncio.sleep(drain_s + 0.5)
        self.task.cancel()
        await self.store.put("keyed.servers", self.name, None)
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        self.record("runner %s has left" % self.name)

    async def beat(self):
        while True:
            await self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def write_entry(self):
        self.beats += 1
        entry = {"service": self.service, "address": "127.0.0.1:%d" % self.port,
                 "zone": "thies-nord", "version": "v1", "slots": self.slots,
                 "state": self.state, "cold_remaining_ms": 0, "sequence": self.beats,
                 "born": self.born}
        if self.engine:
            entry["phase"] = "both"
            entry["models"] = self.models()
        await self.store.put("keyed.servers", self.name, json.dumps(entry).encode())

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                start, fields = head
                body = await read_body(reader, fields)
                path = start.split(" ")[1]
                if path == "/api/report":
                    answer = json.dumps({"phase": "both", "busy": False, "sequence": 0,
                                         "born": self.born, "queued": 0, "active": 0,
                                         "models": self.models()}).encode()
                    head = {"Content-Type": "application/json"}
                    if self.report_faults:
                        self.report_faults.clear()
                        self.has_spoilt = True
                        self.record("runner %s spoils its answer to a report" % self.name)
                        writer.write(chunked_and_spoilt(head, answer))
                    else:
                        writer.write(message("HTTP/1.1 200 OK", head, answer))
                elif path == "/api/order":
                    writer.write(message("HTTP/1.1 200 OK", {}, b"{}"))
                elif path == "/healthz":
                    writer.write(message("HTTP/1.1 200 OK", {"X-Instance-Id": self.name}))
                elif fields.get("x-expect-instance", self.name) != self.name:
                    writer.write(message("HTTP/1.1 421 Misdirected Request",
                                         {"X-Instance-Id": self.name}))
                else:
                    request = {"id": fields.get("x-attempt-id", ""), "path": path,
                               "fields": fields, "bytes": len(body)}
                    self.runs.append(request["id"])
                    if not self.is_quiet:
                        self.record("runner %s runs %s %s, body of %d bytes" % (
                            self.name, request["id"], path, len(body)))
                    if not await self.behave(self, request, writer):
                        return
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def keep_open(client, name):
    """Opens the connection of a client with a first request, which must be served."""
    await client.open()
    await client.send(name, "/puxa403/2f", 1000, b"x" * 600)
    if await client.receive(name, 2) != "200":
        raise CannotRun("%s was not served before the disruption" % name)


async def serve_before(machine, name, count, path, body=b"", fields=None):
    """Sends requests one after the other on a few connections; all must be served."""
    async def caller(number):
        client = Client(machine, lambda text: None)
        await client.open()
        try:
            for attempt in range(count // CALLERS_BEFORE):
                one = "%s%d-%03d" % (name, number, attempt)
                await client.send(one, path, 20000, body, fields)
                if await client.receive(one, 10) != "200":
                    raise CannotRun("%s was not served before the disruption" % one)
        finally:
            client.close()

    await asyncio.gather(*(caller(number) for number in range(CALLERS_BEFORE)))
    machine.record("%d requests were served before the disruption" % count)


def check_dose(runner):
    """At most 1 in 50 answers of a runner is spoilt: `garble` with x = 0.02."""
    runner.record("runner %s answered %d requests, of which one is spoilt" % (
        runner.name, len(runner.runs)))
    if len(runner.runs) < 50:
        raise CannotRun("too few answers of the runner for the dose")


def lost_bookings(results, runs):
    """Bookings that ran at a sound runner and whose connection was closed without an answer."""
    return [number for number, result in enumerate(results)
            if result == "closed" and "book%02d" % number in runs]


def sound_head(request, extra=None):
    fields = {"X-Attempt-Id": request["id"], "X-Server-Stamp": "3e1b.07.5a2.600.0.c9f2a4d1"}
    fields.update(extra or {})
    return fields


async def answer_after(seconds, request, writer, body=b"done"):
    await asyncio.sleep(seconds)
    writer.write(message("HTTP/1.1 200 OK", sound_head(request), body))
    return True


class Machine:
    """One process of the role `gateway`, started as deploy/system.toml says."""

    def __init__(self, record, folder, name, store_port, memory_mb=260):
        self.record, self.name, self.memory_mb = record, name, memory_mb
        frontend = free_ports(3)
        ready, control = frontend + 1, frontend + 2
        internal = free_ports(2, (socket.SOCK_DGRAM, socket.SOCK_STREAM))
        self.frontend, self.ready = frontend, ready
        self.path = os.path.join(folder, name + ".json")
        self.log = os.path.join(folder, name + ".log")
        settings = {
            "node_name": name, "role": "gateway", "machine_class": "edge",
            "serves": ["edge", "control"], "ip": "127.0.0.1", "zone": "thies-nord",
            "region": "thies", "zones": {"thies-nord": "thies"},
            "listen_addresses": {"frontend": "127.0.0.1:%d" % frontend,
                                 "ready": "127.0.0.1:%d" % ready,
                                 "control_plane": "127.0.0.1:%d" % control},
            "internal_port_range": [internal, internal + 15], "seed_nodes": [],
            "bootstrap": True, "fault_counted": False,
            "limits": {"cpu_quota": 0.25, "cpu_cores": 1, "memory_mb": memory_mb,
                       "max_fds": MAX_FDS, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entrypoint": "vip",
            "heartbeat_ms": 1200, "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {"address": "127.0.0.1:%d" % store_port, "form": "log",
                         "writes_per_s": 400, "reads_per_s": 2000, "parts": 12,
                         "append_ms": 2.0, "record_bytes": 262144, "call_bytes": 2097152,
                         "keep_s": 300, "partition_mb": 200, "ttl_min_ms": 1000},
        }
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        self.process = None
        self.ends = []
        self.stopping = False

    async def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["LABURNUMWEIR_NODE_FILE"] = self.path
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, "gateway", stdout=log, stderr=log, cwd=ROOT, env=environment,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE,
                                                      (MAX_FDS, MAX_FDS)))
        self.record("%s started, process %d" % (self.name, self.process.pid))
        asyncio.create_task(self.watch(self.process))

    async def watch(self, process):
        code = await process.wait()
        if not self.stopping:
            self.ends.append(code)
            self.record("%s: its process ended by itself, %s" % (
                self.name, "signal %s" % signal.Signals(-code).name if code < 0
                else "code %d" % code))

    async def wait_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
                writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b" 200 " in line:
                    self.record("%s is ready" % self.name)
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.2)
        raise CannotRun("%s did not become ready" % self.name)

    def resident_mb(self):
        """Resident memory of the process in MiB; 0 if it has ended."""
        try:
            with open("/proc/%d/status" % self.process.pid, encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def note_last_words(self):
        """Records what the process wrote beside its structured log, such as a failed check."""
        with open(self.log, encoding="utf-8", errors="replace") as file:
            for line in file:
                if "level=" not in line and line.strip():
                    self.record("%s wrote: %s" % (self.name, line.strip()))

    async def stop(self):
        self.stopping = True
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Client:
    """A client with one connection that it keeps open."""

    def __init__(self, machine, record):
        self.machine, self.record = machine, record
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.machine.frontend, limit=1 << 22)

    def close(self):
        if self.writer:
            self.writer.close()

    async def send(self, name, path, deadline_ms, body=b"", fields=None):
        head = {"Host": HOST, "X-Attempt-Id": name, "X-Deadline-Ms": str(deadline_ms),
                "Authorization": "Token " + KEY}
        head.update(fields or {})
        self.writer.write(message("POST %s HTTP/1.1" % path, head, body))
        await self.writer.drain()
        self.record("client sends %s %s, body of %d bytes" % (name, path, len(body)))

    async def receive(self, name, seconds):
        """Returns the status of a complete answer, "closed" or "silent"."""
        try:
            result = await asyncio.wait_for(self.answer(), seconds)
        except asyncio.TimeoutError:
            result = "silent"
        self.record("client of %s gets: %s" % (name, result))
        return result

    async def answer(self):
        try:
            head = await read_head(self.reader)
            if head is None:
                return "closed"
            await read_body(self.reader, head[1])
            return head[0].split(" ")[1]
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            return "closed"


def configuration(routes, services):
    return json.dumps({
        "version": 7, "routes": routes, "services": services, "limits": LIMITS,
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1, "unit": "tokens",
                     "plain_tokens": 200, "rate_per_s": 92619, "burst": 92619}],
    }).encode()


def route(name, prefix, kind, service, timeout_ms, latency_ms, attempts, resumable=False):
    result = {"name": name, "host": HOST, "path_prefix": prefix, "route_type": kind,
              "timeout_ms": timeout_ms, "target_latency_ms": latency_ms, "priority": 1,
              "service": service, "max_attempts": attempts, "public": False}
    if kind == "streaming":
        result.update({"sticky": True, "resumable": resumable, "gap_target_ms": 250})
    return result


APP_SERVICE = {"name": "wuno96b", "health_path": "/healthz", "max_connections": 110,
               "protocol": "h1", "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0}
MODEL_SERVICE = {
    "name": "huvo11a", "health_path": "/healthz", "max_connections": 370, "protocol": "h1",
    "tls": False, "cold_start_s": 3.0, "cold_per_s": 20.0,
    "engine": {"slots": 64, "kv_capacity": 149576, "weights_mb": 66700.0, "adapter_slots": 27,
               "loads_per_s": 2.4,
               "models": [{"name": "daka510000", "weights_mb": 65100.0, "load_s": 2.9,
                           "adapters": 3000, "adapter_mb": 12.0}]}}


def run_case(folder, case):
    """Runs `case(record, temporary folder, trouble)`, which returns whether the rule held.

    The only argument of the script, from run.sh, is the value of TROUBLE; 0 leaves the disruption
    out. Whatever keeps the case from running, an error of its own too, exits with 2.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    trouble = sys.argv[1:] != ["0"]
    record = Record(folder)
    record("with the disruption" if trouble else "without the disruption (TROUBLE=0)")
    try:
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/laburnumweir is missing; build it as deploy/system.toml says")
        with tempfile.TemporaryDirectory() as temporary:
            held = asyncio.run(asyncio.wait_for(case(record, temporary, trouble), 110))
    except Exception as error:  # exit code 1 must say only that the rule was broken
        record("the case could not run: %r" % error)
        sys.exit(2)
    record("the rule held" if held else "THE RULE IS BROKEN")
    sys.exit(0 if held else 1)
