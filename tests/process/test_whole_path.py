"""The whole path as processes: answers, keys, faults of engines."""

import json
import unittest

from support import FleetTest, error_of, request


class WholePathTest(FleetTest):
    def test_answers_name_what_ran_and_keys_stay_inside(self):
        """Guards against an answer of another adapter, and against a key that leaves the host."""
        fleet = self.make_fleet(hosts=3, engines=3, services=["lookups1"])
        fleet.rules.append("route /lookups service=lookups class=normal  # test")
        fleet.apply(fleet.rules)
        self.await_service(fleet)
        key = fleet.keys["w1"]
        for i in range(24):
            model = "a%d@v%d" % (i % 6, 1 + i % 2)
            answer = fleet.hosts[i % 3].complete(key, model, stream=i % 2 == 1)
            self.assertEqual(200, answer.status, answer.body)
            self.assertEqual(model, answer.headers["x-served-adapter"])
            if i % 2 == 1:
                events = [line[6:] for line in answer.body.decode().splitlines() if line]
                self.assertEqual("[DONE]", events[-1])
                self.assertEqual({model}, {json.loads(event)["model"] for event in events[:-1]})
            else:
                self.assertEqual(model, answer.json()["model"])
        answer = request(fleet.hosts[0].callers, "GET", "/lookups/wind?key=1", None,
                         {"Authorization": "Bearer " + key})
        self.assertEqual(200, answer.status, answer.body)
        seen = [json.dumps(fleet.stats(name)) for name in ["e1", "e2", "e3", "lookups1"]]
        seen += [fleet.log_text(host.name) for host in fleet.hosts]
        seen += [host.operate("GET", "/metrics").body.decode() for host in fleet.hosts]
        seen += [json.dumps(fleet.stats("log"))]
        self.assertTrue(any('"/lookups/wind?key=1"' in text for text in seen))
        for text in seen:
            self.assertNotIn(key, text)
            self.assertNotIn("authorization", text.lower())

    def test_refusals_are_true(self):
        """Guards against a request that runs although it was refused as not run."""
        fleet = self.make_fleet(hosts=2, engines=1, workspaces={"w2": (1000, 2000)})
        self.await_service(fleet)
        cases = [
            ("no key", None, "a@v1", 8, 401, "key_missing"),
            ("unknown key", "lw_" + "0" * 64, "a@v1", 8, 401, "key_invalid"),
            ("no version", fleet.keys["w1"], "a", 8, 400, None),
            ("over the burst", fleet.keys["w2"], "a@v1", 4000, 400, "larger_than_burst"),
        ]
        for name, key, model, tokens, status, code in cases:
            with self.subTest(name):
                answer = fleet.hosts[0].complete(
                    key, model, max_tokens=tokens, headers={"X-Request-Id": "refused"})
                self.assertEqual(status, answer.status, answer.body)
                self.assertEqual("not_run", error_of(answer)["run"])
                if code:
                    self.assertEqual(code, error_of(answer)["code"])
        runs = fleet.stats("e1")["runs_by_request_id"]
        self.assertFalse([run for run in runs if run.startswith("refused")])

    def test_faulty_answers_never_reach_the_caller_as_good(self):
        """Guards against a wrong or silently short answer being passed on."""
        fleet = self.make_fleet(hosts=1, engines=1)
        self.await_service(fleet)
        cases = [
            ("wrong_request_id", {}, False),
            ("wrong_version", {"text": "v9"}, False),
            ("truncate", {"bytes": 40}, False),
            ("invalid_http", {}, False),
            ("reset", {}, False),
            ("lose_answer", {}, False),
            ("no_done", {}, True),
            ("end_after_tokens", {"tokens": 2}, True),
            ("wrong_version", {"text": "v9"}, True),
        ]
        for kind, options, stream in cases:
            with self.subTest(kind=kind, stream=stream):
                fleet.faults("e1", [{"kind": kind, "count": 1, "match": {"path": "/v1/"}, **options}])
                answer = fleet.hosts[0].complete(fleet.keys["w1"], "warm@v1", stream=stream)
                if answer.status == 200 and not stream:
                    self.assertEqual("warm@v1", answer.json()["model"])
                    self.assertEqual(" t7", answer.json()["choices"][0]["text"][-3:])
                elif answer.status == 200:
                    text = answer.body.decode()
                    whole = text.rstrip().endswith("data: [DONE]") and " t7" in text
                    self.assertTrue(whole or '"error"' in text, text)
                    self.assertEqual(whole, answer.is_whole, text)
                    self.assertFalse(whole and '"error"' in text, text)
                else:
                    self.assertIn(error_of(answer)["run"], ["not_run", "unknown", "ran"])
        fleet.faults("e1", [])


if __name__ == "__main__":
    unittest.main()
