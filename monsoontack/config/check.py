"""Validation of a whole configuration, across its objects.

All errors are returned, not only the first. The models of
`monsoontack.config.objects` validate single fields. The input is a `ConfigView`,
which every process already holds, so that publishing needs no second copy of
16,000 client accounts.
"""

from collections.abc import Iterator, Mapping

from monsoontack.config.view import ConfigView, ServiceConfig
from monsoontack.core.errors import FieldError

ENDED_PHASES = frozenset({"complete", "rolled_back"})

Sources = Mapping[tuple[str, str], str]


def check_view(
    view: ConfigView,
    previous: ConfigView | None = None,
    sources: Sources | None = None,
    invalid: frozenset[tuple[str, str]] = frozenset(),
) -> tuple[FieldError, ...]:
    """Return every error of `view` across objects, in the order of its objects.

    `previous` is the published configuration, so that errors can distinguish a
    removed version from one that never existed. `sources` maps (kind, name) to the
    file of an object; an object without a file is named `Kind/name`. `invalid`
    holds (kind, name) of objects that are missing from `view` because their own
    fields are invalid; references to them are not reported as further errors.
    """
    check = _Check(view, previous or ConfigView(), sources or {}, invalid)
    return tuple(
        error
        for check_kind in (
            check.services,
            check.versions,
            check.rollouts,
            check.accounts,
        )
        for error in check_kind()
    )


class _Check:
    """Methods that validate one kind of object each, with their shared inputs."""

    def __init__(
        self,
        view: ConfigView,
        previous: ConfigView,
        sources: Sources,
        invalid: frozenset[tuple[str, str]],
    ):
        self.view = view
        self.previous = previous
        self.sources = sources
        self.invalid = invalid

    def error(self, kind: str, name: str, path: str, message: str) -> FieldError:
        source = self.sources.get((kind, name), f"{kind}/{name}")
        return FieldError(source, path, message)

    def services(self) -> Iterator[FieldError]:
        for service in self.view.services.values():
            yield from self._shares(service)

    def _shares(self, service: ServiceConfig) -> Iterator[FieldError]:
        for version, share in service.shares:
            if fault := self._missing_version(service.name, version):
                path = f"spec.shares.{version}"
                message = f"{fault}, but {share:g}% of new traffic goes to it"
                yield self.error("Service", service.name, path, message)

    def _missing_version(self, service: str, version: str) -> str:
        key = (service, version)
        known = key in self.view.versions
        if known or ("Version", f"{service}.{version}") in self.invalid:
            return ""
        if key in self.previous.versions:
            return f"version {version!r} is in use and must not be removed"
        return f"version {version!r} of service {service!r} does not exist"

    def _has_service(self, name: str) -> bool:
        return name in self.view.services or ("Service", name) in self.invalid

    def versions(self) -> Iterator[FieldError]:
        for version in self.view.versions.values():
            if not self._has_service(version.service):
                name = f"{version.service}.{version.name}"
                message = f"service {version.service!r} does not exist"
                yield self.error("Version", name, "spec.service", message)

    def rollouts(self) -> Iterator[FieldError]:
        active: dict[str, str] = {}
        for rollout in self.view.rollouts.values():
            if not self._has_service(rollout.service):
                message = f"service {rollout.service!r} does not exist"
                yield self.error("Rollout", rollout.name, "spec.service", message)
                continue
            if rollout.phase in ENDED_PHASES:
                continue
            yield from self._rollout_versions(rollout)
            first = active.setdefault(rollout.service, rollout.name)
            if first != rollout.name:
                message = (
                    f"rollout {first!r} of service {rollout.service!r} has not ended"
                )
                yield self.error("Rollout", rollout.name, "spec.service", message)

    def _rollout_versions(self, rollout) -> Iterator[FieldError]:
        for field in ("from_version", "to_version"):
            version = getattr(rollout, field)
            if fault := self._missing_version(rollout.service, version):
                yield self.error("Rollout", rollout.name, f"spec.{field}", fault)
        if rollout.from_version == rollout.to_version:
            message = "must differ from spec.from_version"
            yield self.error("Rollout", rollout.name, "spec.to_version", message)

    def accounts(self) -> Iterator[FieldError]:
        owners: dict[str, str] = {}
        for account in self.view.accounts.values():
            for service in account.services:
                if not self._has_service(service):
                    message = f"service {service!r} does not exist"
                    yield self.error(
                        "ClientAccount", account.name, "spec.services", message
                    )
            for index, digest in enumerate(account.key_digests):
                if digest in owners:
                    path = f"spec.key_digests.{index}"
                    message = (
                        f"key digest {digest[:12]}... is already used by client"
                        f" account {owners[digest]!r}"
                    )
                    yield self.error("ClientAccount", account.name, path, message)
                owners.setdefault(digest, account.name)
