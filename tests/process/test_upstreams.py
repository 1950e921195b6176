"""Engines that leave, restart cold, or change their owner."""

import random
import time
import unittest

from support import FleetTest, Load, request, wait_until

NO_NEW_WORK_AFTER = 3.0


class UpstreamTest(FleetTest):
    def test_leaving_engine_gets_no_new_work(self):
        """Guards against new work at an upstream that is about to go."""
        fleet = self.make_fleet(hosts=3, engines=3)
        self.await_service(fleet)
        # More adapters than slots: with few of them the hosts keep to the engines that hold them, and
        # an engine that became ready last may get no work at all.
        load = Load(fleet, fleet.hosts, callers=4, adapters=40)
        wait_until(lambda: any(r[4] == "e2" for r in list(load.results)), 15, "work at e2")
        rules = [line.replace("fencing=checked", "fencing=checked leaving")
                 if line.startswith("upstream e2 ") else line for line in fleet.rules]
        fleet.apply(rules)
        accepted = time.monotonic()
        time.sleep(NO_NEW_WORK_AFTER + 2)
        results = load.stop()
        self.assertEqual([], [r[2:] for r in results if r[2] != 200][:3])
        self.assertTrue([r for r in results if r[4] == "e2"])
        late = [r for r in results if r[0] > accepted + NO_NEW_WORK_AFTER and r[4] == "e2"]
        self.assertEqual([], late)

    def test_cold_engine_is_not_overloaded(self):
        """Guards against a rush on an engine that has just restarted, summed over all hosts."""
        cold = {"token_ms": 5, "cold_ms": 3000, "cold_max_running": 4, "max_running": 16}
        fleet = self.make_fleet(hosts=4, engines=2, engine=cold)
        self.await_service(fleet)
        load = Load(fleet, fleet.hosts, callers=24, pause=0, max_tokens=20)
        for _ in range(4):
            time.sleep(4)
            for name in ["e1", "e2"]:
                self.restart(fleet, name)
        time.sleep(4)
        results = load.stop()
        for name in ["e1", "e2"]:
            self.assertEqual(0, fleet.stats(name)["overload_crashes"], name)
        served = sum(1 for r in results if r[2] == 200)
        self.assertGreater(served, 0.5 * len(results))

    def restart(self, fleet, name):
        answer = request(fleet.ports[name], "POST", "/control/restart", {"down_ms": 200})
        self.assertEqual(200, answer.status, answer.body)

    def test_no_adapter_in_use_is_evicted_while_owners_die(self):
        """Guards against a new owner that evicts what requests of the former owner still use."""
        seed = 7
        rng = random.Random(seed)
        fleet = self.make_fleet(hosts=4, engines=2, engine={"token_ms": 20, "slots": 3})
        self.await_service(fleet)
        load = Load(fleet, fleet.hosts, callers=10, adapters=12, pause=0, max_tokens=30)
        for _ in range(4):
            time.sleep(3)
            victim = rng.choice(fleet.hosts)
            victim.process.kill()
            victim.process.wait()
            fleet.start_host(victim)
        time.sleep(4)
        load.stop()
        for name in ["e1", "e2"]:
            self.assertEqual(0, fleet.stats(name)["evictions_in_use"], "seed %d" % seed)


if __name__ == "__main__":
    unittest.main()
