"""Immutable view of the published configuration, as the daemons read it.

Each revision has a `ConfigView` of its own. A view is built from validated objects
(`monsoontack.config.objects`), so it holds no dangling references.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """A generation service (kind `engine`) or a plain service (`service`).

    `shares` gives the percentage of new traffic per version; the sum is 100.
    `idempotent_methods` lists the HTTP methods whose calls may be retried.
    """

    name: str
    kind: str
    shares: tuple[tuple[str, float], ...]
    idempotent_methods: tuple[str, ...] = ("GET",)
    call_timeout_s: float = 10.0


@dataclass(frozen=True, slots=True)
class VersionConfig:
    """A backend server version that a service may run."""

    service: str
    name: str
    weights_bytes: int = 0
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True)
class RolloutConfig:
    """A move of a service's traffic from one version to another.

    Each attempt has a new `uid`, so that a stop mark applies to exactly one attempt.
    """

    uid: str
    name: str
    service: str
    from_version: str
    to_version: str
    deadline_unix_s: float
    phase: str = "pending"


@dataclass(frozen=True, slots=True)
class AccountConfig:
    """A client account: digests of its keys, its weight and its limits.

    Empty `services` allows all services.
    """

    name: str
    key_digests: tuple[str, ...]
    weight: float = 1.0
    max_concurrent: int = 0
    services: tuple[str, ...] = ()
    priority: int = 0


@dataclass(frozen=True, slots=True)
class ConfigView:
    """The configuration of one published revision.

    `account_of_digest` maps key digests to account names.
    """

    revision: int = 0
    services: Mapping[str, ServiceConfig] = field(default_factory=dict)
    versions: Mapping[tuple[str, str], VersionConfig] = field(default_factory=dict)
    rollouts: Mapping[str, RolloutConfig] = field(default_factory=dict)
    accounts: Mapping[str, AccountConfig] = field(default_factory=dict)
    account_of_digest: Mapping[str, str] = field(default_factory=dict)

    def find_account(self, key_digest: str) -> AccountConfig | None:
        """Return the account that has a key with this hexadecimal SHA-256 digest."""
        name = self.account_of_digest.get(key_digest)
        return self.accounts.get(name) if name is not None else None
