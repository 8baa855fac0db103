"""Tests of what servers say of themselves in the heads of responses."""

import unittest

from monsoontack.admission.serverstatement import (
    MAX_WAIT_S,
    NO_STATEMENT,
    ServerStatement,
    parse_wait_s,
    read_statement,
)


class ServerStatementTest(unittest.TestCase):
    def test_leaving_is_read_from_all_responses_of_the_server(self):
        """Guards against a statement in refusals and errors that is not read."""
        for status in (200, 204, 400, 429, 500, 503, 504):
            said = read_statement(status, True, "1", None)
            self.assertEqual(ServerStatement(is_leaving=True), said, status)

    def test_responses_of_others_say_nothing(self):
        """Guards against a server that the response of another one takes out."""
        self.assertEqual(NO_STATEMENT, read_statement(200, False, "1", "3"))
        self.assertEqual(NO_STATEMENT, read_statement(421, True, "1", "3"))

    def test_other_texts_do_not_mean_leaving(self):
        """Guards against a server that a malformed header takes out for good."""
        for text in (None, "", "0", "true", "11", "1,1", "1" * 400, "-1"):
            self.assertTrue(read_statement(200, True, text, None).is_empty, text)

    def test_time_is_read_from_503_only(self):
        """Guards against waits for servers that did not refuse."""
        self.assertEqual(2.5, read_statement(503, True, None, "2.5").wait_s)
        for status in (200, 429, 500, 408):
            self.assertTrue(read_statement(status, True, None, "2.5").is_empty)

    def test_malformed_times_are_ignored(self):
        """Guards against waits that a malformed header makes up."""
        malformed = (
            "",
            "soon",
            "-3",
            "+3",
            "nan",
            "inf",
            "1e3",
            "3,5",
            "9" * 400,
            "0." + "9" * 400,
            "Fri, 31 Dec 2027 23:59:59 GMT",
            "\u0663",
        )
        for text in malformed:
            self.assertIsNone(parse_wait_s(text), text)

    def test_times_are_bounded(self):
        """Guards against a server that excludes itself for hours by mistake."""
        self.assertEqual(MAX_WAIT_S, parse_wait_s("86400"))
        self.assertEqual(0.25, parse_wait_s(" 0.25\t"))


if __name__ == "__main__":
    unittest.main()
