"""Stand-ins of the platform's store and of runners, as the users' pages describe them, on loopback.

They run in the process of a test script, in one asyncio loop. Each runner records every request
that it receives with its method, target, headers and body.
"""
import asyncio
import base64
import json
import struct
import time
import urllib.parse


def now_ms():
    return int(time.time() * 1000)


class Message:
    """Head and body of an HTTP/1.1 message."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_message(reader, is_request):
    """Reads one message; returns None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    message = Message(lines[0], headers, b"")
    try:
        if message.get("transfer-encoding").lower() == "chunked":
            body = b""
            while True:
                size = int((await reader.readline()).split(b";")[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    break
                body += chunk[:-2]
            message.body = body
        elif message.get("content-length"):
            message.body = await reader.readexactly(int(message.get("content-length")))
        elif not is_request:
            message.body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return message


def answer_text(status, headers, body):
    reasons = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
               421: "Misdirected Request", 503: "Service Unavailable"}
    head = "HTTP/1.1 %d %s\r\n" % (status, reasons.get(status, "Status"))
    for name, value in headers:
        head += "%s: %s\r\n" % (name, value)
    return (head + "Content-Length: %d\r\n\r\n" % len(body)).encode("latin-1") + body


class Store:
    """The platform's store: topics with partitions, keyed topics and one kind of group."""

    def __init__(self, parts):
        self.parts = parts
        self.logs = {}       # (topic, part) -> list of records
        self.changed = asyncio.Condition()
        self.groups = {}     # group -> {"members": {name: last join}, "generation": n}
        self.port = 0
        self.era = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def put(self, topic, key, value):
        """Writes a record of a keyed topic, as the operator and the runners do."""
        content = bytes([len(key)]) + key.encode()
        if value is not None:
            content += json.dumps(value).encode()
        await self.append(topic, 0, [content])

    async def append(self, topic, part, records):
        log = self.logs.setdefault((topic, part), [])
        first = len(log)
        log.extend(records)
        async with self.changed:
            self.changed.notify_all()
        return first

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader, True)
                if request is None:
                    break
                status, kind, body = await self.answer(request)
                writer.write(answer_text(status, [("Content-Type", kind)], body))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(self, request):
        method, target, _ = request.start.split(" ")
        path, _, query = target.partition("?")
        arguments = dict(urllib.parse.parse_qsl(query))
        reply = "application/json"
        key = (arguments.get("topic", ""), int(arguments.get("part", "0")))
        log = self.logs.setdefault(key, [])
        if path == "/api/log-newest":
            newest = {}
            for offset, record in enumerate(log):
                length = record[0]
                name, value = record[1:1 + length].decode(), record[1 + length:]
                newest.pop(name, None)
                if value:
                    newest[name] = {"key": name, "offset": offset,
                                    "value": base64.b64encode(value).decode()}
            body = {"items": list(newest.values()), "has_more": False, "end_offset": len(log)}
            return 200, reply, json.dumps(body).encode()
        if path == "/api/log-read":
            start = int(arguments.get("from", "0"))
            deadline = time.monotonic() + int(arguments.get("wait_ms", "0")) / 1000
            if start > len(log):
                return 410, reply, json.dumps({"first_offset": 0}).encode()
            async with self.changed:
                while start >= len(log) and time.monotonic() < deadline:
                    try:
                        await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
                    except asyncio.TimeoutError:
                        break
            body = struct.pack(">QQ", len(log), 0)
            for record in log[start:]:
                body += struct.pack(">I", len(record)) + record
            return 200, "application/octet-stream", body
        if path == "/api/log-append":
            if "at" in arguments and int(arguments["at"]) != len(log):
                return 412, reply, json.dumps({"end_offset": len(log)}).encode()
            records, rest = [], request.body
            while rest:
                size = struct.unpack(">I", rest[:4])[0]
                records.append(rest[4:4 + size])
                rest = rest[4 + size:]
            first = await self.append(key[0], key[1], records)
            body = {"offset": first, "end_offset": first + len(records)}
            return 200, reply, json.dumps(body).encode()
        if path in ("/api/log-join", "/api/log-leave"):
            return 200, reply, json.dumps(self.join(json.loads(request.body),
                                                    path.endswith("join"))).encode()
        return 404, reply, b"{}"

    def join(self, call, is_join):
        group = self.groups.setdefault(call["group"], {"members": {}, "generation": 0, "ttl": 3.0})
        members, now = group["members"], time.monotonic()
        before = set(members)
        if is_join:
            group["ttl"] = call["ttl_ms"] / 1000
            members[call["member"]] = now
        else:
            members.pop(call["member"], None)
        for name in [n for n, t in members.items() if now - t > group["ttl"]]:
            del members[name]
        if set(members) != before:
            group["generation"] += 1
        order = sorted(members)
        rows = [[call.get("topics", [""])[0], part, 0] for part in range(self.parts)
                if order and order[part % len(order)] == call["member"]]
        return {"generation": group["generation"], "ttl_ms": call.get("ttl_ms", 0), "parts": rows}


class Runner:
    """A runner of a plain service. Answers each request with a body that names it."""

    slots = 6
    cold_until = 0.0
    models = None  # list of the models that an engine holds

    def __init__(self, store, service, zone, name, work_s, record):
        self.store, self.service, self.zone = store, service, zone
        self.name, self.work_s, self.record = name, work_s, record
        self.born = now_ms()
        self.beats = 0
        self.runs = []
        self.stamp = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beating = asyncio.ensure_future(self.beat())

    async def beat(self):
        while True:
            self.beats += 1
            entry = {
                "service": self.service, "address": "127.0.0.1:%d" % self.port, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": "ready",
                "cold_remaining_ms": max(0, int(1000 * (self.cold_until - time.monotonic()))),
                "sequence": self.beats, "born": self.born}
            if self.models is not None:
                entry.update(phase="both", models=self.models)
            await self.store.put("keyed.servers", self.name, entry)
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader, True)
                if request is None:
                    break
                await self.respond(request, writer)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def respond(self, request, writer):
        writer.write(await self.answer(request))

    async def answer(self, request):
        expected = request.get("x-expect-instance")
        attempt = request.get("x-attempt-id")
        if expected and expected != self.name:
            return answer_text(421, [("X-Attempt-Id", attempt), ("X-Instance-Id", self.name)], b"")
        if not attempt:
            return answer_text(400, [("X-Not-Executed", "1")], b"")
        self.runs.append(request)
        method, target, _ = request.start.split(" ")
        self.record("run", attempt, method, target, "tenant=" + request.get("x-tenant"),
                    "body=%r" % request.body[:60], "at=" + self.name)
        await asyncio.sleep(self.work_s)
        self.stamp += 1
        body = ("answer to %s\n" % attempt).encode().ljust(800, b".")
        return answer_text(200, [("X-Attempt-Id", attempt), ("X-Server-Stamp", "%s.%d" % (self.name, self.stamp)),
                                 ("Content-Type", "text/plain"), ("Keep-Alive", "timeout=20")], body)


class Engine(Runner):
    """A model runner. Answers each request with a stream of events."""

    slots = 64
    events = 49

    def __init__(self, store, service, zone, name, work_s, record, model):
        super().__init__(store, service, zone, name, work_s, record)
        self.models = [{"name": model, "version": 1, "adapters": []}]
        self.running = 0
        self.orders = 0

    async def respond(self, request, writer):
        if request.start.startswith("GET /api/report"):
            report = {"phase": "both", "models": self.models, "busy": False,
                      "sequence": self.orders, "queued": 0, "active": self.running,
                      "kv_used": 0, "kv_total": 145001, "handles": 0, "born": self.born}
            writer.write(answer_text(200, [("Content-Type", "application/json")],
                                     json.dumps(report).encode()))
            return
        if request.start.startswith("POST /api/order"):
            writer.write(answer_text(200, [("Content-Type", "application/json")], b"{}"))
            return
        attempt = request.get("x-attempt-id")
        if request.get("x-expect-instance") != self.name:
            writer.write(answer_text(421, [("X-Attempt-Id", attempt),
                                           ("X-Instance-Id", self.name)], b""))
            return
        if self.running >= self.slots:
            writer.write(answer_text(503, [("X-Attempt-Id", attempt), ("X-Not-Executed", "1")], b""))
            return
        self.running += 1
        try:
            self.runs.append(request)
            self.record("run", attempt, "at=" + self.name)
            self.stamp += 1
            writer.write(("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: %s.%d\r\n"
                          "Content-Type: text/event-stream\r\nKeep-Alive: timeout=20\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n"
                          % (attempt, self.name, self.stamp)).encode())
            for number in range(1, self.events + 1):
                await asyncio.sleep(self.work_s / self.events)
                event = ("id: %d\ndata: %s %d\n\n" % (number, attempt, number)).encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1
