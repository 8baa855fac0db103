"""Runs a gateway on the platform: settings, wire format and feeds wired together."""

import asyncio
import os
import random
import sys
from dataclasses import replace
from pathlib import Path

import structlog
import uvloop
from returns.result import Failure

from monsoontack.core.boundedlog import configure_bounded_logs
from monsoontack.gateway.configstate import ConfigState
from monsoontack.gateway.daemon import GatewayDaemon
from monsoontack.gateway.fleet import BackendFleet
from monsoontack.gateway.rollouts import RolloutManager
from monsoontack.platform.objects import (
    CONFIG_KIND,
    CONFIG_NAME,
    ROLLOUTS_KIND,
    SERVERS_KIND,
    decode_config,
    decode_order,
    decode_server,
    encode_status,
)
from monsoontack.platform.settings import read_settings, settings_path
from monsoontack.platform.store import PlatformStore
from monsoontack.platform.wire import PlatformWire, keep_alive_s
from monsoontack.store.api import KindObject

log = structlog.get_logger("platform.app")


class ConfigListener:
    """Passes configurations on to the gateway's knowledge."""

    def __init__(self, config_state: ConfigState) -> None:
        self.config_state = config_state

    def replace_all(self, objects: tuple[KindObject, ...], revision: int) -> None:
        """Take over a list."""
        for item in objects:
            self.changed(item)

    def changed(self, item: KindObject) -> None:
        """Take over a changed object."""
        config = decode_config(item.spec) if item.name == CONFIG_NAME else None
        if config is not None:
            self.config_state.apply(config)

    def removed(self, name: str, revision: int) -> None:
        """Keep the configuration in force; operators replace and never remove it."""
        log.warning("configuration object removed", name=name, revision=revision)

    def confirmed(self, at: float) -> None:
        """Note that the configuration was current at `at`."""
        self.config_state.confirm(at)


class ServersListener:
    """Passes entries of backend servers on to the gateway's fleet."""

    def __init__(self, fleet: BackendFleet, regions: dict[str, str]) -> None:
        self.fleet = fleet
        self.regions = regions

    def replace_all(self, objects: tuple[KindObject, ...], revision: int) -> None:
        """Take over a list."""
        found = [decode_server(i.name, i.spec, self.regions) for i in objects]
        known = [item for item in found if item is not None]
        leaving = {server.incarnation for server, leaves in known if leaves}
        self.fleet.replace_all([server for server, _ in known], leaving, self.now())

    def changed(self, item: KindObject) -> None:
        """Take over a changed entry."""
        found = decode_server(item.name, item.spec, self.regions)
        if found is None:
            self.fleet.remove(item.name)
        else:
            self.fleet.put(*found, self.now())

    def removed(self, name: str, revision: int) -> None:
        """Take over that an entry is gone."""
        self.fleet.record_removed(name, self.now())

    def confirmed(self, at: float) -> None:
        """Servers are used as long as nothing says otherwise."""

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()


class SettingsFile:
    """Notices changes of the settings file and checks its new content."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.stamp = self._stamp()

    def _stamp(self) -> tuple[int, int] | None:
        try:
            found = os.stat(self.path)
        except OSError:
            # Between two writes the file may be away; the next look finds it.
            return None
        return found.st_mtime_ns, found.st_size

    def reload(self, daemon: GatewayDaemon) -> None:
        """Take over the bounds of a changed file; addresses need a restart."""
        stamp = self._stamp()
        if stamp is None or stamp == self.stamp:
            return
        self.stamp = stamp
        result = read_settings(self.path)
        if isinstance(result, Failure):
            errors = [str(error) for error in result.failure().errors]
            log.error("changed settings refused, the old ones stay", errors=errors)
            return
        settings, _ = result.unwrap()
        daemon.apply_settings(settings)


async def run(path: Path) -> int:
    """Run a gateway with the settings at `path`; return the exit status."""
    result = read_settings(path)
    if isinstance(result, Failure):
        for error in result.failure().errors:
            print(f"error: {error}", file=sys.stderr)
        return 2
    settings, regions = result.unwrap()
    writer = configure_bounded_logs(settings.name)
    daemon = GatewayDaemon.from_settings(
        settings, PlatformWire(), keep_alive_s, random.Random()
    )
    daemon.log_writer = writer
    store = PlatformStore(settings.store_address)
    servers = ServersListener(daemon.fleet, regions)
    config = ConfigListener(daemon.config_state)
    daemon.follow_kind(store, CONFIG_KIND, config)
    daemon.follow_kind(store, SERVERS_KIND, servers)
    rollouts = RolloutManager(
        settings.name,
        f"{random.getrandbits(32):08x}",
        settings.canary_share,
        settings.canary_tolerance,
        decode_order,
        encode_status,
    )
    daemon.follow_rollouts(store, store, ROLLOUTS_KIND, rollouts)
    daemon.join_cluster(store, replace(store, may_be_old=True))
    file = SettingsFile(path)
    daemon.reload = lambda: file.reload(daemon)
    await daemon.run()
    return 0


def main() -> int:
    """Run the gateway of this VM."""
    return uvloop.run(run(settings_path()))
