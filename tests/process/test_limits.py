"""Rates of workspaces across hosts."""

import threading
import time
import unittest

from support import FleetTest, wait_until

RATE = 2000
BURST = 10000
# What one request spends as counted by the engine: 1 token of the prompt and 40 generated.
GENERATED = 40
TOKENS = 41


class LimitTest(FleetTest):
    def send(self, fleet, key, host, share, seconds):
        """Sends requests that use a share of the rate to one host. Returns the statuses."""
        workers = 10
        interval = workers * TOKENS / (RATE * share)
        statuses = []

        def run(number):
            start = time.monotonic() + number * interval / workers
            for i in range(int(seconds / interval)):
                time.sleep(max(0, start + i * interval - time.monotonic()))
                try:
                    statuses.append(
                        host.complete(key, "warm@v1", "a", max_tokens=GENERATED).status)
                except OSError:
                    statuses.append(0)

        threads = [threading.Thread(target=run, args=(i,)) for i in range(workers)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return statuses

    def owner_of(self, fleet, workspace):
        for host in fleet.hosts:
            if workspace in host.operate("GET", "/v1/status").json()["owned_buckets"]:
                return host
        return None

    def test_workspace_within_its_rate_is_not_refused(self):
        """Guards against refusals because the share of a workspace sits at another host, and against
        a long gap after the kill of the bucket's owner."""
        fleet = self.make_fleet(hosts=8, engines=3, workspaces={"w2": (RATE, BURST)})
        self.await_service(fleet)
        wait_until(lambda: self.owner_of(fleet, "w2") is not None, 10, "an owner of the bucket")
        time.sleep(BURST / RATE)
        key = fleet.keys["w2"]
        owner = self.owner_of(fleet, "w2")
        first, second = [host for host in fleet.hosts if host is not owner][:2]
        steady = self.send(fleet, key, first, 0.9, 8) + self.send(fleet, key, second, 0.9, 8)
        refused = sum(1 for status in steady if status != 200)
        self.assertLessEqual(refused, 0.001 * len(steady), (refused, len(steady)))
        killer = threading.Timer(1.0, owner.process.kill)
        killer.start()
        after = self.send(fleet, key, second, 0.9, 11)
        refused = sum(1 for status in after if status != 200)
        self.assertLessEqual(refused, 0.02 * len(after), (refused, len(after)))

    def test_never_more_than_rate_and_burst(self):
        """Guards against hosts that together admit more than the workspace's rate and burst."""
        fleet = self.make_fleet(hosts=4, engines=3, workspaces={"w2": (RATE, BURST)})
        self.await_service(fleet)
        wait_until(lambda: self.owner_of(fleet, "w2") is not None, 10, "an owner of the bucket")
        start = time.monotonic()
        admitted = []
        threads = [threading.Thread(target=lambda h=host: admitted.extend(
            self.send(fleet, fleet.keys["w2"], h, 0.7, 8))) for host in fleet.hosts]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        elapsed = time.monotonic() - start
        spent = TOKENS * sum(1 for status in admitted if status == 200)
        self.assertLessEqual(spent, RATE * elapsed + BURST)
        self.assertGreater(spent, 0.8 * RATE * elapsed, "the rate itself must be usable")


if __name__ == "__main__":
    unittest.main()
