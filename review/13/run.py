"""Two of twelve runners crash while they begin to answer requests whose prompts have many parts.

This happens three times. Like the platform, the script kills a process that exceeds the memory of its
machine, and starts it again.
"""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
from deployment import (KEY, Host, Record, await_ready, configuration,  # noqa: E402
                        engine_service, free_ports, run_case, stream_route, temporary_folder)
from platform_standin import Engine, Store, now_ms  # noqa: E402

MODEL = "daka510000"
RUNNERS = 12
CRASHES = 2         # 0.17 of the runners, of 0.25 in the site file
DOWN_S = 2.0        # as in the site file
SILENCE_S = 3.6     # three heartbeats, after which the entry of a silent runner is removed
COLD_S = 3.0
ROUNDS = 3
ROUND_S = 14.0
REQUESTS = 12       # of a round, at each of the two hosts that get them
PARTS = 1800        # of 1 token each; the head then has 14.7 KB, of 16,384 bytes allowed
STREAM_S = 6.0      # time of an answer, with 49 events
MEMORY_MB = 260 * 1.048576  # of a machine, as in its settings; the pages leave open which MB is meant
RESTART_S = 0.5


class CrashingEngine(Engine):
    """An engine that can be crashed and comes back with a new id, cold."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.writers = set()
        self.lives = 1

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def crash(self):
        self.record("CRASH", self.name, "running:", self.running)
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(DOWN_S)
        crashed = self.name
        self.lives += 1
        self.name = "%s.%d" % (self.name.split(".")[0], self.lives)
        self.born, self.beats = now_ms(), 0
        self.cold_until = time.monotonic() + COLD_S
        await self.start()
        await asyncio.sleep(SILENCE_S - DOWN_S)
        await self.store.put("keyed.servers", crashed, None)


def request(number, parts):
    prompt = ",".join("%05x:1" % (0x10000 + number * PARTS + part) for part in range(parts))
    return ("POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: guide-%d\r\n"
            "X-Model: %s\r\nX-Token-Usage: %d,49\r\nX-Prompt-Prefix: %s\r\nX-Deadline-Ms: 12000\r\n"
            "Authorization: Token %s\r\nContent-Length: 9\r\n\r\nguide %03d"
            % (number, MODEL, parts, prompt, KEY, number)).encode()


async def call(host, number, parts, record):
    """Sends a request and reads its answer to the end."""
    message = request(number, parts)
    record("sent", "guide-%d" % number, "to", host.name, "bytes: %d" % len(message))
    answer = b""
    error = ""
    try:
        reader, writer = await asyncio.open_connection(host.ip, host.frontend)
        writer.write(message)
        while not answer.endswith(b"0\r\n\r\n"):
            received = await asyncio.wait_for(reader.read(65536), 13)
            if not received:
                break
            answer += received
        writer.close()
    except (OSError, asyncio.TimeoutError) as caught:
        error = type(caught).__name__
    record("answer", "guide-%d" % number, answer.split(b"\r\n")[0].decode() or "none",
           "events: %d" % answer.count(b"id: "), "complete: %s" % answer.endswith(b"0\r\n\r\n"), error)


class Machine:
    """Watches the memory of a process; kills and restarts it as the platform does."""

    def __init__(self, host, record):
        self.host, self.record, self.ends, self.peak = host, record, 0, 0.0

    async def watch(self):
        while True:
            memory = self.host.memory_mb("VmRSS")
            self.peak = max(self.peak, memory)
            has_ended = self.host.process.poll() is not None
            if has_ended or memory > MEMORY_MB:
                self.ends += 1
                self.record(self.host.name, "ended by itself" if has_ended else
                            "holds %.0f MB of %d MB: killed" % (memory, MEMORY_MB))
                self.host.stop()
                await asyncio.sleep(RESTART_S)
                self.host.start()
            await asyncio.sleep(0.01)


async def main():
    record = Record(__file__)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    addresses = ["127.0.0.1", "127.0.0.2", "127.0.0.3"]
    zones = ["nsa", "nsb", "nsc"]
    with temporary_folder() as folder:
        store = Store(parts=12)
        await store.start()
        await store.put("keyed.op", "config", configuration(
            7, [stream_route("briefing", "/lohu930/", "windtalk", 12000, 2)],
            [engine_service("windtalk", MODEL)]))
        runners = [CrashingEngine(store, "windtalk", zones[i % 3], "i-%d" % i, STREAM_S, record,
                                  MODEL) for i in range(RUNNERS)]
        for runner in runners:
            await runner.start()
        first = free_ports(8, addresses)
        hosts = [Host("edge-%s-1" % zone, zone, store.port, folder, address, first)
                 for zone, address in zip(zones, addresses)]
        for host in hosts:
            host.start()
        try:
            if not await await_ready(hosts, record):
                return 2
            machines = [Machine(host, record) for host in hosts]
            watches = [asyncio.ensure_future(machine.watch()) for machine in machines]
            await asyncio.sleep(3)
            number = 0
            for _ in range(ROUNDS):
                start = time.monotonic()
                begun = sum(len(runner.runs) for runner in runners)
                asyncio.ensure_future(call(hosts[2], 900 + number, 3, record))
                for i in range(2 * REQUESTS):
                    asyncio.ensure_future(call(hosts[i % 2], number, PARTS, record))
                    number += 1
                while sum(len(runner.runs) for runner in runners) - begun < 2 * REQUESTS:
                    await asyncio.sleep(0.001)
                    if time.monotonic() - start > 5:
                        record("the requests did not run")
                        return 2
                await asyncio.sleep(STREAM_S / Engine.events)  # each has about one event
                if has_trouble:
                    # One runner of each of the two zones, those with the most of the requests.
                    for zone in zones[:CRASHES]:
                        busiest = max((runner for runner in runners if runner.zone == zone),
                                      key=lambda runner: runner.running)
                        asyncio.ensure_future(busiest.crash())
                await asyncio.sleep(start + ROUND_S - time.monotonic())
            for watch in watches:
                watch.cancel()
            for machine in machines:
                record(machine.host.name, "ends: %d, highest memory: %.0f MB"
                       % (machine.ends, machine.peak))
            is_broken = sum(machine.ends >= 3 for machine in machines) >= 2
            record("result:", "broken" if is_broken else "held")
            return 1 if is_broken else 0
        finally:
            for host in hosts:
                host.stop()


run_case(main)
