"""Rules, load and checks that the process tests share."""

import pathlib
import sys
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))

from fleet import Fleet, request, wait_until  # noqa: E402

WHO = "  # test"


class FleetTest(unittest.TestCase):
    """A test with hosts and stand-ins of its own."""

    maxDiff = None

    def make_fleet(self, hosts=3, engines=3, services=(), engine=None, workspaces=None, **platform):
        """Starts everything and applies rules; hosts and engines are spread over dc-a and dc-b."""
        fleet = Fleet()
        self.addCleanup(fleet.close)
        fleet.start_platform(**platform)
        settings = {"weight_store": "127.0.0.1:%d" % fleet.ports["weights"], "slots": 4,
                    "evict_in_use": "allow", **(engine or {})}
        items = [{"kind": "engine", "name": "e%d" % i, "settings": settings}
                 for i in range(1, engines + 1)]
        items += [{"kind": "service", "name": name, "settings": {}} for name in services]
        if items:
            fleet.start_standins(items, "upstreams")
        for i in range(1, hosts + 1):
            fleet.add_host("h%d" % i, ["dc-a", "dc-b"][i % 2])
        fleet.await_ready()
        fleet.rules = self.make_rules(fleet, engines, services, workspaces or {})
        fleet.apply(fleet.rules)
        return fleet

    @staticmethod
    def make_rules(fleet, engines, services, workspaces):
        limits = {"w1": (1000000, 5000000), **workspaces}
        rules = ["class normal max-wait=5s" + WHO, "order default normal" + WHO,
                 "datacentre dc-a in" + WHO, "datacentre dc-b in" + WHO]
        for name, (rate, burst) in limits.items():
            rules.append("workspace %s rate=%d burst=%d%s" % (name, rate, burst, WHO))
            fleet.keys[name], line = fleet.new_key(name)
            rules.append(line)
        for i in range(1, engines + 1):
            rules.append(
                "upstream e%d engine 127.0.0.1:%d datacentre=%s model=base slots=4 max-running=16 "
                "fencing=checked%s" % (i, fleet.ports["e%d" % i], ["dc-a", "dc-b"][i % 2], WHO))
        for name in services:
            rules.append("upstream %s service 127.0.0.1:%d datacentre=dc-a service=%s%s"
                         % (name, fleet.ports[name], name.rstrip("0123456789"), WHO))
        return rules

    def await_service(self, fleet, limit=20):
        """Waits until every host completes a request; new buckets and engines need some seconds."""
        for host in fleet.hosts:
            wait_until(lambda h=host: h.complete(fleet.keys["w1"], "warm@v1").status == 200,
                       limit, host.name + " serves")


class Load:
    """Callers that send completions to hosts in turn until stopped; a host that is gone is skipped."""

    def __init__(self, fleet, hosts, callers=4, adapters=4, pause=0.01, **options):
        self.fleet = fleet
        self.hosts = hosts
        self.adapters = adapters
        self.pause = pause
        self.options = options
        self.results = []
        self.running = True
        # Daemons, so that a test that fails before stop() still ends.
        self.threads = [threading.Thread(target=self.run, args=(i,), daemon=True)
                        for i in range(callers)]
        for thread in self.threads:
            thread.start()

    def run(self, number):
        count = number
        while self.running:
            host = self.hosts[count % len(self.hosts)]
            model = "a%d@v1" % (count % self.adapters)
            count += 1
            start = time.monotonic()
            try:
                answer = host.complete(self.fleet.keys["w1"], model, **self.options)
                status = answer.status
                upstream = answer.headers.get("x-served-upstream")
                body = answer.body
            except OSError as error:
                status, upstream, body = 0, None, str(error).encode()
            self.results.append((start, time.monotonic() - start, status, host.name, upstream, body))
            time.sleep(self.pause)

    def stop(self):
        self.running = False
        for thread in self.threads:
            thread.join()
        return self.results


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] if ordered else 0.0


def error_of(answer):
    return answer.json()["error"]
