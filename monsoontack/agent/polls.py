"""Poll loops of the agent: engine load, cache events, versions, VM list."""

import asyncio

import aiohttp
import structlog
from returns.result import Failure, Success

from monsoontack.agent.core import Agent
from monsoontack.core.records import LoadReport
from monsoontack.membership.view import FLEET_READS_PER_S

CACHE_INTERVAL_S = 1.0
VERSIONS_INTERVAL_S = 2.0
VM_LIST_TIMEOUT_S = 5.0
VM_LIST_MIN_INTERVAL_S = 1.0

log = structlog.get_logger("agent")


async def poll_load(agent: Agent) -> None:
    """Read the engine's load once per heartbeat; log when it goes or returns."""
    reachable = True
    while True:
        match await agent.engine.read_load():
            case Success(load):
                reported_at = agent.now() - load.age_s
                agent.view.load = LoadReport(
                    load.running, load.queued, load.slots, reported_at
                )
                if not reachable:
                    log.info("engine reachable again")
                    agent.view.reset_cache()
                reachable = True
            case Failure(failure):
                if reachable:
                    log.warning("engine unreachable", reason=failure.message)
                reachable = False
        await asyncio.sleep(agent.settings.heartbeat_s)


async def poll_cache(agent: Agent) -> None:
    """Read new cache events; they go out with the next frame."""
    while True:
        result = await agent.engine.read_cache_events(agent.view.cache_sequence)
        agent.view.add_cache_events(result.value_or([]))
        await asyncio.sleep(CACHE_INTERVAL_S)


async def poll_versions(agent: Agent) -> None:
    """Read which versions are loaded; changes go out at once."""
    while True:
        await agent.read_versions()
        await asyncio.sleep(VERSIONS_INTERVAL_S)


async def poll_vm_list(agent: Agent, session: aiohttp.ClientSession) -> None:
    """Read the VM list and leave once it shows this VM as leaving."""
    while True:
        vms = await read_vm_list(session, agent.settings.vm_list_url)
        own = [vm for vm in vms if vm.get("vm") == agent.settings.vm]
        if any(vm.get("state") == "leaving" for vm in own):
            if agent.drain.vm_leaves(agent.now()):
                agent.apply_phase()
        await asyncio.sleep(vm_list_interval_s(len(vms)))


def vm_list_interval_s(fleet_size: int) -> float:
    """Return the poll interval that keeps the fleet below 50 reads a second."""
    return max(VM_LIST_MIN_INTERVAL_S, fleet_size / FLEET_READS_PER_S)


async def read_vm_list(session: aiohttp.ClientSession, url: str) -> list[dict]:
    """Return the lines of the VM list; none while it cannot be read."""
    timeout = aiohttp.ClientTimeout(total=VM_LIST_TIMEOUT_S)
    try:
        async with session.get(f"{url.rstrip('/')}/vms", timeout=timeout) as response:
            response.raise_for_status()
            document = await response.json()
            return [dict(vm) for vm in document["vms"]]
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError):
        return []
