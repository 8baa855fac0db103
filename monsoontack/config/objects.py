"""Models of the objects that operators edit: Service, Version, Rollout, ClientAccount.

An object is `{"kind", "name", "version", "spec", "status"}`. `version` is the
revision that last changed the object (0 for a new one); an edit carries the
version that it is based on. Operators write `spec`, the system writes `status`.
This module validates single fields; `monsoontack.config.check` validates
across objects.

Example::

    {"kind": "Service", "name": "repair-assistant",
     "spec": {"kind": "engine", "shares": {"v1": 95, "v2": 5}}}
"""

from typing import Annotated, Any, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, model_validator
from returns.result import Failure, Result, Success

from monsoontack.config.view import (
    AccountConfig,
    RolloutConfig,
    ServiceConfig,
    VersionConfig,
)
from monsoontack.core.errors import FieldError, FieldErrors
from monsoontack.settings.load import validate
from monsoontack.settings.models import Model

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
KeyDigest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
Method = Literal["GET", "HEAD", "PUT", "DELETE", "POST", "PATCH", "OPTIONS"]
# In percent; shares such as 33.4 have no exact binary representation.
SHARE_SUM_TOLERANCE = 1e-6

ConfigRecord = ServiceConfig | VersionConfig | RolloutConfig | AccountConfig


def check_shares(shares: dict[str, float]) -> dict[str, float]:
    """Return `shares` if they add up to 100 percent, else raise ValueError."""
    total = sum(shares.values())
    if abs(total - 100.0) > SHARE_SUM_TOLERANCE:
        raise ValueError(f"shares must add up to 100 percent, not {total:g}")
    return shares


Share = Annotated[float, Field(ge=0, le=100, allow_inf_nan=False)]
Shares = Annotated[dict[Name, Share], AfterValidator(check_shares)]


class ServiceSpec(Model):
    """Fields of a service that operators set.

    `shares` maps each version to its percentage of new traffic.
    """

    kind: Literal["engine", "service"]
    shares: Shares
    idempotent_methods: tuple[Method, ...] = ("GET",)
    call_timeout_s: float = Field(default=10.0, gt=0, le=600)


class VersionSpec(Model):
    """Fields of a backend server version that operators set."""

    service: Name
    version: Name
    weights_bytes: int = Field(default=0, ge=0)
    checks_fencing: bool = False


class RolloutSpec(Model):
    """Fields of a rollout that operators set; the deadline is in Unix time."""

    service: Name
    from_version: Name
    to_version: Name
    deadline_unix_s: float = Field(gt=0, allow_inf_nan=False)


class RolloutStatus(Model):
    """Fields of a rollout that the system writes."""

    model_config = ConfigDict(extra="allow", frozen=True)

    uid: str = ""
    phase: str = "pending"


def check_not_empty(digests: tuple[str, ...]) -> tuple[str, ...]:
    """Return `digests` if it has at least one digest, else raise ValueError."""
    if not digests:
        raise ValueError("a client account needs at least one key digest")
    return digests


# Not `min_length`, which does not count invalid digests and so reports a second error.
KeyDigests = Annotated[tuple[KeyDigest, ...], AfterValidator(check_not_empty)]


class AccountSpec(Model):
    """Fields of a client account that operators set.

    Empty `services` allows all services.
    """

    key_digests: KeyDigests
    weight: float = Field(default=1.0, gt=0, le=1000)
    max_concurrent: int = Field(default=0, ge=0)
    services: tuple[Name, ...] = ()
    priority: int = Field(default=0, ge=-10, le=10)


class _Object(Model):
    name: Name
    version: int = Field(default=0, ge=0)
    changed_by: str = ""
    status: dict[str, Any] = Field(default_factory=dict)


class Service(_Object):
    """A generation service (kind `engine`) or plain service (`service`)."""

    kind: Literal["Service"]
    spec: ServiceSpec


class Version(_Object):
    """A backend server version of a service, named `<service>.<version>`."""

    kind: Literal["Version"]
    spec: VersionSpec

    @model_validator(mode="after")
    def check_name(self) -> "Version":
        """Require the name `<service>.<version>`, unique across services."""
        expected = f"{self.spec.service}.{self.spec.version}"
        if self.name != expected:
            raise ValueError(f"the name of this version must be {expected!r}")
        return self


class Rollout(_Object):
    """A move of a service's traffic from one version to another."""

    kind: Literal["Rollout"]
    spec: RolloutSpec
    status: RolloutStatus = RolloutStatus()


class ClientAccount(_Object):
    """A client account with its key digests and limits."""

    kind: Literal["ClientAccount"]
    spec: AccountSpec


ConfigObject = Service | Version | Rollout | ClientAccount
MODELS: dict[str, type[BaseModel]] = {
    "Service": Service,
    "Version": Version,
    "Rollout": Rollout,
    "ClientAccount": ClientAccount,
}


def parse_object(source: str, document: object) -> Result[ConfigObject, FieldErrors]:
    """Validate one decoded JSON object; errors name it by `source`."""
    kind = document.get("kind") if isinstance(document, dict) else None
    model = MODELS.get(kind) if isinstance(kind, str) else None
    if model is None:
        known = ", ".join(MODELS)
        message = f"kind must be one of {known} (got {kind!r})"
        return Failure(FieldErrors((FieldError(source, "kind", message),)))
    return validate(source, document, model)


def parse_objects(
    source: str, documents: list[object]
) -> Result[list[ConfigObject], FieldErrors]:
    """Validate decoded JSON objects and return all of them or all errors."""
    objects, errors = [], []
    for index, document in enumerate(documents):
        result = parse_object(f"{source}[{index}]", document)
        if isinstance(result, Failure):
            errors.extend(result.failure().errors)
        else:
            objects.append(result.unwrap())
    return Failure(FieldErrors(tuple(errors))) if errors else Success(objects)


def to_document(item: ConfigObject) -> dict[str, Any]:
    """Return the JSON form of an object, without fields that have default values."""
    document = item.model_dump(mode="json", exclude_defaults=True)
    return {"kind": item.kind, "name": item.name, **document}


def to_record(document: dict[str, Any]) -> ConfigRecord:
    """Convert a validated JSON object to its dataclass.

    Processes that adopt a revision use this instead of the pydantic models: the
    publisher has validated the chunk, and the digest proves that it is unchanged.
    """
    return _RECORDS[document["kind"]](document["name"], document)


def _service(name: str, document: dict[str, Any]) -> ServiceConfig:
    spec = dict(document["spec"])
    spec["shares"] = tuple(sorted(spec["shares"].items()))
    if "idempotent_methods" in spec:
        spec["idempotent_methods"] = tuple(spec["idempotent_methods"])
    return ServiceConfig(name=name, **spec)


def _version(name: str, document: dict[str, Any]) -> VersionConfig:
    spec = dict(document["spec"])
    return VersionConfig(name=spec.pop("version"), **spec)


def _rollout(name: str, document: dict[str, Any]) -> RolloutConfig:
    status = document.get("status", {})
    return RolloutConfig(
        uid=status.get("uid", ""),
        name=name,
        phase=status.get("phase", "pending"),
        **document["spec"],
    )


def _account(name: str, document: dict[str, Any]) -> AccountConfig:
    spec = dict(document["spec"])
    for field in ("key_digests", "services"):
        if field in spec:
            spec[field] = tuple(spec[field])
    return AccountConfig(name=name, **spec)


_RECORDS = {
    "Service": _service,
    "Version": _version,
    "Rollout": _rollout,
    "ClientAccount": _account,
}
