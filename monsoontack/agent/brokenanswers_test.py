"""Answers of a broken server as an agent reads them, over real sockets."""

import asyncio
import unittest

import uvloop

from monsoontack.agent.backend import CallRequest
from monsoontack.agent.daemon import open_session
from monsoontack.agent.servicehttp import HttpService
from monsoontack.gateway.earlyanswer_test import (
    PART,
    early_server,
    end_after_reading_all,
    end_after_reading_some,
    end_by_reset,
    end_by_shutdown,
)

HEAD = b"HTTP/1.1 %s OK\r\n%s\r\n"
LOST = [("unknown", 0, b"", "answer_lost")] * 2
LENGTH = b"Content-Length: %d\r\n" % len(PART)


async def call(answer: bytes, end, size: int):
    """Return the outcome of a call that is answered after its first bytes."""
    async with early_server(answer, end) as at, open_session() as session:
        request = CallRequest(
            call_id="c",
            method="POST",
            path="/x",
            headers=(),
            body=b"x" * size,
            account="a",
            timeout_s=5.0,
            idempotent=False,
            key="k",
            fence=1,
        )
        return await HttpService(session, "http://{}:{}".format(*at)).call(request)


def outcomes(answer: bytes, end, size: int) -> list[tuple]:
    """Return run state, status, body and code of a call on both event loops."""
    found = [run(call(answer, end, size)) for run in (asyncio.run, uvloop.run)]
    return [(item.run_state, item.status, item.body, item.code) for item in found]


class BrokenAnswersTest(unittest.TestCase):
    def test_part_of_an_answer_is_not_the_result(self):
        """Guards against a part of an answer without a length that passes for the whole
        one, since its connection was reset, or ended during the upload."""
        for end in (end_by_reset, end_by_shutdown, end_after_reading_some):
            for size in (900_000, 4_000_000):
                with self.subTest(end=end.__name__, size=size):
                    found = outcomes(HEAD % (b"200", b"") + PART, end, size)
                    self.assertEqual(LOST, found)

    def test_reset_after_the_request_is_not_the_end(self):
        """Guards against a reset that counts as the end of an answer."""
        found = outcomes(HEAD % (b"200", b"") + PART, end_by_reset, 10)
        self.assertEqual(LOST, found)

    def test_whole_answer_without_a_length_is_the_result(self):
        """Guards against whole answers that are refused."""
        for size in (10, 900_000):

            async def end(sock, size=size):
                await end_after_reading_all(sock, size)

            found = outcomes(HEAD % (b"200", b"") + PART, end, size)
            self.assertEqual([("run", 200, PART, "")] * 2, found)

    def test_error_before_the_whole_request_is_the_result(self):
        """Guards against a 413 that callers get as an unknown result."""
        head = HEAD % (b"413", b"")
        found = outcomes(head + PART, end_by_shutdown, 4_000_000)
        self.assertEqual([("run", 413, PART, "")] * 2, found)

    def test_status_that_does_not_exist_is_not_the_result(self):
        """Guards against a status of a broken server that callers get as its answer."""

        async def end(sock):
            await asyncio.sleep(0.1)
            sock.close()

        for status in (b"000", b"099", b"600", b"999"):
            with self.subTest(status):
                self.assertEqual(
                    LOST, outcomes(HEAD % (status, LENGTH) + PART, end, 10)
                )


if __name__ == "__main__":
    unittest.main()
