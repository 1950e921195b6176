"""Starts three hosts, four engines, two plain services and the platform's stand-ins on loopback,
sends requests for several workspaces and adapters, prints the answers and what was decided, and stops.
"""

import json
import sys
import time

from fleet import Fleet, request

ENGINE = {"slots": 3, "max_running": 16, "load_ms": 250, "token_ms": 2, "cold_ms": 500}


def main():
    with Fleet(keep="--keep" in sys.argv) as fleet:
        fleet.start_platform()
        engines = ["engine-%d" % i for i in range(1, 5)]
        fleet.start_standins(
            [
                {
                    "kind": "engine",
                    "name": name,
                    "settings": {
                        **ENGINE,
                        "weight_store": "127.0.0.1:%d" % fleet.ports["weights"],
                    },
                }
                for name in engines
            ]
            + [
                {"kind": "service", "name": "bookings-1", "settings": {}},
                {"kind": "service", "name": "conditions-1", "settings": {}},
            ],
            "upstreams",
        )
        for i, data_centre in enumerate(["dc-a", "dc-a", "dc-b"], 1):
            fleet.add_host("host-%d" % i, data_centre)
        fleet.await_ready()
        keys = {}
        rules = [
            "workspace gustline rate=20000 burst=60000   # Ana, contract",
            "workspace cordes rate=10000 burst=30000     # Mor, contract",
            "class briefing max-wait=2s                  # Ana",
            "class digest max-wait=60s                   # Ana",
            "order default briefing digest               # Ana",
            "datacentre dc-a in                          # Mor",
            "datacentre dc-b in                          # Mor",
            "route /bookings service=bookings never-repeat   # Mor",
            "route /conditions service=conditions open       # Ana",
        ]
        for workspace in ["gustline", "cordes"]:
            keys[workspace], line = fleet.new_key(workspace)
            rules.append(line)
        for i, name in enumerate(engines):
            rules.append(
                "upstream %s engine 127.0.0.1:%d datacentre=%s model=base slots=3 max-running=16 "
                "fencing=checked  # Mor" % (name, fleet.ports[name], ["dc-a", "dc-b"][i % 2])
            )
        for name in ["bookings", "conditions"]:
            rules.append(
                "upstream %s-1 service 127.0.0.1:%d datacentre=dc-a service=%s  # Mor"
                % (name, fleet.ports[name + "-1"], name)
            )
        print("== rules apply")
        print(fleet.apply(rules).stdout)
        # A new bucket starts after the authority of a possible former owner has ended.
        time.sleep(3)
        print("== completions")
        failures = 0
        last_id = None
        for i in range(12):
            host = fleet.hosts[i % 3]
            workspace = ["gustline", "cordes"][i % 2]
            model = "adapter-%d@v%d" % (i % 5, 1 + i % 2)
            stream = i % 3 == 2
            answer = host.complete(
                keys[workspace],
                model,
                stream=stream,
                headers={"X-Request-Id": "demo-%d" % i, "X-Request-Class": "briefing"},
            )
            text = answer.body.decode(errors="replace")
            shown = text.strip().splitlines()[0][:110] if text.strip() else ""
            served = answer.headers.get("x-served-adapter", "-")
            print(
                "%-7s %-9s %-13s stream=%-5s -> %d served=%s on %s  %s"
                % (host.name, workspace, model, stream, answer.status, served,
                   answer.headers.get("x-served-upstream", "-"), shown)
            )
            if answer.status != 200 or served != model:
                failures += 1
            last_id = "demo-%d" % i
            explained = fleet.command(host, "explain", last_id).stdout.splitlines()[1:]
            print("        decided: " + "; ".join(line.strip() for line in explained))
        print("== a booking, sent twice with one idempotency key through two hosts")
        for host in fleet.hosts[:2]:
            answer = request(
                host.callers,
                "POST",
                "/bookings/slot-7",
                {"who": "Awa"},
                {"Authorization": "Bearer " + keys["cordes"], "Idempotency-Key": "booking-1"},
            )
            print(answer.status, answer.headers.get("idempotent-replayed", "first"), answer.body[:80])
            failures += answer.status != 200
        runs = fleet.stats("bookings-1")
        print("runs at the service:", json.dumps(runs.get("runs_by_idempotency_key", runs))[:200])
        print("== a request without a key")
        answer = fleet.hosts[0].complete(None, "adapter-1@v1")
        print(answer.status, answer.body.decode())
        failures += answer.status != 401
        print("== explain", last_id, "asked from another host")
        print(fleet.command(fleet.hosts[0], "explain", last_id).stdout)
        print("== status of host-1")
        print(fleet.command(fleet.hosts[0], "status").stdout)
        for host in fleet.hosts:
            host.process.terminate()
        for host in fleet.hosts:
            failures += host.process.wait(timeout=30) != 0
        print("failures:", failures)
        if failures:
            for host in fleet.hosts:
                print(fleet.log_text(host.name))
        return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
