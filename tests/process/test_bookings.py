"""Requests that may not be repeated, under faults of services, hosts and the log."""

import random
import threading
import time
import unittest

from support import FleetTest, error_of, request


class BookingTest(FleetTest):
    def make_booking_fleet(self, hosts=3):
        fleet = self.make_fleet(hosts=hosts, engines=0, services=["bookings1", "bookings2"])
        fleet.rules.append("route /bookings service=bookings never-repeat class=normal  # test")
        fleet.apply(fleet.rules)
        time.sleep(3)
        return fleet

    def book(self, fleet, host, number, body="{}"):
        return request(host.callers, "POST", "/bookings/%s" % number, body,
                       {"Authorization": "Bearer " + fleet.keys["w1"],
                        "Idempotency-Key": "k%s" % number})

    def runs(self, fleet):
        total = {}
        for name in ["bookings1", "bookings2"]:
            for key, count in fleet.stats(name)["runs_by_idempotency_key"].items():
                total[key] = total.get(key, 0) + count
        return total

    def test_second_tries(self):
        """Guards against a booking that runs twice because its caller sent it again."""
        fleet = self.make_booking_fleet()
        first = self.book(fleet, fleet.hosts[0], 1)
        self.assertEqual(200, first.status, first.body)
        second = self.book(fleet, fleet.hosts[1], 1)
        self.assertEqual(200, second.status, second.body)
        self.assertEqual("true", second.headers["idempotent-replayed"])
        self.assertEqual(first.body, second.body)
        other = self.book(fleet, fleet.hosts[2], 1, '{"other":1}')
        self.assertEqual(422, other.status)
        self.assertEqual("not_run", error_of(other)["run"])
        missing = request(fleet.hosts[0].callers, "POST", "/bookings/2", "{}",
                          {"Authorization": "Bearer " + fleet.keys["w1"]})
        self.assertEqual(400, missing.status)
        self.assertEqual({"k1": 1}, self.runs(fleet))

    def test_lost_answer_is_unknown_and_not_repeated(self):
        """Guards against a retry of a booking whose answer was lost after it took effect."""
        fleet = self.make_booking_fleet()
        for name in ["bookings1", "bookings2"]:
            fleet.faults(name, [{"kind": "lose_answer", "match": {"path": "/bookings"}}])
        first = self.book(fleet, fleet.hosts[0], 1)
        self.assertEqual("unknown", error_of(first)["run"])
        second = self.book(fleet, fleet.hosts[1], 1)
        self.assertEqual(409, second.status)
        self.assertEqual("unknown", error_of(second)["run"])
        self.assertEqual({"k1": 1}, self.runs(fleet))

    def test_log_outage_refuses_truthfully(self):
        """Guards against a booking that runs without a record, or a false `not run`."""
        fleet = self.make_booking_fleet()
        fleet.faults("log", [{"kind": "refuse", "match": {"method": "POST"}}])
        answer = self.book(fleet, fleet.hosts[0], 1)
        self.assertEqual(503, answer.status)
        self.assertEqual("not_run", error_of(answer)["run"])
        fleet.faults("log", [])
        self.assertEqual({}, self.runs(fleet))

    def test_random_kills(self):
        """Guards against doubled bookings, and bookings lost without a truthful answer, while hosts,
        services and the log fail at random."""
        seed = 20261204
        rng = random.Random(seed)
        fleet = self.make_booking_fleet(hosts=4)
        end = time.monotonic() + 20
        outcomes = {}
        lock = threading.Lock()

        def caller(number):
            local = random.Random(seed + number)
            count = 0
            while time.monotonic() < end:
                key = "%d-%d" % (number, count)
                count += 1
                for _ in range(local.choice([1, 1, 2, 3])):
                    host = local.choice(fleet.hosts)
                    try:
                        answer = self.book(fleet, host, key)
                        said = "ok" if answer.status == 200 else error_of(answer)["run"]
                    except (OSError, ValueError):
                        said = "no answer"
                    with lock:
                        outcomes.setdefault("k" + key, []).append(said)
                time.sleep(0.02)

        threads = [threading.Thread(target=caller, args=(i,)) for i in range(6)]
        for thread in threads:
            thread.start()
        while time.monotonic() < end - 3:
            time.sleep(1.0)
            kind = rng.choice(["kill", "service", "log"])
            if kind == "kill":
                host = rng.choice(fleet.hosts)
                host.process.kill()
                host.process.wait()
                fleet.start_host(host)
            elif kind == "service":
                fleet.faults(rng.choice(["bookings1", "bookings2"]),
                             [{"kind": rng.choice(["lose_answer", "reset", "refuse"]), "count": 3}])
            else:
                fleet.faults("log", [{"kind": rng.choice(["lose_answer", "refuse"]), "count": 5,
                                      "match": {"method": "POST"}}])
        for thread in threads:
            thread.join()
        for name in ["bookings1", "bookings2", "log"]:
            fleet.faults(name, [])
        runs = self.runs(fleet)
        doubled = {key: count for key, count in runs.items() if count > 1}
        self.assertEqual({}, doubled, "seed %d" % seed)
        for key, said in outcomes.items():
            ran = runs.get(key, 0)
            if "ok" in said:
                self.assertEqual(1, ran, (key, said, seed))
            if set(said) == {"not_run"}:
                self.assertEqual(0, ran, (key, said, seed))
        done = sum(1 for said in outcomes.values() if "ok" in said)
        self.assertGreater(done, 50, "too few bookings for the test to mean anything")


if __name__ == "__main__":
    unittest.main()
