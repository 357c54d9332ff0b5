"""Tests of the one HTTP client: what is certain about a call that got no answer."""

import asyncio
import contextlib
import unittest
from collections.abc import Awaitable, Callable

from parameterized import parameterized

from shallotworks.platform._http import HttpAnswer, HttpClient, HttpNoAnswer
from shallotworks.platform._http_connection import Connection

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{"a":1}'


class Server:
    """A server that answers as a scenario wants, and keeps what it was sent."""

    def __init__(self, serve: Serve) -> None:
        self._serve = serve
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.connections = 0
        self.address = ""

    async def start(self) -> "Server":
        """Listen."""
        self._server = await asyncio.start_server(self._connected, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._tasks.add(asyncio.create_task(self._answer(reader, writer)))

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                await self._serve(reader, writer)
        finally:
            writer.transport.abort()

    async def stop(self) -> None:
        """Stop listening and answering."""
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        # Aborted connections are let go of in the loop's next turn.
        await asyncio.sleep(0)


async def answer_all(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer each request."""
    while True:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(OK)


def play(serve: Serve, scenario: Callable[[Server, HttpClient], Awaitable[None]]) -> None:
    """Run a scenario against a server."""

    async def whole() -> None:
        server = await Server(serve).start()
        client = HttpClient(address=server.address)
        try:
            await scenario(server, client)
        finally:
            await client.close()
            await server.stop()

    asyncio.run(whole())


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
        """An answer is read however its end is marked."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(sent)
            await writer.drain()

        async def scenario(_server: Server, client: HttpClient) -> None:
            answer = await client.call("GET", "/", timeout_s=2.0)
            self.assertEqual(HttpAnswer(status=status, body=body), answer)

        play(serve, scenario)

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
    def test_no_whole_answer_is_no_answer(self, _: str, sent: bytes) -> None:
        """The order may have been carried out, and nothing of the answer is used."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(sent)
            await writer.drain()

        async def scenario(_server: Server, client: HttpClient) -> None:
            answer = await client.call("GET", "/", timeout_s=2.0)
            assert isinstance(answer, HttpNoAnswer), answer
            self.assertFalse(answer.is_unsent)

        play(serve, scenario)


class ConnectionTests(unittest.TestCase):
    def test_one_connection_serves_many_calls(self) -> None:
        """New connections are paid for, so one is used again."""

        async def scenario(server: Server, client: HttpClient) -> None:
            for _ in range(5):
                self.assertIsInstance(await client.call("GET", "/", timeout_s=2.0), HttpAnswer)
            self.assertEqual(1, server.connections)

        play(answer_all, scenario)

    def test_a_connection_that_the_other_side_closed_is_not_used_again(self) -> None:
        """An order counts as possibly carried out though it was written into a closed connection.

        The worker answers and closes; the next order used to go out over the same connection.
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

        play(serve, scenario)

    def test_a_connection_that_fell_silent_is_left(self) -> None:
        """Every order to a worker times out though the worker is well.

        Something on the way has lost track of the open connections and drops what comes over them.
        After one call without an answer the others that were open then are not used either.
        """
        silent: set[int] = set()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            number = len(silent) if not silent else 2
            while True:
                await reader.readuntil(b"\r\n\r\n")
                if silent and number < 2:
                    continue
                await asyncio.sleep(0.05)
                writer.write(OK)

        async def scenario(server: Server, client: HttpClient) -> None:
            both = [client.call("GET", "/", timeout_s=2.0) for _ in range(2)]
            await asyncio.gather(*both)
            silent.update((0, 1))
            lost = await client.call("GET", "/", timeout_s=0.2)
            assert isinstance(lost, HttpNoAnswer), lost
            self.assertFalse(lost.is_unsent)
            self.assertIsInstance(await client.call("GET", "/", timeout_s=0.5), HttpAnswer)
            self.assertEqual(3, server.connections)

        play(serve, scenario)

    def test_an_answer_that_stops_coming_is_given_up(self) -> None:
        """A page that comes slowly is waited for, one that stands still is not."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n")
            for _ in range(4):
                writer.write(b"x")
                await asyncio.sleep(0.05)
            await asyncio.sleep(2.0)

        async def scenario(_server: Server, client: HttpClient) -> None:
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            answer = await client.call("GET", "/", timeout_s=5.0, read_timeout_s=0.3)
            self.assertIsInstance(answer, HttpNoAnswer)
            self.assertTrue(0.4 < loop.time() - began_s < 1.5)

        play(serve, scenario)

    def test_a_call_that_is_given_up_leaves_nothing_to_the_next(self) -> None:
        """A caller gets the answer to an earlier request.

        The earlier call was cancelled while its answer was under way; over the same connection that
        answer would come first.
        """
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

        play(serve, scenario)

    def test_nobody_listens(self) -> None:
        """A refused connection is certain: nothing was sent."""

        async def scenario(server: Server, client: HttpClient) -> None:
            await server.stop()
            answer = await client.call("GET", "/", timeout_s=1.0)
            assert isinstance(answer, HttpNoAnswer), answer
            self.assertTrue(answer.is_unsent)

        play(answer_all, scenario)

    def test_more_calls_than_connections_wait_for_one(self) -> None:
        """Calls beyond the connections of an address are answered in their turn."""

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

        play(serve, scenario)


class TimeTests(unittest.TestCase):
    def test_a_call_that_waited_for_its_connection_ends_in_time(self) -> None:
        """A scheduler never renews its key again after a slow moment of the store.

        All connections are in use, and the call gets one just as its time is over. Its answer does
        not come, and nothing ended the call: it held its connection for ever.
        """

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(30.0)

        async def scenario(_server: Server, client: HttpClient) -> None:
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            answers = await asyncio.gather(
                *(client.call("GET", "/", timeout_s=0.3) for _ in range(60))
            )
            self.assertTrue(all(isinstance(answer, HttpNoAnswer) for answer in answers))
            self.assertLess(loop.time() - began_s, 1.0)

        play(serve, scenario)

    def test_time_that_has_run_out_ends_an_exchange(self) -> None:
        """The same, where the time is over at the moment at which the request is sent."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(30.0)

        async def scenario(server: Server, _client: HttpClient) -> None:
            loop = asyncio.get_running_loop()
            host, port = server.address.split(":")
            _, connection = await loop.create_connection(
                lambda: Connection(generation=0), host, int(port)
            )
            began_s = loop.time()
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(1.0):
                    await connection.exchange(
                        b"GET / HTTP/1.1\r\n\r\n", deadline_s=loop.time() - 0.1, read_timeout_s=None
                    )
            self.assertLess(loop.time() - began_s, 0.5)
            self.assertFalse(connection.is_open)

        play(serve, scenario)


class RequestTests(unittest.TestCase):
    @parameterized.expand(
        [
            ("header", "/", {"X": "a\r\nY: b"}),
            ("path", "/a b", {}),
            ("path with a line end", "/\r\nX: y", {}),
        ]
    )
    def test_nothing_breaks_out_of_its_line(
        self, _: str, path: str, headers: dict[str, str]
    ) -> None:
        """A worker's id that another wrote into the registry adds a header of its own to orders."""

        async def scenario(server: Server, client: HttpClient) -> None:
            answer = await client.call("GET", path, timeout_s=1.0, headers=headers)
            assert isinstance(answer, HttpNoAnswer), answer
            self.assertTrue(answer.is_unsent)
            self.assertEqual(0, server.connections)

        play(answer_all, scenario)

    def test_an_odd_text_is_sent_as_it_came(self) -> None:
        """A scheduler loses its duty again and again over one job, whose text is no valid Unicode.

        Callers may hand in lone surrogates, escaped; the codec refuses to write them.
        """
        heads: list[bytes] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            heads.append(await reader.readexactly(length))
            writer.write(OK)
            await writer.drain()

        async def scenario(_server: Server, client: HttpClient) -> None:
            body = {"spec": "a\ud800b", "n": 2**70}
            answer = await client.call("POST", "/", timeout_s=1.0, body=body)
            self.assertIsInstance(answer, HttpAnswer)
            self.assertEqual([b'{"spec":"a\\ud800b","n":1180591620717411303424}'], heads)

        play(serve, scenario)


if __name__ == "__main__":
    unittest.main()
