"""Tests of the HTTP client: what a call without an answer says about the request."""

import asyncio
import contextlib
import socket
import struct
import unittest
from collections.abc import Awaitable, Callable

from parameterized import parameterized

from shallotworks.platform._http import HttpAnswer, HttpClient, HttpNoAnswer
from shallotworks.platform._http_connection import Connection

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{"a":1}'


class Server:
    """A server that handles each connection with a given function and counts the connections."""

    def __init__(self, serve: Serve) -> None:
        self._serve = serve
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.connections = 0
        self.address = ""

    async def start(self) -> "Server":
        """Start listening on a free port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._tasks.add(asyncio.create_task(self._answer(reader, writer)))

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                await self._serve(reader, writer)
        finally:
            writer.transport.abort()

    async def stop(self) -> None:
        """Stop listening and cancel all handlers."""
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        # The event loop closes aborted connections in its next iteration.
        await asyncio.sleep(0)


async def answer_all(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer each request on a connection with `OK`."""
    while True:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(OK)


def run_with_server(
    serve: Serve, scenario: Callable[[Server, HttpClient], Awaitable[None]]
) -> None:
    """Run a scenario against a server."""

    async def run_scenario() -> None:
        server = await Server(serve).start()
        client = HttpClient(address=server.address)
        try:
            await scenario(server, client)
        finally:
            await client.close()
            await server.stop()

    asyncio.run(run_scenario())


class AnswerTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("whole", OK, 200, {"a": 1}),
            ("no body", b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", 503, {}),
            (
                "in chunks",
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                b'3\r\n{"a\r\n4\r\n":1}\r\n0\r\n\r\n',
                200,
                {"a": 1},
            ),
            (
                "until the end",
                b'HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{"a":1}',
                200,
                {"a": 1},
            ),
            ("a list", b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n[1]", 200, {}),
        ]
    )
    def test_reads_answers(self, _: str, sent: bytes, status: int, body: dict[str, object]) -> None:
        """Guards against misreading an answer, whichever way the end of its body is marked."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(sent)
            await writer.drain()

        async def scenario(_server: Server, client: HttpClient) -> None:
            answer = await client.call("GET", "/", timeout_s=2.0)
            self.assertEqual(HttpAnswer(status=status, body=body), answer)

        run_with_server(serve, scenario)

    @parameterized.expand(
        [
            ("cut short", b"HTTP/1.1 200 OK\r\nContent-Length: 70\r\n\r\n{"),
            ("cut in chunks", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{"),
            ("no answer", b""),
            ("not HTTP", b"what do you want?\r\n\r\n"),
            ("not JSON", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{x"),
            ("too deep", b"HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n" + b"[" * 9000),
        ]
    )
    def test_incomplete_or_invalid_answer_is_no_answer(self, _: str, sent: bytes) -> None:
        """Guards against using a partial answer, or assuming that the request was not sent."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(sent)
            await writer.drain()

        async def scenario(_server: Server, client: HttpClient) -> None:
            answer = await client.call("GET", "/", timeout_s=2.0)
            assert isinstance(answer, HttpNoAnswer), answer
            self.assertFalse(answer.is_unsent)

        run_with_server(serve, scenario)


class LostServerTests(unittest.TestCase):
    """A server at whose address nobody listens is told apart from one that may be alive."""

    def test_refused_connection(self) -> None:
        """Guards against waiting for the process at an address where nobody listens."""

        async def scenario(server: Server, client: HttpClient) -> None:
            await server.stop()
            answer = await client.call("GET", "/", timeout_s=2.0)
            assert isinstance(answer, HttpNoAnswer), answer
            self.assertEqual((True, True), (answer.is_unsent, answer.is_refused))

        run_with_server(answer_all, scenario)

    @parameterized.expand([("closed", False), ("reset", True)])
    def test_connection_that_ends_is_not_refused(self, _: str, is_reset: bool) -> None:
        """Guards against taking a live process, whose open connection was reset, for ended."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            if is_reset:
                no_linger = struct.pack("ii", 1, 0)
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, no_linger
                )

        async def scenario(_server: Server, client: HttpClient) -> None:
            answer = await client.call("GET", "/", timeout_s=2.0)
            assert isinstance(answer, HttpNoAnswer), answer
            self.assertEqual((False, False), (answer.is_unsent, answer.is_refused))
            self.assertEqual(is_reset, "ConnectionResetError" in answer.detail, answer)

        run_with_server(serve, scenario)

    def test_hanging_connection_is_not_refused(self) -> None:
        """Guards against taking a live process, to which connections hang, for ended."""

        async def scenario() -> None:
            loop = asyncio.get_running_loop()
            with socket.socket() as listener, contextlib.ExitStack() as waiting:
                listener.bind(("127.0.0.1", 0))
                listener.listen(0)
                # Once the queue of connections is full, opening packets are dropped.
                for _ in range(4):
                    one = waiting.enter_context(socket.socket())
                    one.setblocking(False)
                    with contextlib.suppress(BlockingIOError):
                        one.connect(listener.getsockname())
                await asyncio.sleep(0.05)
                host, port = listener.getsockname()
                client = HttpClient(address=f"{host}:{port}")
                began_s = loop.time()
                answer = await client.call("GET", "/", timeout_s=0.2)
                self.assertGreaterEqual(loop.time() - began_s, 0.15)
                await client.close()
            assert isinstance(answer, HttpNoAnswer), answer
            self.assertEqual((True, False), (answer.is_unsent, answer.is_refused))

        asyncio.run(scenario())


class ConnectionTests(unittest.TestCase):
    def test_connection_is_reused(self) -> None:
        """Guards against the cost of a new connection for each call."""

        async def scenario(server: Server, client: HttpClient) -> None:
            for _ in range(5):
                self.assertIsInstance(await client.call("GET", "/", timeout_s=2.0), HttpAnswer)
            self.assertEqual(1, server.connections)

        run_with_server(answer_all, scenario)

    def test_closed_connection_is_not_reused(self) -> None:
        """Guards against sending an order over a connection that the worker closed after an answer.

        The unanswered order then counted as possibly carried out.
        """

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(OK)
            await writer.drain()

        async def scenario(server: Server, client: HttpClient) -> None:
            for _ in range(3):
                self.assertIsInstance(await client.call("GET", "/", timeout_s=2.0), HttpAnswer)
                await asyncio.sleep(0.02)
            self.assertEqual(3, server.connections)

        run_with_server(serve, scenario)

    def test_stalled_connections_are_not_reused(self) -> None:
        """Guards against orders to a healthy worker that time out on stalled connections.

        A network device lost the connections' state and drops their packets.
        """
        stalled: set[int] = set()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            number = len(stalled) if not stalled else 2
            while True:
                await reader.readuntil(b"\r\n\r\n")
                if stalled and number < 2:
                    continue
                await asyncio.sleep(0.05)
                writer.write(OK)

        async def scenario(server: Server, client: HttpClient) -> None:
            calls = [client.call("GET", "/", timeout_s=2.0) for _ in range(2)]
            await asyncio.gather(*calls)
            stalled.update((0, 1))
            timed_out = await client.call("GET", "/", timeout_s=0.2)
            assert isinstance(timed_out, HttpNoAnswer), timed_out
            self.assertFalse(timed_out.is_unsent)
            self.assertIsInstance(await client.call("GET", "/", timeout_s=0.5), HttpAnswer)
            self.assertEqual(3, server.connections)

        run_with_server(serve, scenario)

    def test_stalled_answer_ends_at_the_read_timeout(self) -> None:
        """Guards against abandoning a slow answer, and against waiting for a stalled one."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n")
            for _ in range(4):
                writer.write(b"x")
                await asyncio.sleep(0.05)
            await asyncio.sleep(2.0)

        async def scenario(_server: Server, client: HttpClient) -> None:
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            answer = await client.call("GET", "/", timeout_s=5.0, read_timeout_s=0.3)
            self.assertIsInstance(answer, HttpNoAnswer)
            self.assertTrue(0.4 < loop.time() - started_s < 1.5)

        run_with_server(serve, scenario)

    def test_answer_to_a_cancelled_call_is_discarded(self) -> None:
        """Guards against reading the late answer to a cancelled call as the next call's answer."""
        served = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal served
            while True:
                await reader.readuntil(b"\r\n\r\n")
                served += 1
                body = b'{"n":%d}' % served
                await asyncio.sleep(0.1)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n" + body)

        async def scenario(_server: Server, client: HttpClient) -> None:
            call = asyncio.create_task(client.call("GET", "/", timeout_s=2.0))
            await asyncio.sleep(0.05)
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
            answer = await client.call("GET", "/", timeout_s=2.0)
            self.assertEqual(HttpAnswer(status=200, body={"n": 2}), answer)

        run_with_server(serve, scenario)

    def test_refused_connection_is_unsent(self) -> None:
        """Guards against reporting a request as possibly sent though the connection was refused."""

        async def scenario(server: Server, client: HttpClient) -> None:
            await server.stop()
            answer = await client.call("GET", "/", timeout_s=1.0)
            assert isinstance(answer, HttpNoAnswer), answer
            self.assertTrue(answer.is_unsent)

        run_with_server(answer_all, scenario)

    def test_calls_beyond_the_connection_limit_wait(self) -> None:
        """Guards against more connections than allowed, and against calls that are never sent."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(0.02)
                writer.write(OK)

        async def scenario(server: Server, client: HttpClient) -> None:
            answers = await asyncio.gather(
                *(client.call("GET", "/", timeout_s=3.0) for _ in range(100))
            )
            self.assertTrue(all(isinstance(answer, HttpAnswer) for answer in answers))
            self.assertLessEqual(server.connections, 24)

        run_with_server(serve, scenario)


class DeadlineTests(unittest.TestCase):
    def test_call_that_waited_for_a_connection_times_out(self) -> None:
        """Guards against a scheduler that never renews its key after the store was slow.

        A call that got its connection at its deadline had no timer and never released it.
        """

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(30.0)

        async def scenario(_server: Server, client: HttpClient) -> None:
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            answers = await asyncio.gather(
                *(client.call("GET", "/", timeout_s=0.3) for _ in range(60))
            )
            self.assertTrue(all(isinstance(answer, HttpNoAnswer) for answer in answers))
            self.assertLess(loop.time() - started_s, 1.0)

        run_with_server(serve, scenario)

    def test_exchange_after_its_deadline_times_out(self) -> None:
        """Guards against an exchange that never ends because it started after its deadline."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(30.0)

        async def scenario(server: Server, _client: HttpClient) -> None:
            loop = asyncio.get_running_loop()
            host, port = server.address.split(":")
            _, connection = await loop.create_connection(
                lambda: Connection(generation=0), host, int(port)
            )
            started_s = loop.time()
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(1.0):
                    await connection.exchange(
                        b"GET / HTTP/1.1\r\n\r\n", deadline_s=loop.time() - 0.1, read_timeout_s=None
                    )
            self.assertLess(loop.time() - started_s, 0.5)
            self.assertFalse(connection.is_open)

        run_with_server(serve, scenario)


class RequestTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("header", "/", {"X": "a\r\nY: b"}),
            ("path", "/a b", {}),
            ("path with a line end", "/\r\nX: y", {}),
        ]
    )
    def test_no_header_injection(self, _: str, path: str, headers: dict[str, str]) -> None:
        """Guards against an id in the registry that adds a header to the orders for a worker."""

        async def scenario(server: Server, client: HttpClient) -> None:
            answer = await client.call("GET", path, timeout_s=1.0, headers=headers)
            assert isinstance(answer, HttpNoAnswer), answer
            self.assertTrue(answer.is_unsent)
            self.assertEqual(0, server.connections)

        run_with_server(answer_all, scenario)

    def test_lone_surrogate_is_sent_escaped(self) -> None:
        """Guards against a scheduler that loses its lease repeatedly over one invalid string.

        Callers may submit escaped lone surrogates, which are not valid Unicode for the codec.
        """
        bodies: list[bytes] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            bodies.append(await reader.readexactly(length))
            writer.write(OK)
            await writer.drain()

        async def scenario(_server: Server, client: HttpClient) -> None:
            body = {"spec": "a\ud800b", "n": 2**70}
            answer = await client.call("POST", "/", timeout_s=1.0, body=body)
            self.assertIsInstance(answer, HttpAnswer)
            self.assertEqual([b'{"spec":"a\\ud800b","n":1180591620717411303424}'], bodies)

        run_with_server(serve, scenario)


if __name__ == "__main__":
    unittest.main()
