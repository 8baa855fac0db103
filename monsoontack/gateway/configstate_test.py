"""Tests of the configuration in force and of trust in old knowledge."""

import unittest

from monsoontack.core.errors import RequestError
from monsoontack.gateway.config_state import MAX_RETRY_S, ConfigState
from monsoontack.gateway.records import (
    CallerRequest,
    GatewayAccount,
    GatewayConfig,
    RawRequest,
    RequestKind,
)
from monsoontack.gateway.routes import authorize, find_route
from standins.gatewayparts import make_route


def route(prefix, **changes):
    return make_route(RequestKind.IDEMPOTENT, path_prefix=prefix, **changes)


def config(version=1, routes=(), accounts=None):
    return GatewayConfig(version, routes or (route("/p/"),), accounts=accounts)


KEYED = {"key-1": GatewayAccount("shop")}


def request(path="/p/x", key="key-1"):
    raw = RawRequest(b"GET", path.encode(), (), b"", True, 0.0)
    return CallerRequest(raw, "id", "h", path, (), key=key)


class ConfigStateTest(unittest.TestCase):
    def setUp(self):
        self.time = 100.0
        self.config_state = ConfigState(5.0, boot=lambda: self.time)

    def load(self, **options):
        self.config_state.apply(config(**options))
        self.config_state.confirm(self.time)

    def ask(self, **options):
        return authorize(self.config_state, request(**options))

    def test_configuration_never_goes_back(self):
        """Guards against a late answer of the store that brings an older version."""
        self.assertTrue(self.config_state.apply(config(7)))
        self.assertFalse(self.config_state.apply(config(5)))
        self.assertEqual(7, self.config_state.config.version)

    def test_keys_are_not_trusted_without_news(self):
        """Guards against revoked keys at an entry that is cut off from the store."""
        self.load(accounts=KEYED)
        self.assertNotIsInstance(self.ask(), RequestError)
        self.time += 3.4
        self.assertNotIsInstance(self.ask(), RequestError)
        self.time += 0.2
        refusal = self.ask()
        self.assertEqual((503, "stale_config"), (refusal.status, refusal.code))
        self.assertIsNotNone(refusal.retry_after_s)

    def test_suspension_makes_knowledge_old(self):
        """Guards against keys accepted after the VM was suspended.

        The boot clock goes on during a suspension, the loop's clock does not.
        """
        self.load(accounts=KEYED)
        self.time += 60
        self.assertFalse(self.config_state.may_accept_keys())

    def test_requests_without_keys_are_served_by_old_knowledge(self):
        """Guards against an outage of the store that stops routes without keys."""
        self.load(routes=(route("/p/", anonymous=True),), accounts=KEYED)
        self.time += 60
        self.assertNotIsInstance(self.ask(key=None), RequestError)

    def test_old_knowledge_denies_nothing(self):
        """Guards against 401 and 404 for keys and routes that were added since."""
        self.load(accounts=KEYED)
        self.assertEqual(401, self.ask(key="other").status)
        self.assertEqual(404, self.ask(path="/q/").status)
        self.time += 2.6
        self.assertEqual(503, self.ask(key="other").status)
        self.assertEqual(503, self.ask(path="/q/").status)

    def test_no_configuration_is_no_denial(self):
        """Guards against 404 from an entry that has just started."""
        self.assertEqual(503, self.ask().status)

    def test_longest_prefix_wins(self):
        """Guards against a general route that hides a special one."""
        routes = (route("/a/", name="wide"), route("/a/b/", name="narrow"))
        found = find_route(config(routes=routes), "h", "/a/b/c")
        self.assertEqual("narrow", found.name)
        self.assertIsNone(find_route(config(routes=routes), "other", "/a/b/c"))

    def test_caller_of_an_entry_that_lost_the_store_alone_comes_back_at_once(self):
        """Guards against callers that wait though other entries would serve them."""
        self.load()
        self.config_state.confirm(self.time)
        self.time += 6.0
        self.assertLess(self.config_state.retry_after_s(), 0.1)

    def test_callers_come_back_later_the_longer_all_entries_lost_the_store(self):
        """Guards against callers that use up their retry while the store is away:
        on a day with 8 s of silence all were told 0.05 s and refused again."""
        self.load()
        self.config_state.confirm(self.time)
        told = []
        for _ in range(8):
            self.time += 1.0
            self.config_state.note_stale_peer()
            told.append(self.config_state.retry_after_s())
        self.assertEqual(sorted(told), told)
        self.assertGreaterEqual(told[0], 0.5)
        self.assertEqual(MAX_RETRY_S, told[-1])

    def test_caller_of_an_entry_that_just_started_waits_for_its_first_list(self):
        """Guards against callers that come back before an entry can be ready."""
        self.assertGreaterEqual(self.config_state.retry_after_s(), 0.5)


if __name__ == "__main__":
    unittest.main()
