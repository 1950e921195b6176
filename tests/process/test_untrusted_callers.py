"""Clients that respect no limits, against `laburnumweir gateway` and the platform's stand-in.

Each test checks only that the process lives, that its peak of resident memory and its descriptors stay
under the limits of its settings, and that an ordinary request is answered afterwards.
"""

import asyncio
import os
import pathlib
import sys
import tempfile
import unittest
from unittest import mock

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review" / "common"))

import platform_stand_in as platform  # noqa: E402

BUILD = os.environ.get("LABURNUMWEIR_BUILD", str(ROOT / "build"))
# The smallest host of the fleet has 120 MB; with less, a small crowd reaches the limit.
MEMORY_MB = 64
MAX_FDS = 900
CLIENTS = 24  # bodies of CLIENTS * BODY_BYTES = 96 MiB exceed MEMORY_MB
BODY_BYTES = platform.LIMITS["max_body_bytes"]
OVERSIZE_BYTES = 4 * BODY_BYTES
PIECE_BYTES = 65536
SMALL_CHUNK_BYTES = 16
# Most clients stop this many bytes before the end.
MISSING_BYTES = 64
# One client in this number completes its body.
COMPLETE_EVERY = 8
# Time limits only end a test that hangs.
CROWD_S = 90
ANSWER_S = 30
PATH = "/puxa403/2f"


def head(name, fields):
    lines = {"Host": platform.HOST, "X-Attempt-Id": name, "X-Deadline-Ms": "20000",
             "Authorization": "Token " + platform.KEY, **fields}
    return ("POST %s HTTP/1.1\r\n" % PATH + "".join("%s: %s\r\n" % item for item in lines.items())
            + "\r\n").encode()


def chunked(size, chunk_bytes):
    """A chunked body in pieces that each hold whole chunks."""
    chunk = b"%x\r\n" % chunk_bytes + b"w" * chunk_bytes + b"\r\n"
    per_piece = max(1, PIECE_BYTES // len(chunk))
    for _ in range(size // chunk_bytes // per_piece):
        yield chunk * per_piece
    yield chunk * (size // chunk_bytes % per_piece) + b"0\r\n\r\n"


class UntrustedCallersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # Stalled bodies stay for the whole test: the time limit of a head must not end them.
        limits = dict(platform.LIMITS, header_timeout_ms=120000)
        for name, value in [("PROGRAM", os.path.join(BUILD, "laburnumweir")),
                            ("MAX_FDS", MAX_FDS), ("LIMITS", limits)]:
            patch = mock.patch.object(platform, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        store = platform.Store()
        await store.start()
        self.runner = platform.Runner(store, self.ignore, "i-desk", "wuno96b", self.behave)
        await self.runner.start()
        self.addCleanup(self.runner.task.cancel)
        await store.put("keyed.op", "config", platform.configuration(
            [platform.route("r-book", "/puxa403/", "unsafe", "wuno96b", 20000, 150, 1)],
            [platform.APP_SERVICE]))
        self.machine = platform.Machine(self.ignore, folder.name, "edge-1", store.port, MEMORY_MB)
        await self.machine.start()
        self.addAsyncCleanup(self.machine.stop)
        await self.machine.wait_ready()
        self.writers = []

    @staticmethod
    def ignore(text):
        """Takes the place of the record of a case."""

    @staticmethod
    async def behave(runner, request, writer):
        return await platform.answer_after(0, request, writer)

    async def send(self, number, fields, pieces):
        """Sends a request as far as the gateway takes it, and keeps the connection open."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.machine.frontend)
        self.writers.append(writer)
        try:
            writer.write(head("crowd%02d" % number, fields))
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                if reader.at_eof():
                    return
        except ConnectionError:
            pass

    async def send_crowd(self, make_request):
        """Sends `make_request(number)`, a pair of fields and pieces, from all clients at once."""
        await asyncio.wait_for(asyncio.gather(*(self.send(number, *make_request(number))
                                                for number in range(CLIENTS))), CROWD_S)

    def stop_short(self, number, pieces):
        """The pieces without the last bytes, except for one client in COMPLETE_EVERY."""
        if number % COMPLETE_EVERY == 0:
            yield from pieces
            return
        last = b""
        for piece in pieces:
            yield last
            last = piece
        yield last[:-MISSING_BYTES]

    async def check(self):
        client = platform.Client(self.machine, self.ignore)
        result = "not connected"
        try:
            await client.open()
            await client.send("ordinary", PATH, 20000, b"x" * 600)
            result = await client.receive("ordinary", ANSWER_S)
        except OSError as error:
            result = str(error)
        client.close()
        self.assertEqual([], self.machine.ends, "the process has ended")
        pid = self.machine.process.pid
        with open("/proc/%d/status" % pid, encoding="ascii") as file:
            peak_kb = next(int(line.split()[1]) for line in file if line.startswith("VmHWM:"))
        descriptors = len(os.listdir("/proc/%d/fd" % pid))
        for writer in self.writers:
            writer.transport.abort()
        print("peak memory %.1f MB of %d, descriptors %d of %d, ordinary request: %s" % (
            peak_kb * 1024 / 1e6, MEMORY_MB, descriptors, MAX_FDS, result), flush=True)
        self.assertEqual("200", result, "the ordinary request")
        self.assertLess(descriptors, MAX_FDS, "descriptors")
        self.assertLess(peak_kb * 1024 / 1e6, MEMORY_MB, "peak of resident memory in MB")

    async def test_large_bodies_that_stall(self):
        """Guards against bodies of legal size that together exceed the memory."""
        def make_request(number):
            body = b"w" * BODY_BYTES
            whole = [body]
            pieces = [body[i:i + PIECE_BYTES] for i in range(0, BODY_BYTES, PIECE_BYTES)]
            return ({"Content-Length": str(BODY_BYTES)},
                    self.stop_short(number, pieces if number % 2 else whole))
        await self.send_crowd(make_request)
        await self.check()

    async def test_large_chunks_that_stall(self):
        """Guards against chunked bodies, whose length is not known, that exceed the memory."""
        await self.send_crowd(lambda number: (
            {"Transfer-Encoding": "chunked"},
            self.stop_short(number, chunked(BODY_BYTES, PIECE_BYTES))))
        await self.check()

    async def test_small_chunks_that_stall(self):
        """Guards against chunks that cost more than the bytes they carry."""
        await self.send_crowd(lambda number: (
            {"Transfer-Encoding": "chunked"},
            self.stop_short(number, chunked(BODY_BYTES, SMALL_CHUNK_BYTES))))
        await self.check()

    async def test_declared_oversize_bodies(self):
        """Guards against memory reserved or used for a length that exceeds the limit."""
        await self.send_crowd(lambda number: (
            {"Content-Length": str(OVERSIZE_BYTES)},
            self.stop_short(number, [b"w" * PIECE_BYTES] * (OVERSIZE_BYTES // PIECE_BYTES))))
        await self.check()

    async def test_undeclared_oversize_bodies(self):
        """Guards against bodies that grow up to the limit at the same time and then exceed it."""
        await self.send_crowd(lambda number: (
            {"Transfer-Encoding": "chunked"},
            self.stop_short(number, chunked(OVERSIZE_BYTES, PIECE_BYTES))))
        await self.check()

    async def test_largest_legal_body_is_served_in_calm(self):
        """Guards against a limit of all requests that a single legal request reaches."""
        for number in range(2):
            client = platform.Client(self.machine, self.ignore)
            await client.open()
            await client.send("large%d" % number, PATH, 20000, b"w" * BODY_BYTES)
            self.assertEqual("200", await client.receive("large%d" % number, ANSWER_S))
            client.close()
        await self.check()


if __name__ == "__main__":
    unittest.main()
