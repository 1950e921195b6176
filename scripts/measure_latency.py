"""Measures the latency that one host adds, beside direct calls to the same engine stand-in.

Usage: python3 scripts/measure_latency.py [--rate 200] [--seconds 10]
Both kinds of calls are made in the same run, alternately, over connections that are kept open.
"""

import argparse
import json
import socket
import threading
import time

from fleet import Fleet, wait_until

WORKERS = 8
WHO = "  # measurement"


class Connection:
    """An HTTP connection that is kept open; reads answers with Content-Length."""

    def __init__(self, port):
        self.socket = socket.create_connection(("127.0.0.1", port))
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def exchange(self, data):
        self.socket.sendall(data)
        buffer = b""
        while b"\r\n\r\n" not in buffer:
            buffer += self.receive()
        head, body = buffer.split(b"\r\n\r\n", 1)
        length = 0
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        while len(body) < length:
            body += self.receive()
        return int(head.split()[1])

    def receive(self):
        data = self.socket.recv(65536)
        if not data:
            raise OSError("connection closed")
        return data


def encode(body, headers):
    data = json.dumps(body).encode()
    lines = ["POST /v1/completions HTTP/1.1", "Host: test", "Content-Type: application/json",
             "Content-Length: %d" % len(data)] + headers
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + data


def worker(number, fleet, options, direct, through, failures):
    host = fleet.hosts[0]
    body = {"model": "a@v1", "prompt": "hello", "max_tokens": 1}
    connections = [Connection(fleet.ports["e1"]), Connection(host.callers)]
    interval = WORKERS / options.rate
    start = time.monotonic() + number * interval / WORKERS
    for i in range(int(options.seconds / interval)):
        delay = start + i * interval - time.monotonic()
        if delay > 0:
            time.sleep(delay)
        for kind, results in enumerate([direct, through]):
            headers = ["X-Request-Id: m%d-%d-%d" % (number, i, kind)]
            if kind == 1:
                headers.append("Authorization: Bearer " + fleet.keys["w1"])
            data = encode(body, headers)
            begin = time.perf_counter()
            status = connections[kind].exchange(data)
            results.append(time.perf_counter() - begin)
            if status != 200:
                failures.append(status)


def percentile(values, share):
    ordered = sorted(values)
    return 1000 * ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=200, help="calls of each kind a second")
    parser.add_argument("--seconds", type=float, default=10)
    options = parser.parse_args()
    with Fleet() as fleet:
        fleet.start_platform()
        fleet.start_standins([{"kind": "engine", "name": "e1", "settings": {"max_running": 64}}],
                             "engine")
        for i in range(3):
            fleet.add_host("h%d" % i)
        fleet.await_ready()
        fleet.keys["w1"], line = fleet.new_key("w1")
        fleet.apply([
            line, "workspace w1 rate=1000000 burst=5000000" + WHO, "class normal" + WHO,
            "order default normal" + WHO, "datacentre dc-a in" + WHO,
            "upstream e1 engine 127.0.0.1:%d datacentre=dc-a model=base slots=8 max-running=64 "
            "fencing=checked%s" % (fleet.ports["e1"], WHO)])
        wait_until(lambda: fleet.hosts[0].complete(fleet.keys["w1"], "a@v1").status == 200, 20, "ready")
        direct, through, failures = [], [], []
        threads = [threading.Thread(target=worker,
                                    args=(i, fleet, options, direct, through, failures))
                   for i in range(WORKERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        print("| calls | n | p50 ms | p99 ms |\n|---|---|---|---|")
        for name, values in [("direct", direct), ("through one host", through)]:
            print("| %s | %d | %.2f | %.2f |" % (name, len(values), percentile(values, 0.5),
                                                percentile(values, 0.99)))
        print("added: p50 %.2f ms, p99 %.2f ms; failures: %d" % (
            percentile(through, 0.5) - percentile(direct, 0.5),
            percentile(through, 0.99) - percentile(direct, 0.99), len(failures)))


if __name__ == "__main__":
    main()
