"""Tests the demonstration."""

import contextlib
import io
import unittest

from demo.main import run


class DemoTest(unittest.IsolatedAsyncioTestCase):
    async def test_answer_is_whole_after_both_losses(self):
        """Guards against an answer that is lost with its engine or entry."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            complete = await run()
        self.assertTrue(complete, output.getvalue())
        self.assertEqual(2, output.getvalue().count("output continued after"))


if __name__ == "__main__":
    unittest.main()
