"""Tests of the functions behind the operators' commands."""

import json
import random
import tempfile
import unittest
from pathlib import Path

from monsoontack.config.check_test import VALID_OBJECTS, account, service, version
from monsoontack.config.operator import (
    check_files,
    get_objects,
    get_status,
    make_proposal,
    read_files,
    submit,
    wait_for_outcome,
)
from monsoontack.config.revision import seed_store
from monsoontack.core.clock import LoopClock
from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.store.api import Unavailable
from monsoontack.store.memory import MemoryStore


class FilesTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name, content):
        path = self.folder / name
        text = content if isinstance(content, str) else json.dumps(content)
        path.write_text(text)
        return path

    def found(self, errors):
        return {(Path(e.source).name, e.path): e.message for e in errors}

    def test_all_errors_with_file_and_path(self):
        """Guards against a check that stops at the first bad file, or that does
        not say where an error is."""
        paths = [
            self.write("a.json", [service(shares={"v1": 50, "v2": 50}), version()]),
            self.write("b.json", '{"kind": '),
            self.write("c.json", account("a", "1", weight=-1)),
            self.write("d.json", [account("b", "2", services=["x"]), version()]),
            self.folder / "none.json",
        ]
        found = self.found(check_files(paths))
        self.assertEqual(
            {
                ("a.json[0]", "spec.shares.v2"),
                ("b.json", ""),
                ("c.json", "spec.weight"),
                ("d.json[0]", "spec.services"),
                ("d.json[1]", "name"),
                ("none.json", ""),
            },
            set(found),
        )
        self.assertIn("line 1 column 10", found["b.json", ""])

    def test_base_gives_what_the_files_leave_out(self):
        """Guards against references to published objects that count as wrong, and
        against the removal of a version in use."""
        base = self.write("base.json", VALID_OBJECTS)
        good = self.write("good.json", account("c", "3", services=["desk"]))
        removal = {"kind": "Version", "name": "desk.v1", "version": 1, "delete": True}
        bad = self.write("bad.json", [removal, account("d", "1")])
        self.assertEqual((), check_files([good], [base]))
        found = self.found(check_files([bad], [base]))
        self.assertIn("must not be removed", found["base.json[0]", "spec.shares.v1"])
        self.assertIn("base.json[4]", {name for name, _ in found})

    def test_proposal(self):
        """Guards against a proposal without the versions that were edited."""
        removal = {"kind": "Version", "name": "desk.v1", "version": 4, "delete": True}
        path = self.write("a.json", [account("c", "3") | {"version": 7}, removal])
        sources, _ = read_files([path])
        made = make_proposal(sources, "operator", random.Random(1), 1.5).unwrap()
        bases = [(c["op"], c["base_version"]) for c in made["changes"]]
        self.assertEqual([("put", 7), ("delete", 4)], bases)
        self.assertTrue(made["uid"].startswith("00000000001500-"))


class StoreTest(unittest.TestCase):
    def test_submit_reads_a_lost_answer_back(self):
        """Guards against a change that is reported as failed but is carried out,
        or that is submitted twice."""

        async def scenario():
            store, clock = MemoryStore(), LoopClock()
            store.faults.lose_answers = 1
            document = {"uid": "1", "author": "operator", "changes": []}
            result = await submit(store, document, clock, 5.0)
            self.assertIsNone(result.unwrap())
            store.faults.outage = True
            result = await submit(store, document | {"uid": "2"}, clock, 5.0)
            self.assertIsInstance(result.failure(), Unavailable)
            outcome = await wait_for_outcome(store, "1", clock, 5.0)
            self.assertEqual({}, outcome.status)

        run_in_virtual_time(scenario())

    def test_get_and_status(self):
        """Guards against objects left out, and a status without the confirmation."""

        async def scenario():
            store = MemoryStore()
            self.assertEqual([], (await get_objects(store)).unwrap())
            await seed_store(store, VALID_OBJECTS)
            everything = (await get_objects(store)).unwrap()
            names = {(item["kind"], item["name"]) for item in everything}
            self.assertEqual({(d["kind"], d["name"]) for d in VALID_OBJECTS}, names)
            (one,) = (await get_objects(store, "ClientAccount", "b")).unwrap()
            self.assertEqual(1, one["version"])
            self.assertEqual([], (await get_objects(store, "Service", "x")).unwrap())
            for uid, revision in (("1", 1), ("2", 2)):
                status = {"phase": "Published", "revision": revision}
                value = {"uid": uid, "author": "operator", "status": status}
                await store.create(f"proposals/{uid}", json.dumps(value).encode())
            await store.create(
                "status/config", b'{"in_force":1,"phase":"Spreading","unconfirmed":[]}'
            )
            status = (await get_status(store)).unwrap()
            phases = [item["phase"] for item in status["proposals"]]
            self.assertEqual(["InForce", "Published"], phases)
            self.assertEqual("up.1", status["rollouts"][0]["uid"])

        run_in_virtual_time(scenario())


if __name__ == "__main__":
    unittest.main()
