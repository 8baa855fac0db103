"""Tests of the objects' models and of the check across objects."""

import unittest

from monsoontack.config.check import check_view
from monsoontack.config.objects import parse_objects, to_document
from monsoontack.config.revision import view_of_documents


def service(name="desk", shares=None, **spec):
    spec = {"kind": "engine", "shares": shares or {"v1": 100}, **spec}
    return {"kind": "Service", "name": name, "spec": spec}


def version(name="v1", service="desk"):
    spec = {"service": service, "version": name}
    return {"kind": "Version", "name": f"{service}.{name}", "spec": spec}


def rollout(name="up", to="v2", **status):
    spec = {"service": "desk", "from_version": "v1", "to_version": to}
    spec["deadline_unix_s"] = 1e9
    return {"kind": "Rollout", "name": name, "spec": spec, "status": status}


def account(name, digest, **spec):
    spec = {"key_digests": [digest * 64], **spec}
    return {"kind": "ClientAccount", "name": name, "spec": spec}


VALID_OBJECTS = [
    service(),
    version(),
    version("v2"),
    rollout(),
    account("a", "1"),
    account("b", "2", services=["desk"]),
]


def view(documents):
    objects = parse_objects("file", documents).unwrap()
    return view_of_documents(to_document(item) for item in objects)


class CheckTest(unittest.TestCase):
    def test_good_set(self):
        """Guards against a refused correct configuration."""
        self.assertEqual((), check_view(view(VALID_OBJECTS)))

    def test_all_errors_across_objects(self):
        """Guards against a check that stops early or misses a kind of fault."""
        bad = [
            service(shares={"v1": 50, "v9": 50}),
            version(),
            version("v3", "gone"),
            rollout("one", to="v8"),
            rollout("two", to="v1"),
            rollout("old", to="v7", phase="complete"),
            account("a", "1", services=["none"]),
            account("b", "1"),
        ]
        found = {(e.source, e.path): e.message for e in check_view(view(bad))}
        expected = {
            ("Service/desk", "spec.shares.v9"),
            ("Version/gone.v3", "spec.service"),
            ("Rollout/one", "spec.to_version"),
            ("Rollout/two", "spec.to_version"),
            ("Rollout/two", "spec.service"),
            ("ClientAccount/a", "spec.services"),
            ("ClientAccount/b", "spec.key_digests.0"),
        }
        self.assertEqual(expected, set(found))
        self.assertIn("'a'", found["ClientAccount/b", "spec.key_digests.0"])

    def test_removed_version_in_use(self):
        """Guards against the removal of a version that takes traffic."""
        after = view([service(), version("v2")])
        (error,) = check_view(
            after, view(VALID_OBJECTS), {("Service", "desk"): "desk.json"}
        )
        self.assertEqual("desk.json", error.source)
        self.assertIn("'v1' is in use and must not be removed", error.message)


class ObjectsTest(unittest.TestCase):
    def test_all_field_errors(self):
        """Guards against a fault of one field that hides those of others."""
        bad = [
            service(shares={"v1": 60, "v2": 30}, call_timeout_z=1),
            {"kind": "Servise", "name": "x", "spec": {}},
            version() | {"name": "other"},
            account("a", "z", weight=0),
            account("b/b", "1"),
            "text",
        ]
        errors = parse_objects("f", bad).failure().errors
        found = {(error.source, error.path): error.message for error in errors}
        expected = {
            ("f[0]", "spec.shares"): "add up to 100 percent, not 90",
            ("f[0]", "spec.call_timeout_z"): "did you mean 'call_timeout_s'",
            ("f[1]", "kind"): "must be one of Service",
            ("f[2]", ""): "must be 'desk.v1'",
            ("f[3]", "spec.key_digests.0"): "match pattern",
            ("f[3]", "spec.weight"): "greater than 0",
            ("f[4]", "name"): "match pattern",
            ("f[5]", "kind"): "must be one of Service",
        }
        self.assertEqual(set(expected), set(found))
        for key, text in expected.items():
            self.assertIn(text, found[key])


if __name__ == "__main__":
    unittest.main()
