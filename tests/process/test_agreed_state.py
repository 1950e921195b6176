"""Rules, keys and ownership agreed over the log, with hosts paused, killed and cut off."""

import concurrent.futures
import os
import signal
import time
import unittest

from support import FleetTest, Load, error_of, wait_until

# A withdrawn key and a data centre taken out must be in force everywhere within this time.
IN_FORCE_WITHIN = 3.0


class AgreedStateTest(FleetTest):
    def withdraw(self, fleet, key_line):
        """Applies the rules without a line and returns how long it took to be accepted."""
        rules = [line for line in fleet.rules if line != key_line]
        start = time.monotonic()
        fleet.apply(rules)
        return time.monotonic() - start

    def test_withdrawn_key_with_a_paused_host(self):
        """Guards against a host that wakes up and admits under the rules from before its pause."""
        fleet = self.make_fleet(hosts=8, engines=3, workspaces={"w2": (100000, 500000)})
        self.await_service(fleet)
        key = fleet.keys["w2"]
        line = next(r for r in fleet.rules if r.startswith("key w2"))
        for host in fleet.hosts:
            self.assertEqual(200, host.complete(key, "warm@v1").status)
        paused = fleet.hosts[-1]
        os.kill(paused.process.pid, signal.SIGSTOP)
        took = self.withdraw(fleet, line)
        accepted = time.monotonic()
        for host in fleet.hosts[:-1]:
            answer = host.complete(key, "warm@v1")
            self.assertEqual(401, answer.status, host.name)
        self.assertLessEqual(took, IN_FORCE_WITHIN + 1.0)
        os.kill(paused.process.pid, signal.SIGCONT)
        while time.monotonic() < accepted + 6:
            answer = paused.complete(key, "warm@v1")
            self.assertIn(answer.status, [401, 503], answer.body)
            self.assertEqual("not_run", error_of(answer)["run"])
        wait_until(paused.is_ready, 15, "the paused host joins again")

    def test_one_of_two_racing_operators_wins(self):
        """Guards against two accepted changes of which one undoes the other unseen."""
        fleet = self.make_fleet(hosts=3, engines=0)
        for turn in range(3):
            show = fleet.command(fleet.hosts[0], "rules", "show", check=0).stdout
            base = show.splitlines()[0].split()[-1]
            codes = []
            with concurrent.futures.ThreadPoolExecutor() as pool:
                futures = []
                for i, host in enumerate(fleet.hosts[:2]):
                    path = fleet.directory / ("race%d.txt" % i)
                    extra = "workspace race-%d-%d rate=10 burst=10  # op%d" % (turn, i, i)
                    path.write_text("\n".join(fleet.rules + [extra]) + "\n")
                    futures.append(pool.submit(
                        fleet.command, host, "rules", "apply", str(path), "--base", base))
                codes = sorted(future.result().returncode for future in futures)
            self.assertEqual([0, 3], codes)
            texts = {host.operate("GET", "/v1/rules").json()["text"] for host in fleet.hosts}
            self.assertEqual(1, len(texts))
            text = texts.pop()
            self.assertEqual(1, text.count("workspace race-%d-" % turn))

    def test_service_goes_on_through_a_log_outage(self):
        """Guards against a log outage that stops service, and against a change said to be accepted
        while it is not in the log."""
        fleet = self.make_fleet(hosts=3, engines=2)
        self.await_service(fleet)
        fleet.faults("log", [{"kind": "refuse", "match": {"path": "/streams"}}])
        end = time.monotonic() + 8
        while time.monotonic() < end:
            for host in fleet.hosts:
                answer = host.complete(fleet.keys["w1"], "warm@v1")
                self.assertEqual(200, answer.status, answer.body)
            time.sleep(0.1)
        path = fleet.directory / "outage.txt"
        path.write_text("\n".join(fleet.rules + ["workspace late rate=1 burst=1  # test"]) + "\n")
        result = fleet.command(fleet.hosts[0], "rules", "apply", str(path), "--timeout", "2")
        self.assertEqual(4, result.returncode, result.stdout + result.stderr)
        self.assertIn("unknown", result.stdout)
        change = result.stdout.split()[1]
        fleet.faults("log", [])
        wait_until(lambda: fleet.command(
            fleet.hosts[0], "status", "--change", change).returncode == 0, 15, "accepted later")

    def test_append_whose_answer_is_lost_takes_effect_once(self):
        """Guards against a change that is reported as failed, or made twice, after a lost answer."""
        fleet = self.make_fleet(hosts=2, engines=0)
        fleet.faults("log", [{"kind": "lose_answer", "count": 1, "match": {"method": "POST"}}])
        rules = fleet.rules + ["workspace extra rate=1 burst=1  # test"]
        result = fleet.apply(rules)
        self.assertIn("accepted", result.stdout)

    def test_killed_host_is_replaced_in_its_duties(self):
        """Guards against engines and buckets that stay without an owner after a kill."""
        fleet = self.make_fleet(hosts=4, engines=3)
        self.await_service(fleet)
        victim = fleet.hosts.pop(0)
        victim.process.kill()
        wait_until(lambda: all(
            host.complete(fleet.keys["w1"], "a%d@v1" % i).status == 200
            for host in fleet.hosts for i in range(4)), 15, "service after a kill")
        members = fleet.hosts[0].operate("GET", "/v1/status").json()["members"]
        self.assertEqual(3, len(members))

    def test_all_hosts_are_replaced_at_once(self):
        """Guards against rules that are lost when no host is left that holds them in memory."""
        fleet = self.make_fleet(hosts=3, engines=1)
        self.await_service(fleet)
        before = fleet.hosts[0].operate("GET", "/v1/rules").json()
        for host in fleet.hosts:
            host.process.kill()
        for host in fleet.hosts:
            host.process.wait()
            fleet.start_host(host)
        fleet.await_ready(30)
        after = fleet.hosts[0].operate("GET", "/v1/rules").json()
        self.assertEqual(before, after)
        self.await_service(fleet)


class DataCentreTest(FleetTest):
    def test_data_centre_out_and_in(self):
        """Guards against new work in a data centre that was taken out, and failed requests elsewhere."""
        fleet = self.make_fleet(hosts=4, engines=4, engine={"token_ms": 1})
        self.await_service(fleet)
        load = Load(fleet, fleet.hosts, callers=4)
        time.sleep(2)
        out = [line.replace("dc-b in", "dc-b out") for line in fleet.rules]
        fleet.apply(out)
        accepted = time.monotonic()
        time.sleep(4)
        fleet.apply(fleet.rules)
        back = time.monotonic()
        time.sleep(3)
        results = load.stop()
        failed = [r for r in results if r[2] != 200]
        self.assertEqual([], failed[:3])
        inside = {"e1", "e3"}  # Odd engines stand in dc-b.
        late = [r for r in results
                if accepted + IN_FORCE_WITHIN < r[0] < back - 1 and r[4] in inside]
        self.assertEqual([], late)
        self.assertTrue([r for r in results if r[0] < accepted - 1 and r[4] in inside])
        self.assertTrue([r for r in results if r[0] > back and r[4] in inside])
        self.check_no_eviction_in_use(fleet)

    def check_no_eviction_in_use(self, fleet):
        for name in ["e1", "e2", "e3", "e4"]:
            stats = fleet.stats(name)
            self.assertEqual(0, stats["evictions_in_use"], name)


class DrainTest(FleetTest):
    def test_sigterm_cuts_no_request(self):
        """Guards against a planned stop that cuts requests, and a host that does not end."""
        fleet = self.make_fleet(hosts=3, engines=3, engine={"token_ms": 40})
        self.await_service(fleet)
        load = Load(fleet, fleet.hosts[1:], callers=4, max_tokens=20)
        slow = Load(fleet, fleet.hosts[:1], callers=4, max_tokens=20)
        time.sleep(1.5)
        fleet.hosts[0].process.terminate()
        wait_until(lambda: not fleet.hosts[0].is_ready(), 3, "not ready")
        # The balancer sends nothing more to a host that is not ready.
        slow.running = False
        slow.stop()
        self.assertEqual(0, fleet.hosts[0].process.wait(timeout=20))
        time.sleep(4)
        results = load.stop() + slow.results
        self.assertEqual([], [r[2:] for r in results if r[2] != 200][:3])


if __name__ == "__main__":
    unittest.main()
