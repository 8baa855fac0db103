"""Published configuration as the daemons read it.

A `ConfigView` is immutable; a new revision makes a new one. It is built from
checked objects (`monsoontack.config.objects`), so that no reader meets a
reference that leads nowhere.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """A generation service (kind `engine`) or a plain service (`service`).

    `shares` gives percent of new traffic per version and adds up to 100.
    `idempotent_methods` lists HTTP methods whose calls may be repeated.
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

    `uid` is new for each attempt, so that a stop mark names exactly one.
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
    """A client account: digests of its keys, its weight and limits."""

    name: str
    key_digests: tuple[str, ...]
    weight: float = 1.0
    max_concurrent: int = 0
    services: tuple[str, ...] = ()
    priority: int = 0


@dataclass(frozen=True, slots=True)
class ConfigView:
    """One published revision. `services` of an account empty means all."""

    revision: int = 0
    services: Mapping[str, ServiceConfig] = field(default_factory=dict)
    versions: Mapping[tuple[str, str], VersionConfig] = field(default_factory=dict)
    rollouts: Mapping[str, RolloutConfig] = field(default_factory=dict)
    accounts: Mapping[str, AccountConfig] = field(default_factory=dict)
    account_of_digest: Mapping[str, str] = field(default_factory=dict)

    def find_account(self, key_digest: str) -> AccountConfig | None:
        """Return the account of a key's SHA-256 digest in hexadecimal."""
        name = self.account_of_digest.get(key_digest)
        return self.accounts.get(name) if name is not None else None
