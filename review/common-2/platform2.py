"""Stand-ins of the users' platform for the cases of the second review, in one asyncio process:
the metadata store (log form), runners and clients; and gateways as separate processes.

Everything listens on loopback addresses. Only processes that were started here are ended.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
BINARY = ROOT / "target" / "laburnumweir"

BOUNDS = {
    "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
    "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
    "max_extension_ms": 5000, "strict_revocation": True, "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "retry_window_s": 10, "budget_slack": 56, "quota_window_s": 8,
    "quota_overage": 0.1, "quota_slack": 17000, "cold_overage": 1.5, "cold_slack": 5,
    "evacuate_ms": 5000, "recover_s": 12, "pass_ms": 120, "retry_after_s": 0,
    "fencing_enforced": True, "lease_ms": 3000, "thaw_ms": 300, "ceiling_window_s": 5,
    "load_overage": 1.1, "version_ms": 5000, "reuse_after_s": 2, "seed_lag_s": 3,
}


class Record:
    """What was sent, answered and run, written to record.txt."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{self.now():8.3f} {what} {text}\n")
        self.file.flush()


def free_port(ip, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def free_range(ips, count=16):
    """First of `count` ports that are free on all addresses, below those for outgoing connections."""
    while True:
        first = random.randrange(12000, 30000)
        try:
            for ip in ips:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((ip, port))
            return first
        except OSError:
            continue


async def read_message(reader):
    """Returns start line, headers (lower case) and body of an HTTP/1.1 message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif "chunked" in headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += part[:-2]
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return lines[0], headers, body


def answer(status, body=b"", headers=()):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
        headers = [*headers, ("Content-Type", "application/json")]
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in headers),
             f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Topic:
    def __init__(self):
        self.records = []  # bytes each
        self.newest = {}  # key -> (value or None, offset)


class Store:
    """The platform's metadata store in its log form. `mode` can make it silent, busy or reset."""

    def __init__(self, record, ip="127.0.0.1"):
        self.record = record
        self.ip = ip
        self.port = 0
        self.topics = {}
        self.groups = {}
        self.era = 0
        self.mode = {}  # client address -> "silent" | "busy" | "reset" | "many"; "*" for all
        self.changed = asyncio.Event()
        self.calls = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, 0, limit=1 << 22)
        self.port = self.server.sockets[0].getsockname()[1]

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def append(self, name, content):
        topic = self.topic(name)
        topic.records.append(content)
        if name.startswith("keyed."):
            size = content[0]
            key, value = content[1:1 + size].decode("latin-1"), content[1 + size:]
            if value:
                topic.newest[key] = (value, len(topic.records) - 1)
            else:
                topic.newest.pop(key, None)
        event, self.changed = self.changed, asyncio.Event()
        event.set()
        return len(topic.records)

    def put(self, name, key, value):
        data = b"" if value is None else json.dumps(value).encode()
        return self.append(name, bytes([len(key)]) + key.encode() + data)

    def copy(self):
        """A copy of all records, for restore()."""
        return {name: (list(t.records), dict(t.newest)) for name, t in self.topics.items()}, {
            name: json.loads(json.dumps(group)) for name, group in self.groups.items()}

    def restore(self, copy):
        topics, groups = copy
        self.topics = {}
        for name, (records, newest) in topics.items():
            topic = self.topic(name)
            topic.records, topic.newest = list(records), dict(newest)
        self.groups = {name: json.loads(json.dumps(group)) for name, group in groups.items()}
        for group in self.groups.values():
            for member in group["members"].values():
                member["until"] = time.monotonic() + member["ttl"]
        self.era += 1
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        try:
            while (message := await read_message(reader)) is not None:
                line, headers, body = message
                mode = self.mode.get(peer) or self.mode.get("*")
                if mode == "silent":
                    await asyncio.sleep(3600)
                if mode == "reset":
                    writer.transport.abort()
                    return
                if mode in ("busy", "many"):
                    writer.write(answer(503 if mode == "busy" else 429, {}, [("Store-Era", self.era)]))
                    await writer.drain()
                    continue
                self.calls += 1
                await asyncio.sleep(0.004)
                method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                query = dict(part.partition("=")[::2] for part in query.split("&") if part)
                status, data = await self.handle(method, path, query, body)
                mode = self.mode.get(peer) or self.mode.get("*")
                if mode == "silent":
                    await asyncio.sleep(3600)
                if mode == "reset":
                    writer.transport.abort()
                    return
                writer.write(answer(status, data, [("Store-Era", self.era)]))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, method, path, query, body):
        if path == "/api/log-newest":
            topic = self.topic(query["topic"])
            items = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in sorted(topic.newest.items())
            ]
            return 200, {"items": items, "has_more": False, "end_offset": len(topic.records)}
        if path == "/api/log-read":
            era, start = self.era, int(query["from"])
            until = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
            while True:
                topic = self.topic(query["topic"])
                if start > len(topic.records):
                    return 410, {"first_offset": 0}
                if len(topic.records) > start or time.monotonic() >= until or self.era != era:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, until - time.monotonic()))
                except asyncio.TimeoutError:
                    pass
            data = struct.pack(">QQ", len(topic.records), 0)
            for content in topic.records[start:]:
                data += struct.pack(">I", len(content)) + content
            return 200, data
        if path == "/api/log-append":
            topic = self.topic(query["topic"])
            if "at" in query and int(query["at"]) != len(topic.records):
                return 412, {"end_offset": len(topic.records)}
            first = len(topic.records)
            while body:
                size = struct.unpack(">I", body[:4])[0]
                self.append(query["topic"], body[4:4 + size])
                body = body[4 + size:]
            return 200, {"offset": first, "end_offset": len(topic.records)}
        if path == "/api/log-join":
            return self.join(json.loads(body))
        if path == "/api/log-leave":
            request = json.loads(body)
            group = self.group(request["group"])
            if group["members"].pop(request["member"], None) is not None:
                self.deal(group)
            return 200, {}
        return 404, {}

    def group(self, name):
        return self.groups.setdefault(name, {"generation": 0, "members": {}, "owners": {}})

    def deal(self, group):
        """Hands the partitions of members that left, and the surplus, to the others."""
        group["generation"] += 1
        members = sorted(group["members"])
        owners = {part: m for part, m in group["owners"].items() if m in group["members"]}
        if members:
            most = -(-12 // len(members))
            held = {m: [p for p in sorted(owners, key=int) if owners[p] == m] for m in members}
            for m in members:
                for part in held[m][most:]:
                    del owners[part]
                held[m] = held[m][:most]
            for part in map(str, range(12)):
                if part not in owners:
                    least = min(members, key=lambda m: len(held[m]))
                    held[least].append(part)
                    owners[part] = least
        group["owners"] = owners

    def join(self, request):
        group = self.group(request["group"])
        now = time.monotonic()
        gone = [m for m, d in group["members"].items() if d["until"] < now]
        isNew = request["member"] not in group["members"]
        for member in gone:
            if member != request["member"]:
                del group["members"][member]
        group["members"][request["member"]] = {
            "until": now + request["ttl_ms"] / 1000, "ttl": request["ttl_ms"] / 1000}
        if isNew or any(m != request["member"] for m in gone):
            self.deal(group)
        parts = [[request["topics"][0], int(p), 0] for p, m in sorted(group["owners"].items())
                 if m == request["member"]]
        return 200, {"generation": group["generation"], "parts": parts}


class Runner:
    """A runner that keeps its entry in the store, and runs requests in `slots` places."""

    def __init__(self, store, record, id, service, slots=6, queue=24, work=0.03, ip="127.0.0.1",
                 zone="z1", version="s1", models=None, pieces=0, gap=0.05, period=1.2):
        self.store, self.record, self.id, self.service = store, record, id, service
        self.slots, self.queue, self.work, self.ip, self.zone = slots, queue, work, ip, zone
        self.version, self.models, self.pieces, self.gap = version, models, pieces, gap
        self.period = period
        self.running, self.waiting = 0, 0
        self.free = asyncio.Condition()
        self.beats, self.orders = 0, 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.extra = []  # further header fields of all answers
        self.rejected = []
        self.runs = []  # (time, id, headers)
        self.port = 0
        self.server, self.task, self.writers, self.tasks = None, None, set(), set()
        self.hook = None
        self.is_down = False
        self.beat_at = 0.0

    async def start(self, port=0, first_beat=0.0):
        """`first_beat`: time until it writes its entry, so that it keeps its interval."""
        self.born = int(time.time() * 1000)
        self.beats = self.orders = self.running = self.waiting = 0
        # Below the ports of outgoing connections, so that it can be had again after a crash.
        self.port = port or self.port or free_range([self.ip], 1)
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.task = asyncio.create_task(self.heartbeat(first_beat))
        self.record("runner_start", id=self.id, born=self.born, version=self.version)

    async def crash(self, seconds):
        """Ends, and starts again at the same address after some seconds."""
        if self.is_down:
            return
        self.is_down = True
        await self.stop()
        await asyncio.sleep(seconds)
        await self.start()
        self.is_down = False

    async def stop(self, removes=False):
        """Ends like a crash: all connections are reset, the entry expires by silence."""
        self.record("runner_stop", id=self.id)
        self.task.cancel()
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        if removes:
            self.store.put("keyed.servers", self.id, None)
        else:
            asyncio.get_running_loop().call_later(3 * self.period, self.expire, self.born)

    def expire(self, born):
        if self.born == born:
            self.store.put("keyed.servers", self.id, None)

    def entry(self):
        entry = {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                 "version": self.version, "slots": self.slots, "state": self.state,
                 "cold_remaining_ms": 0, "sequence": self.beats, "born": self.born}
        if self.models is not None:
            entry["phase"] = "both"
            entry["models"] = self.models
        return entry

    def beat(self):
        self.beats += 1
        self.beat_at = time.monotonic()
        self.store.put("keyed.servers", self.id, self.entry())

    async def heartbeat(self, first_beat):
        await asyncio.sleep(first_beat)
        while True:
            self.beat()
            await asyncio.sleep(self.period)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while (message := await read_message(reader)) is not None:
                await self.handle(message, reader, writer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(task)
            writer.close()

    def headers(self, request):
        return [("X-Attempt-Id", request.get("x-attempt-id", "")), ("X-Instance-Id", self.id),
                *self.extra]

    async def handle(self, message, reader, writer):
        line, headers, body = message
        method, path, _ = line.split(" ")
        if path == "/api/report":
            writer.write(answer(200, {"phase": "both", "models": self.models or [], "busy": False,
                                      "sequence": self.orders, "queued": self.waiting,
                                      "active": self.running, "kv_used": 0, "kv_total": 100000,
                                      "handles": 0, "born": self.born, "pending": []}))
            return
        if path == "/api/order":
            writer.write(answer(200, {}))
            return
        expected = headers.get("x-expect-instance")
        attempt = headers.get("x-attempt-id", "")
        if expected and expected != self.id:
            self.record("misdirected", runner=self.id, id=attempt)
            writer.write(answer(421, b"", [*self.headers(headers), ("X-Not-Executed", "1")]))
            return
        if self.running >= self.slots and self.waiting >= self.queue:
            self.rejected.append(time.monotonic())
            self.record("rejected", runner=self.id, id=attempt)
            writer.write(answer(503, b"", [*self.headers(headers), ("X-Not-Executed", "1")]))
            await self.on_rejected()
            return
        async with self.free:
            self.waiting += 1
            try:
                while self.running >= self.slots:
                    await self.free.wait()
            finally:
                self.waiting -= 1
            self.running += 1
        try:
            await self.run(method, path, headers, body, reader, writer)
        finally:
            self.running -= 1
            asyncio.get_running_loop().create_task(self.notify())

    async def notify(self):
        async with self.free:
            self.free.notify()

    async def on_rejected(self):
        pass

    async def run(self, method, path, headers, body, reader, writer):
        attempt = headers.get("x-attempt-id", "")
        self.runs.append((time.monotonic(), attempt, headers))
        self.record("run", runner=self.id, id=attempt, tenant=headers.get("x-tenant", ""),
                    after=headers.get("last-event-id", ""), path=path)
        if self.hook and await self.hook(self, method, path, headers, body, writer):
            return
        stamp = [("X-Server-Stamp", f"{self.id}.{attempt}")]
        if self.pieces:
            start = int(headers.get("last-event-id", "0"))
            fields = [*self.headers(headers), *stamp, ("Content-Type", "text/event-stream"),
                      ("Transfer-Encoding", "chunked")]
            writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields) +
                          "\r\n").encode())
            for number in range(start + 1, self.pieces + 1):
                await asyncio.sleep(self.gap)
                if writer.transport.is_closing():
                    return
                event = f"id: {number}\ndata: {self.version} {number}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            writer.write(b"0\r\n\r\n")
            return
        await asyncio.sleep(self.work)
        writer.write(answer(200, f"{self.id} {attempt}".encode(), [*self.headers(headers), *stamp]))


class Gateway:
    """A gateway process."""

    def __init__(self, directory, store, record, name, ip, ports, zone, zones, bootstrap=True,
                 memory_mb=260, max_fds=4100, bounds=None):
        self.directory, self.record, self.name, self.ip = directory, record, name, ip
        self.frontend, self.ready_port, self.metrics = ports, ports + 1, ports + 4
        self.settings = {
            "node_name": name, "role": "gateway", "machine_class": "edge",
            "serves": ["edge", "control"], "ip": ip, "zone": zone, "region": "r1",
            "zones": {z: "r1" for z in zones},
            "listen_addresses": {"frontend": f"{ip}:{ports}", "ready": f"{ip}:{ports + 1}",
                                 "control_plane": f"{ip}:{ports + 2}"},
            "internal_port_range": [ports + 3, ports + 15], "seed_nodes": [],
            "bootstrap": bootstrap,
            "limits": {"cpu_quota": 0.25, "cpu_cores": 1, "memory_mb": memory_mb,
                       "max_fds": max_fds, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entrypoint": "vip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream",
                          "engine", "tenants", "quota", "places", "platform"],
            "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": {**BOUNDS, **(bounds or {})},
            "platform": {"address": f"{store.ip}:{store.port}", "form": "log", "writes_per_s": 400,
                         "reads_per_s": 2000, "parts": 12, "append_ms": 2.0,
                         "record_bytes": 262144, "call_bytes": 2097152, "keep_s": 300,
                         "ttl_min_ms": 1000},
        }
        self.process = None

    def start(self):
        path = self.directory / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        log = open(self.directory / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [str(BINARY), "gateway"], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "HOME": str(self.directory), "LANG": "C.UTF-8",
                 "LABURNUMWEIR_NODE_FILE": str(path)})
        log.close()
        self.record("gateway_start", name=self.name)
        self.settings["bootstrap"] = False

    def kill(self, number=signal.SIGKILL):
        self.record("gateway_signal", name=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)
        if number == signal.SIGKILL:
            self.process.wait()

    def rss_mb(self):
        for line in open(f"/proc/{self.process.pid}/status", encoding="ascii"):
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1000
        return 0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return message is not None and " 200 " in message[0]
        except (OSError, asyncio.TimeoutError):
            return False


class Fleet:
    """Store, runners and gateways of a case."""

    def __init__(self, folder, hosts=4, zones=("z1", "z2")):
        self.folder = pathlib.Path(folder)
        self.record = Record(self.folder / "record.txt")
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review2-"))
        self.store = Store(self.record)
        self.count, self.zones = hosts, zones
        self.gateways, self.runners = [], []
        self.version = 0

    async def start_gateways(self, **options):
        ips = [f"127.0.{random.randrange(1, 250)}.{i + 2}" for i in range(self.count)]
        ports = free_range(ips)
        for i, ip in enumerate(ips):
            zone = self.zones[i % len(self.zones)]
            self.gateways.append(Gateway(self.directory, self.store, self.record, f"edge-{zone}-{i}",
                                         ip, ports, zone, self.zones, **options))
        for gateway in self.gateways:
            gateway.start()
        await self.wait_ready()

    async def wait_ready(self, seconds=20):
        until = time.monotonic() + seconds
        while not all([await g.is_ready() for g in self.gateways]):
            if time.monotonic() > until:
                raise RuntimeError("gateways are not ready")
            await asyncio.sleep(0.1)

    def configure(self, routes, services, tenants=(), **limits):
        self.version += 3
        config = {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 10000, "idle_timeout_ms": 15000, **limits},
        }
        if tenants:
            config["tenants"] = list(tenants)
        self.store.put("keyed.op", "config", config)
        self.record("config", version=self.version)

    def close(self):
        for gateway in self.gateways:
            if gateway.process and gateway.process.poll() is None:
                gateway.process.send_signal(signal.SIGCONT)
                gateway.process.kill()
                gateway.process.wait()
        shutil.rmtree(self.directory, ignore_errors=True)


class Reply:
    """An answer as a client saw it."""

    def __init__(self):
        self.status, self.headers, self.body, self.complete = 0, {}, b"", False
        self.error, self.events, self.sent_at, self.done_at = "", [], 0.0, 0.0


async def call(record, gateway, method, path, attempt, host="app.example", headers=(), body=b"",
               timeout=15.0, on_event=None, quiet=False):
    """Sends one request on a new connection and reads its answer to the end."""
    reply = Reply()
    reply.sent_at = time.monotonic()
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Attempt-Id: {attempt}",
             *(f"{k}: {v}" for k, v in headers)]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    if not quiet:
        record("sent", gateway=gateway.name, id=attempt, path=path)
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(gateway.ip, gateway.frontend, limit=1 << 20), 1)
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await asyncio.wait_for(read_reply(reader, reply, on_event), timeout)
    except asyncio.TimeoutError:
        reply.error = "timeout"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        reply.error = type(error).__name__
    finally:
        if writer:
            writer.transport.abort()
    reply.done_at = time.monotonic()
    if not quiet:
        record("answered", gateway=gateway.name, id=attempt, status=reply.status,
               complete=reply.complete, stamp=reply.headers.get("x-server-stamp", "none"),
               events=len(reply.events), error=reply.error or "none",
               body=repr(reply.body[:40]) if not reply.events else "")
    return reply


async def read_reply(reader, reply, on_event):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    reply.status = int(head[0].split(" ")[1])
    for line in head[1:]:
        if line:
            name, _, value = line.partition(":")
            reply.headers[name.lower()] = value.strip()
    if "chunked" in reply.headers.get("transfer-encoding", ""):
        pending = b""
        while True:
            size = int((await reader.readline()).strip() or b"x", 16)
            part = (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
            reply.body += part
            pending += part
            while b"\n\n" in pending:
                event, _, pending = pending.partition(b"\n\n")
                fields = dict(l.partition(": ")[::2] for l in event.decode().split("\n"))
                reply.events.append((fields.get("id"), fields.get("data"), time.monotonic()))
                if on_event:
                    on_event(reply)
    elif "content-length" in reply.headers:
        reply.body = await reader.readexactly(int(reply.headers["content-length"]))
    else:
        reply.body = await reader.read()
    reply.complete = True


def main(case, trouble):
    """Runs a case with or without its disruption: 1 if the rule was broken, 0 if it held, 2 if the
    case could not run."""
    try:
        sys.exit(asyncio.run(asyncio.wait_for(case(trouble), 115)))
    except SystemExit:
        raise
    except BaseException as error:  # pylint: disable=broad-except
        print(f"could not run: {error!r}")
        sys.exit(2)
