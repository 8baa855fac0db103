"""Tests of the measurement runner."""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from bench import main as runner
from bench.registry import MEASUREMENTS, Figure, measurement


class RunnerTest(unittest.TestCase):
    def test_missed_target_fails_the_run(self):
        """Guards against a missed target that is reported as a pass."""
        with tempfile.TemporaryDirectory() as folder:
            with (
                mock.patch.object(runner, "RESULTS", Path(folder)),
                mock.patch.dict(MEASUREMENTS, clear=False),
                contextlib.redirect_stdout(io.StringIO()) as output,
            ):

                @measurement("sample")
                def sample(seed):
                    yield Figure.at_most("sample.low", 1.0, "s", 2.0)
                    yield Figure.at_least("sample.high", 1.0, "1/s", 2.0)

                self.assertFalse(runner.run_measurement("sample", 3))
            stored = (Path(folder) / "sample.jsonl").read_text()
        self.assertEqual(output.getvalue(), stored)
        lines = [json.loads(line) for line in stored.splitlines()]
        self.assertEqual([True, False], [line["met"] for line in lines])
        self.assertEqual({3}, {line["seed"] for line in lines})


if __name__ == "__main__":
    unittest.main()
