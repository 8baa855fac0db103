"""Poll loops of the agent: engine load, cache events, versions, VM list."""

import asyncio

import aiohttp
import structlog
from returns.result import Failure, Success

from monsoontack.agent.core import Agent
from monsoontack.core.rawjson import load_rows
from monsoontack.core.records import LoadReport
from monsoontack.membership.view import FLEET_READS_PER_S

CACHE_EVENTS_POLL_INTERVAL_S = 1.0
VERSIONS_POLL_INTERVAL_S = 2.0
VM_LIST_TIMEOUT_S = 5.0
VM_LIST_MIN_POLL_INTERVAL_S = 1.0

log = structlog.get_logger("agent")


async def poll_load(agent: Agent) -> None:
    """Read the engine's load once per heartbeat; log when reachability changes."""
    reachable = True
    while True:
        await wait_until_wanted(agent)
        match await agent.engine.read_load():
            case Success(load):
                reported_at = agent.now() - load.age_s
                agent.engine_view.load = LoadReport(
                    load.running, load.queued, load.slots, reported_at
                )
                if not reachable:
                    log.info("engine reachable again")
                    agent.engine_view.reset_cache()
                reachable = True
            case Failure(failure):
                if reachable:
                    log.warning("engine unreachable", reason=failure.message)
                reachable = False
        await asyncio.sleep(agent.settings.heartbeat_s)


async def wait_until_wanted(agent: Agent) -> None:
    """Return once the engine is not in a time for which it wants no requests."""
    while agent.statements.is_waiting():
        await asyncio.sleep(agent.settings.heartbeat_s)


async def poll_cache_events(agent: Agent) -> None:
    """Read new cache events; the next frame of each link includes them."""
    while True:
        await wait_until_wanted(agent)
        result = await agent.engine.read_cache_events(agent.engine_view.cache_sequence)
        agent.engine_view.add_cache_events(result.value_or([]))
        await asyncio.sleep(CACHE_EVENTS_POLL_INTERVAL_S)


async def poll_versions(agent: Agent) -> None:
    """Read the loaded versions; a change is sent to entries at once."""
    while True:
        await wait_until_wanted(agent)
        await agent.read_versions()
        await asyncio.sleep(VERSIONS_POLL_INTERVAL_S)


async def poll_vm_list(agent: Agent, session: aiohttp.ClientSession) -> None:
    """Read the VM list; start to leave when it marks this VM as leaving."""
    while True:
        vms = await read_vm_list(session, agent.settings.vm_list_url)
        own = [vm for vm in vms if vm.get("vm") == agent.settings.vm]
        if any(vm.get("state") == "leaving" for vm in own):
            if agent.drain.mark_vm_leaving(agent.now()):
                agent.apply_phase()
        await asyncio.sleep(vm_list_poll_interval_s(len(vms)))


def vm_list_poll_interval_s(fleet_size: int) -> float:
    """Return the poll interval that keeps the fleet below 50 reads a second.

    The mean is `FLEET_READS_PER_S`; random peaks reach 50 within single seconds.
    """
    return max(VM_LIST_MIN_POLL_INTERVAL_S, fleet_size / FLEET_READS_PER_S)


async def read_vm_list(session: aiohttp.ClientSession, url: str) -> list[dict]:
    """Return the records of the VM list, or none if it cannot be read."""
    timeout = aiohttp.ClientTimeout(total=VM_LIST_TIMEOUT_S)
    try:
        async with session.get(f"{url.rstrip('/')}/vms", timeout=timeout) as response:
            response.raise_for_status()
            rows, _ = load_rows(await response.read(), "vms")
            return [vm for vm in rows if isinstance(vm, dict)]
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
        return []
