"""Tests of log output that neither blocks nor floods."""

import json
import os
import unittest

import structlog

from monsoontack.core.boundedlog import BURST_LINES, BoundedOutput, LineWriter


class BoundedLogTest(unittest.TestCase):
    def setUp(self):
        self.read_end, write_end = os.pipe()
        self.write_end = write_end
        os.set_blocking(self.read_end, False)
        self.writer = LineWriter.non_blocking(write_end)
        self.time = 0.0
        self.output = BoundedOutput(self.writer, lambda: self.time)

    def tearDown(self):
        os.close(self.read_end)
        os.close(self.write_end)

    def emit(self, kind="request ended", **fields):
        with self.assertRaises(structlog.DropEvent):
            self.output(None, "info", {"event": kind, **fields})

    def lines(self):
        try:
            data = os.read(self.read_end, 10**7)
        except BlockingIOError:
            return []
        return [json.loads(line) for line in data.splitlines()]

    def test_reader_that_stops_blocks_nothing(self):
        """Guards against requests that wait for whoever reads the logs."""
        for number in range(2000):
            self.time += 1.0
            self.emit(filler="x" * 500, number=number)
        self.assertGreater(self.writer.dropped, 0)
        kept = len(self.lines())
        self.emit(number=-1)
        last = self.lines()[-1]
        self.assertEqual(2000 - kept, last["left_out"])

    def test_one_kind_of_line_cannot_flood(self):
        """Guards against log volume that grows with the load."""
        for _ in range(int(3 * BURST_LINES)):
            self.emit()
        self.emit("store lost")
        kinds = [line["event"] for line in self.lines()]
        self.assertEqual(int(BURST_LINES), kinds.count("request ended"))
        self.assertEqual(1, kinds.count("store lost"))

    def test_line_taken_in_part_is_finished_first(self):
        """Guards against lines that run into each other."""
        for _ in range(400):
            self.time += 1.0
            self.emit(filler="y" * 9000)
        first = os.read(self.read_end, 10**7)
        self.assertFalse(first.endswith(b"\n"))
        self.emit()
        self.emit()
        rest = os.read(self.read_end, 10**7)
        for line in (first + rest).splitlines():
            json.loads(line)


if __name__ == "__main__":
    unittest.main()
