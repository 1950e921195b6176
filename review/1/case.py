"""One answer of a faulty runner ends the process of the machine that reads it."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))
from platform_stand_in import (APP_SERVICE, Client, Machine, Runner, Store, answer_after,
                               check_dose, chunked_and_spoilt, configuration, keep_open,
                               lost_bookings, route, run_case, serve_before, sound_head)

RUNNERS = 4  # of one service; one of them spoils one of its answers
BOOKINGS = 12
BOOKING_S = 1.0
LOOK_UPS_BEFORE = 480
LOST_ALLOWED = 3
LITTLE = {"X-Token-Usage": "10,10"}  # keeps the tenant inside its quota


async def answer_soundly(request, writer):
    return await answer_after(BOOKING_S if request["id"].startswith("book") else 0.02,
                              request, writer)


async def spoil(runner, request, writer):
    writer.write(chunked_and_spoilt(sound_head(request), b"done"))
    await writer.drain()
    runner.record("runner %s spoils its answer to %s" % (runner.name, request["id"]))
    return True


async def case(record, folder, trouble):
    store = Store()
    await store.start()
    state = {"armed": False, "faulty": None}

    async def behave(runner, request, writer):
        if state["armed"] and request["id"].startswith("look"):
            state.update(armed=False, faulty=runner)
            return await spoil(runner, request, writer)
        return await answer_soundly(request, writer)

    runners = [Runner(store, record, "i-desk%d" % number, "wuno96b", behave, slots=6)
               for number in range(RUNNERS)]
    for runner in runners:
        await runner.start()
    await store.put("keyed.op", "config", configuration(
        [route("r-book", "/puxa403/", "unsafe", "wuno96b", 5000, 150, 1),
         route("r-look", "/cufi504/", "safe", "wuno96b", 1000, 150, 2)], [APP_SERVICE]))
    machine = Machine(record, folder, "edge-thies-nord-1", store.port)
    await machine.start()
    clients = [Client(machine, record) for _ in range(BOOKINGS)]
    reader = Client(machine, record)
    try:
        await machine.wait_ready()
        await asyncio.sleep(4)  # in touch: stable_window_ms is 3,000
        await reader.open()
        await serve_before(machine, "pre", LOOK_UPS_BEFORE, "/cufi504/2f", b"", LITTLE)
        for number, client in enumerate(clients):
            await keep_open(client, "keep%02d" % number)
        await asyncio.gather(*(client.send("book%02d" % number, "/puxa403/2f", 4000, b"x" * 600)
                               for number, client in enumerate(clients)))
        answers = [asyncio.create_task(client.receive("book%02d" % number, 6))
                   for number, client in enumerate(clients)]
        await asyncio.sleep(0.2)
        state["armed"] = trouble
        await reader.send("look00", "/cufi504/2f", 1000)
        await reader.receive("look00", 2)
        results = await asyncio.gather(*answers)
        await asyncio.sleep(0.2)
        machine.note_last_words()
        if trouble:
            check_dose(state["faulty"])
        sound = {name for runner in runners if runner is not state["faulty"]
                 for name in runner.runs}
        lost = lost_bookings(results, sound)
        record("%d bookings ran at a sound runner and got no answer; at most %d may" % (
            len(lost), LOST_ALLOWED))
        return len(lost) <= LOST_ALLOWED
    finally:
        for client in clients + [reader]:
            client.close()
        await machine.stop()


run_case(FOLDER, case)
