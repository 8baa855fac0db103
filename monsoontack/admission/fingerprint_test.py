"""Tests of the fingerprint of a request."""

import unittest

from monsoontack.admission.fingerprint import request_fingerprint


class FingerprintTest(unittest.TestCase):
    def test_same_fields_have_the_same_fingerprint(self):
        """Guards against a request that is not recognised at another entry."""
        fields = (b"GET", b"desk.example", b"/look/7?a=b", b"shop", b"")
        self.assertEqual(request_fingerprint(fields), request_fingerprint(list(fields)))

    def test_bytes_that_move_between_fields_change_the_fingerprint(self):
        """Guards against different requests that are taken for one."""
        found = {
            request_fingerprint(fields)
            for fields in (
                (b"/look", b"shop", b""),
                (b"/loo", b"kshop", b""),
                (b"/look", b"sho", b"p"),
                (b"/look", b"", b"shop"),
            )
        }
        self.assertEqual(4, len(found))

    def test_fingerprint_of_a_long_body_is_short(self):
        """Guards against records and messages that grow with callers' bodies."""
        self.assertEqual(32, len(request_fingerprint((b"x" * 4_000_000,))))


if __name__ == "__main__":
    unittest.main()
