"""One spoilt report of a model runner ends the process of the machine that asked for it."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from platform_stand_in import (APP_SERVICE, Client, MODEL_SERVICE, Machine, Runner, Store,
                               answer_after, check_dose, configuration, keep_open, lost_bookings,
                               message, route, run_case, serve_before, sound_head)

BOOKINGS = 8
BOOKING_S = 2.5
STREAMS_BEFORE = 160
LOST_ALLOWED = 3
PROMPT = {"X-Model": "daka510000", "X-Token-Usage": "628,80",
          "X-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410"}


async def book(runner, request, writer):
    return await answer_after(BOOKING_S if request["id"].startswith("book") else 0.03,
                              request, writer)


async def stream(runner, request, writer):
    head = message("HTTP/1.1 200 OK", sound_head(
        request, {"Content-Type": "text/event-stream", "X-Weight-Versions": "1",
                  "Connection": "close"}))
    writer.write(head.replace(b"Content-Length: 0\r\n", b""))
    for number in range(1, 9):
        writer.write(b"id: %d\ndata: word\n\n" % number)
        await writer.drain()
        await asyncio.sleep(0.02)
    return False


async def case(record, folder, trouble):
    store = Store()
    await store.start()
    app = Runner(store, record, "i-desk", "wuno96b", book)
    models = [Runner(store, record, "i-guide%d" % number, "huvo11a", stream, True)
              for number in range(2)]
    for runner in [app] + models:
        runner.adapters = ["a1@1"]
        await runner.start()
    await store.put("keyed.op", "config", configuration(
        [route("r-book", "/puxa403/", "unsafe", "wuno96b", 5000, 150, 1),
         route("r-guide", "/pufi791/", "streaming", "huvo11a", 20000, 1000, 2, True)],
        [APP_SERVICE, MODEL_SERVICE]))
    machine = Machine(record, folder, "edge-thies-nord-1", store.port)
    await machine.start()
    clients = [Client(machine, record) for _ in range(BOOKINGS)]
    caller = Client(machine, record)
    try:
        await machine.wait_ready()
        await asyncio.sleep(4)  # in touch: stable_window_ms is 3,000
        await caller.open()
        await serve_before(machine, "pre", STREAMS_BEFORE, "/pufi791/2f", b"x" * 1700, PROMPT)
        for number, client in enumerate(clients):
            await keep_open(client, "keep%02d" % number)
        await asyncio.gather(*(client.send("book%02d" % number, "/puxa403/2f", 5000, b"x" * 600)
                               for number, client in enumerate(clients)))
        answers = [asyncio.create_task(client.receive("book%02d" % number, 6))
                   for number, client in enumerate(clients)]
        await asyncio.sleep(0.2)
        faults = ["report"] if trouble else []
        for runner in models:
            runner.report_faults = faults
        # The first request with an adapter makes the machine ask its runner for a report.
        for number in range(8):
            await caller.send("guide%02d" % number, "/pufi791/2f", 20000, b"x" * 1700,
                              dict(PROMPT, **{"X-Model": "daka510000/a1"}))
            if await caller.receive("guide%02d" % number, 6) != "200":
                break
        results = await asyncio.gather(*answers)
        await asyncio.sleep(0.2)
        machine.note_last_words()
        if trouble:
            check_dose(next(runner for runner in models if runner.has_spoilt))
        lost = lost_bookings(results, app.runs)
        record("%d of %d bookings ran at a sound runner and got no answer; at most %d may" % (
            len(lost), BOOKINGS, LOST_ALLOWED))
        return len(lost) <= LOST_ALLOWED
    finally:
        for client in clients + [caller]:
            client.close()
        await machine.stop()


run_case(FOLDER, case)
