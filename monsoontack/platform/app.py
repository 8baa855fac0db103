"""Runs a gateway on the platform: connects settings, wire format and store feeds."""

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
    config_rank,
    decode_config,
    decode_order,
    decode_server,
    encode_status,
)
from monsoontack.platform.settings import read_settings, settings_path
from monsoontack.platform.store import PlatformStore
from monsoontack.platform.wire import PlatformWireFormat, keep_alive_s
from monsoontack.store.api import KindObject

log = structlog.get_logger("platform.app")


class ConfigListener:
    """Applies configuration objects of the store to the gateway."""

    def __init__(self, config_state: ConfigState) -> None:
        self.config_state = config_state

    def replace_all(self, objects: tuple[KindObject, ...], revision: int) -> None:
        """Apply a complete list of configuration objects."""
        for item in objects:
            self.changed(item)

    def changed(self, item: KindObject) -> None:
        """Apply a changed object; ignore other names and unreadable objects."""
        config = decode_config(item.spec) if item.name == CONFIG_NAME else None
        if config is not None:
            self.config_state.apply(config)

    def removed(self, name: str, revision: int) -> None:
        """Keep the current configuration; operators replace it but never remove it."""
        log.warning("configuration object removed", name=name, revision=revision)

    def confirmed(self, at: float) -> None:
        """Record that the configuration was current at the time `at`."""
        self.config_state.confirm(at)


class ServersListener:
    """Applies the store's records of backend servers to the gateway's fleet."""

    def __init__(self, fleet: BackendFleet, regions: dict[str, str]) -> None:
        self.fleet = fleet
        self.regions = regions

    def replace_all(self, objects: tuple[KindObject, ...], revision: int) -> None:
        """Replace the fleet by a complete list of servers."""
        decoded = [decode_server(i.name, i.spec, self.regions) for i in objects]
        servers = [item for item in decoded if item is not None]
        leaving = {server.incarnation for server, is_leaving in servers if is_leaving}
        self.fleet.replace_all([server for server, _ in servers], leaving, self.now())

    def changed(self, item: KindObject) -> None:
        """Apply a changed record; remove the server if the record is unreadable."""
        decoded = decode_server(item.name, item.spec, self.regions)
        if decoded is None:
            self.fleet.remove(item.name)
        else:
            self.fleet.put(*decoded, self.now())

    def removed(self, name: str, revision: int) -> None:
        """Record that the server's record was removed from the store."""
        self.fleet.record_removed(name, self.now())

    def confirmed(self, at: float) -> None:
        """Ignore confirmations: a server is used until a change says otherwise."""

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()


class SettingsFile:
    """Detects changes of the settings file and validates the new content."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.last_stat = self._stat()

    def _stat(self) -> tuple[int, int] | None:
        try:
            stat = os.stat(self.path)
        except OSError:
            # The file may be missing while it is replaced; the next check finds it.
            return None
        return stat.st_mtime_ns, stat.st_size

    def reload(self, daemon: GatewayDaemon) -> None:
        """Apply the bounds of a changed file; changed addresses need a restart."""
        current_stat = self._stat()
        if current_stat is None or current_stat == self.last_stat:
            return
        self.last_stat = current_stat
        result = read_settings(self.path)
        if isinstance(result, Failure):
            errors = [str(error) for error in result.failure().errors]
            log.error(
                "changed settings refused, the previous ones stay in force",
                errors=errors,
            )
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
        settings, PlatformWireFormat(), keep_alive_s, random.Random()
    )
    daemon.log_writer = writer
    store = PlatformStore(settings.store_address)
    store.lineage.on_restored = daemon.store_restored
    servers = ServersListener(daemon.fleet, regions)
    config = ConfigListener(daemon.config_state)
    daemon.follow_kind(store, CONFIG_KIND, config, config_rank)
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
    daemon.join_cluster(store, replace(store, allow_stale_reads=True))
    file = SettingsFile(path)
    daemon.reload = lambda: file.reload(daemon)
    await daemon.run()
    return 0


def main() -> int:
    """Run the gateway of this VM."""
    return uvloop.run(run(settings_path()))
