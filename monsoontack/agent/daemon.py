"""The agent daemon: sockets, poll loops and signals around `Agent`."""

import asyncio
import signal

import aiohttp
import structlog

from monsoontack.agent.core import Agent
from monsoontack.agent.drain import Phase
from monsoontack.agent.enginehttp import HttpEngine
from monsoontack.agent.operatorhttp import make_operator_server
from monsoontack.agent.polls import poll_cache, poll_load, poll_versions, poll_vm_list
from monsoontack.agent.server import make_server
from monsoontack.agent.servicehttp import HttpService
from monsoontack.settings.models import AgentSettings

HOUSEKEEPING_S = 0.25
STATSD_INTERVAL_S = 10.0
LINK_CLOSE_GRACE_S = 2.0

log = structlog.get_logger("agent")


async def run(settings: AgentSettings) -> None:
    """Run an agent until SIGTERM or SIGINT, then drain and return.

    Returns once no stream or call is unfinished, at the latest a little after
    the drain deadline. Raises OSError if an address cannot be listened on.
    """
    async with aiohttp.ClientSession() as session:
        agent = make_agent(settings, session)
        listen_to_signals(agent)
        server = make_server(agent)
        operator = make_operator_server(agent)
        await server.start()
        work = start_loops(agent, session)
        work.append(asyncio.ensure_future(operator.serve()))
        log.info("agent started", name=settings.name, address=settings.link_address)
        try:
            await serve_until_drained(agent)
            await server.stop(LINK_CLOSE_GRACE_S)
        finally:
            for task in [*work, *agent.tasks]:
                task.cancel()
            await asyncio.gather(*work, *agent.tasks, return_exceptions=True)
        log.info("agent ended", name=settings.name)


def make_agent(settings: AgentSettings, session: aiohttp.ClientSession) -> Agent:
    """Return the agent with its backend server's client."""
    now = asyncio.get_running_loop().time
    url = settings.backend.url
    if settings.backend.kind == "engine":
        return Agent(settings, HttpEngine(session, url), None, now)
    return Agent(settings, None, HttpService(session, url), now)


def start_loops(agent: Agent, session: aiohttp.ClientSession) -> list[asyncio.Task]:
    """Start the poll loops that the agent's kind of backend server needs."""
    loops = [poll_vm_list(agent, session)]
    if agent.engine is not None:
        loops += [poll_load(agent), poll_cache(agent), poll_versions(agent)]
    if agent.settings.statsd_address is not None:
        loops.append(send_counters(agent))
    return [asyncio.ensure_future(loop) for loop in loops]


def listen_to_signals(agent: Agent) -> None:
    """Drain on SIGTERM and SIGINT."""

    def terminate() -> None:
        if agent.drain.terminate(agent.now()):
            agent.apply_phase()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, terminate)


async def serve_until_drained(agent: Agent) -> None:
    """Do the periodic work until the drain has ended."""
    while agent.drain.phase is not Phase.ENDED:
        await asyncio.sleep(HOUSEKEEPING_S)
        now = agent.now()
        agent.perform(agent.streams.expire(now))
        if agent.drain.check(agent.unfinished_count(), now):
            if agent.drain.phase is Phase.HANDING_OVER:
                agent.perform(agent.streams.hand_over(now))
            agent.apply_phase()


async def send_counters(agent: Agent) -> None:
    """Send the counters to statsd at intervals."""
    while True:
        await asyncio.sleep(STATSD_INTERVAL_S)
        agent.counters.flush()
