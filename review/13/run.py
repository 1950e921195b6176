"""The runners of a service are brittle while many users come at once.

Four runners with 6 slots each, three hosts, and the share of the traffic of a day of high load that goes to
this service. A runner that has to turn away more than BRITTLE requests in a second falls over.
"""
import asyncio
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
from deployment import (KEY, Host, Record, await_ready, configuration, free_ports,  # noqa: E402
                        route, run_case, service, temporary_folder)
from platform_standin import Runner, Store, answer_text, now_ms, read_message  # noqa: E402

REQUESTS_PER_S = 198.0     # day scale-1: 766 a second, of which 142.9 in 552 go to this service
BOOKING_SHARE = 102 / 142.9
BURST_FACTOR = 1.7         # the largest dose of the site file, with its 3 s
BURST_S = (8.0, 11.0)
BRITTLE_FROM_S = 2.0       # 6 s before the burst; the stable window is 4 s
END_S = 14.0
BRITTLE = 5                # requests a second, named in Server-Brittle
SLOTS = 6
QUEUE = 24                 # requests that wait at a sound runner
BRITTLE_QUEUE = 1          # and at a brittle one, from the stable window on
WORK_S, WORK_MAX_S = 0.060, 0.450
DOWN_S = 3.0
BOUNDS = {"stable_window_ms": 4000, "ack_ms": 6000, "catch_up_s": 6, "drain_ms": 3000,
          "config_apply_ms": 3000, "max_extension_ms": 6000, "budget_slack": 160, "recover_s": 15,
          "pass_ms": 200}


class Brittleness:
    """When the runners of the service are brittle, and when they fell over."""

    def __init__(self):
        self.since = None
        self.falls = []

    def is_strict(self):
        return (self.since is not None
                and time.monotonic() - self.since > BOUNDS["stable_window_ms"] / 1000)


class BrittleRunner(Runner):
    """Runs SLOTS requests at once, lets some wait and turns the others away."""

    def __init__(self, store, name, zone, record, brittleness, chance):
        super().__init__(store, "depot-ledger", zone, name, 0, record)
        self.brittleness, self.chance = brittleness, chance
        self.writers = set()
        self.reset()

    def reset(self):
        self.running, self.waiting, self.refusals, self.is_up = 0, [], [], True

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    def fields(self, attempt):
        fields = [("X-Attempt-Id", attempt)]
        if self.brittleness.since is not None:
            fields.append(("Server-Brittle", str(BRITTLE)))
        return fields

    def refuse(self, attempt):
        now = time.monotonic()
        self.refusals = [at for at in self.refusals if now - at < 1] + [now]
        self.record("refused", attempt, "at=" + self.name, "in the last second:", len(self.refusals))
        if self.brittleness.is_strict() and len(self.refusals) > BRITTLE and self.is_up:
            self.is_up = False
            asyncio.ensure_future(self.fall())
        return answer_text(503, self.fields(attempt) + [("X-Not-Executed", "1")], b"")

    async def answer(self, request):
        attempt = request.get("x-attempt-id")
        if request.get("x-expect-instance") != self.name:
            return answer_text(421, self.fields(attempt) + [("X-Instance-Id", self.name)], b"")
        if self.running < SLOTS:
            self.running += 1
        elif len(self.waiting) < (BRITTLE_QUEUE if self.brittleness.is_strict() else QUEUE):
            place = asyncio.get_running_loop().create_future()
            self.waiting.append(place)
            await place
        else:
            return self.refuse(attempt)
        life = self.name
        self.record("run", attempt, "at=" + life)
        work = WORK_S * self.chance.lognormvariate(-0.11, 0.47)
        if self.chance.random() < 0.01:
            work *= 5
        await asyncio.sleep(min(WORK_MAX_S, work))
        if life != self.name or not self.is_up:
            raise ConnectionResetError
        if self.waiting:
            self.waiting.pop(0).set_result(True)
        else:
            self.running -= 1
        self.stamp += 1
        fields = self.fields(attempt) + [("X-Server-Stamp", "%s.%d" % (life, self.stamp)),
                                         ("Content-Type", "text/plain"), ("Keep-Alive", "timeout=20")]
        return answer_text(200, fields, ("answer to %s\n" % attempt).encode().ljust(800, b"."))

    async def fall(self):
        """Ends with all that it runs, and is back some seconds later as a new incarnation."""
        self.brittleness.falls.append(self.name)
        self.record("FELL OVER", self.name, "running:", self.running, "waiting:", len(self.waiting))
        self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(DOWN_S)
        self.name = "%s.%d" % (self.name.split(".")[0], len(self.brittleness.falls))
        self.born, self.beats = now_ms(), 0
        self.reset()
        await self.start()


async def call(host, attempt, record, answers):
    is_booking = attempt.startswith("booking")
    status = "none"
    try:
        reader, writer = await asyncio.open_connection(host.ip, host.frontend)
        writer.write(("%s HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: %s\r\n"
                      "X-Deadline-Ms: 3000\r\nAuthorization: Token %s\r\nConnection: close\r\n"
                      "Content-Length: 0\r\n\r\n"
                      % ("POST /puxa403/2f" if is_booking else "GET /cufi504/2f", attempt,
                         KEY)).encode())
        answer = await asyncio.wait_for(read_message(reader, False), 4)
        status = answer.start.split(" ")[1] if answer else "closed"
        writer.close()
    except (OSError, asyncio.TimeoutError) as error:
        status = type(error).__name__
    record("answer", attempt, status)
    answers[status] = answers.get(status, 0) + 1


async def main():
    record = Record(__file__)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    chance = random.Random()
    brittleness = Brittleness()
    addresses = ["127.0.0.1", "127.0.0.2", "127.0.0.3"]
    zones = ["teku", "balaju", "koteshwor"]
    with temporary_folder() as folder:
        store = Store(parts=12)
        await store.start()
        settings = configuration(
            7, [route("booking", "/puxa403/", "unsafe", "depot-ledger", 1500, 1),
                route("lookup", "/cufi504/", "safe", "depot-ledger", 1500, 2)],
            [service("depot-ledger")])
        settings["tenants"][0].update(rate_per_s=0, burst=0)
        await store.put("keyed.op", "config", settings)
        runners = [BrittleRunner(store, "i-%d" % i, zone, record, brittleness, chance)
                   for i, zone in enumerate(zones + zones[:1])]
        for runner in runners:
            await runner.start()
        first = free_ports(8, addresses)
        hosts = [Host("edge-%s-1" % zone, zone, store.port, folder, address, first, BOUNDS)
                 for zone, address in zip(zones, addresses)]
        for host in hosts:
            host.start()
        try:
            if not await await_ready(hosts, record):
                return 2
            await asyncio.sleep(3)
            answers, start, number = {}, time.monotonic(), 0
            due = start
            while due - start < END_S:
                at = due - start
                if has_trouble and at > BRITTLE_FROM_S and brittleness.since is None:
                    brittleness.since = time.monotonic()
                    record("the runners are brittle from now on")
                due += chance.expovariate(
                    REQUESTS_PER_S * (BURST_FACTOR if BURST_S[0] <= at < BURST_S[1] else 1))
                await asyncio.sleep(max(0, due - time.monotonic()))
                number += 1
                kind = "booking" if chance.random() < BOOKING_SHARE else "lookup"
                attempt = "%s-%d" % (kind, number)
                record("sent", attempt)
                asyncio.ensure_future(call(chance.choice(hosts), attempt, record, answers))
            await asyncio.sleep(4)
            record("answers:", answers)
            allowed = 2 + len(runners) / 10
            is_broken = len(brittleness.falls) > allowed
            record("falls: %d, allowed: %.1f" % (len(brittleness.falls), allowed))
            ended = [host.name for host in hosts if host.process.poll() is not None]
            if ended:
                record("ended by themselves:", *ended)
                return 2
            record("result:", "broken" if is_broken else "held")
            return 1 if is_broken else 0
        finally:
            for host in hosts:
                host.stop()


run_case(main)
