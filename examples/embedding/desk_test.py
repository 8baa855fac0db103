"""Tests the embedding example in virtual time."""

import sys
import unittest

from examples.embedding.desk import run
from monsoontack.core.virtualtime import run_in_virtual_time


class EmbeddingTest(unittest.TestCase):
    def test_all_parts(self):
        """Guards against an example whose results differ from its documentation."""
        result = run_in_virtual_time(run())
        self.assertEqual("check the seal", result["answer"])
        self.assertEqual({"other_attempt": 1}, result["dropped chunks"])
        told = ["answer_lost", "outcome_unknown", "200", "200"]
        self.assertEqual(told, result["holds told"])
        self.assertEqual(["hold-1", "hold-2"], result["holds made"])
        self.assertEqual((1, 1, ["holds"]), result["revision"])
        self.assertEqual(["live", "suspect", "live", "leaving"], result["members"])
        self.assertIsNone(result["good version"])
        self.assertEqual("failures", result["bad version"].metric)
        admitted, retry_s = result["admitted"]
        self.assertTrue(16 <= admitted < 40 and retry_s > 0, result["admitted"])

    def test_daemon_libraries_stay_out(self):
        """Guards against components that import the daemons' server libraries."""
        loaded = {"grpc", "falcon", "uvicorn", "aiohttp"} & set(sys.modules)
        self.assertEqual(set(), loaded)


if __name__ == "__main__":
    unittest.main()
