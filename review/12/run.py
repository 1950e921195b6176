"""Callers send a booking whose body, in a transfer coding other than chunked, holds another booking."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
from deployment import (KEY, Host, Record, await_ready, configuration, route,  # noqa: E402
                        run_case, service, temporary_folder)
from platform_standin import Runner, Store, read_message  # noqa: E402

CODINGS = ["gzip", "deflate", "chunked, gzip"]
CALLERS = 4  # for each coding
ANSWER_S = 2.0


def booking(attempt, path, framing, body):
    head = "POST /puxa403/%s HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: %s\r\n" % (path, attempt)
    head += "X-Deadline-Ms: 1000\r\nAuthorization: Token %s\r\n%s\r\n\r\n" % (KEY, framing)
    return head.encode() + body


async def caller(attempt, coding, port, record):
    """Sends one booking. Returns its body."""
    inner = b"lesson=99&rider=7"
    body = booking("inside-" + attempt, "inside", "Content-Length: %d" % len(inner), inner)
    framing = "Transfer-Encoding: " + coding if coding else "Content-Length: %d" % len(body)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    record("sent", attempt, framing)
    writer.write(booking(attempt, "outside", framing, body))
    while True:
        try:
            answer = await asyncio.wait_for(read_message(reader, False), ANSWER_S)
        except asyncio.TimeoutError:
            break
        if answer is None:
            break
        record("answer", answer.start, "id=" + answer.get("x-attempt-id"))
    writer.close()
    return body


async def main():
    record = Record(__file__)
    codings = [""] * len(CODINGS) if os.environ.get("TROUBLE", "1") == "0" else CODINGS
    with temporary_folder() as folder:
        store = Store(parts=12)
        await store.start()
        await store.put("keyed.op", "config", configuration(
            7, [route("booking", "/puxa403/", "unsafe", "kiteapp", 1000, 1)], [service("kiteapp")]))
        runners = [Runner(store, "kiteapp", zone, "i-%d" % i, 0.03, record)
                   for i, zone in enumerate(["nsa", "nsb", "nsc"])]
        for runner in runners:
            await runner.start()
        host = Host("edge-nsa-1", "nsa", store.port, folder)
        host.start()
        try:
            if not await await_ready([host], record):
                return 2
            sent = {}
            for i, coding in enumerate(codings):
                for number in range(CALLERS):
                    attempt = "booking-%d-%d" % (i, number)
                    sent[attempt] = await caller(attempt, coding, host.frontend, record)
            problems = []
            for run in [run for runner in runners for run in runner.runs]:
                attempt = run.get("x-attempt-id")
                if attempt not in sent:
                    problems.append("UNASKED: %s ran, which was inside another request" % attempt)
                elif run.body != sent[attempt]:
                    problems.append("UNASKED: %s ran with a body of %d instead of %d bytes"
                                    % (attempt, len(run.body), len(sent[attempt])))
            if host.process.poll() is not None:
                problems.append("the host ended with status %d" % host.process.returncode)
            for problem in problems:
                record("BROKEN", problem)
            record("result:", "broken" if problems else "held")
            return 1 if problems else 0
        finally:
            host.stop()


run_case(main)
