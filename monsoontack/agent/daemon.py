"""The agent daemon: connects `Agent` to sockets, poll loops and signals."""

import asyncio
import signal

import aiohttp
import structlog

from monsoontack.agent.connector import CheckedConnector
from monsoontack.agent.core import Agent
from monsoontack.agent.drain import Phase
from monsoontack.agent.enginehttp import HttpEngine
from monsoontack.agent.operatorhttp import make_operator_server
from monsoontack.agent.polls import (
    poll_cache_events,
    poll_load,
    poll_versions,
    poll_vm_list,
)
from monsoontack.agent.server import make_server
from monsoontack.agent.servicehttp import HttpService
from monsoontack.core.callbacks import log_loop_errors
from monsoontack.settings.models import AgentSettings

HOUSEKEEPING_INTERVAL_S = 0.25
STATSD_INTERVAL_S = 10.0
LINK_CLOSE_TIMEOUT_S = 2.0

log = structlog.get_logger("agent")


async def run(settings: AgentSettings) -> None:
    """Run an agent until SIGTERM or SIGINT, then drain and return.

    Returns as soon as all streams and calls are finished, or a few seconds after the
    drain deadline. Raises OSError if the agent cannot listen on an address.
    """
    async with open_session() as session:
        agent = make_agent(settings, session)
        install_signal_handlers(agent)
        server = make_server(agent)
        operator = make_operator_server(agent)
        await server.start()
        background_tasks = start_loops(agent, session)
        background_tasks.append(asyncio.ensure_future(operator.serve()))
        log.info("agent started", name=settings.name, address=settings.link_address)
        try:
            await serve_until_drained(agent)
            await server.stop(LINK_CLOSE_TIMEOUT_S)
        finally:
            for task in [*background_tasks, *agent.tasks]:
                task.cancel()
            await asyncio.gather(
                *background_tasks, *agent.tasks, return_exceptions=True
            )
        log.info("agent ended", name=settings.name)


def open_session() -> aiohttp.ClientSession:
    """Return a session for the backend server and the list of VMs.

    Each request gets a connection of its own: responses have no request id, so a
    server that writes an earlier one again could not be told from one that answers.
    """
    connector = CheckedConnector(force_close=True)
    return aiohttp.ClientSession(connector=connector)


def make_agent(settings: AgentSettings, session: aiohttp.ClientSession) -> Agent:
    """Return an agent with a client for its kind of backend server."""
    now = asyncio.get_running_loop().time
    url = settings.backend.url
    if settings.backend.kind == "engine":
        backend = HttpEngine(session, url)
        agent = Agent(settings, backend, None, now)
    else:
        backend = HttpService(session, url)
        agent = Agent(settings, None, backend, now)
    backend.observer = agent.statements
    return agent


def start_loops(agent: Agent, session: aiohttp.ClientSession) -> list[asyncio.Task]:
    """Start the background loops that the settings call for and return their tasks."""
    loops = [poll_vm_list(agent, session)]
    if agent.engine is not None:
        loops += [poll_load(agent), poll_cache_events(agent), poll_versions(agent)]
    if agent.settings.statsd_address is not None:
        loops.append(send_counters(agent))
    return [asyncio.ensure_future(loop) for loop in loops]


def install_signal_handlers(agent: Agent) -> None:
    """Start the drain on SIGTERM or SIGINT."""

    def terminate() -> None:
        if agent.drain.terminate(agent.now()):
            agent.apply_phase()

    loop = asyncio.get_running_loop()
    log_loop_errors(loop, lambda: agent.counters.add("loop_errors"))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, terminate)


async def serve_until_drained(agent: Agent) -> None:
    """Expire streams and advance the drain periodically until the drain has ended."""
    while agent.drain.phase is not Phase.ENDED:
        await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
        now = agent.now()
        agent.perform(agent.streams.expire(now))
        if agent.drain.advance(agent.unfinished_count(), now):
            if agent.drain.phase is Phase.HANDING_OVER:
                agent.perform(agent.streams.hand_over(now))
            agent.apply_phase()


async def send_counters(agent: Agent) -> None:
    """Send the counters to statsd periodically."""
    while True:
        await asyncio.sleep(STATSD_INTERVAL_S)
        agent.counters.flush()
