"""A parts desk that embeds monsoontack's coordination components.

Each function uses one component: the attempt log, the at-most-once ledger,
revisions published under a lease, membership, canary analysis and admission. The
store is `MemoryStore`; several processes that share a store use
`monsoontack.store.http.HttpStore` instead. Run the example with
`python -m examples.embedding.desk`.
"""

import asyncio
import random
from dataclasses import dataclass, field

from returns.result import Success

from monsoontack.admission.admit import Admission
from monsoontack.config.operator import SourceObject, make_proposal, read_head, submit
from monsoontack.config.proposal import is_final, proposal_key
from monsoontack.config.revision import build_view
from monsoontack.config.view import AccountConfig, ConfigView
from monsoontack.controller.publish import PublisherRunner
from monsoontack.core.clock import LoopClock
from monsoontack.core.errors import RunState
from monsoontack.core.records import (
    BackendServer,
    LoadReport,
    Place,
    RequestOutcome,
    ServerState,
    TokenChunk,
    VmRecord,
)
from monsoontack.generation.attempts import AttemptLog
from monsoontack.ledger.records import DispatchResult, ServiceAnswer, ServiceCall
from monsoontack.ledger.service import Ledger
from monsoontack.membership.view import MembershipView
from monsoontack.rollout.analysis import CanaryAnalysis, Finding, detection_threshold
from monsoontack.rollout.evidence import EvidenceCounters, pair_window
from monsoontack.store.api import ObjectStore
from monsoontack.store.leaserunner import LeaseRunner
from monsoontack.store.memory import MemoryStore

AGENT_PLACE = Place("ub-songino", "ulaanbaatar")
WINDOW_S = 5.0


def assemble_answer() -> AttemptLog:
    """Assemble an answer whose first engine failed after two tokens.

    The second attempt repeats a token, and a late chunk of the first attempt arrives.
    """
    log = AttemptLog("generation-1", "v1")
    log.begin_attempt(1)
    log.accept(TokenChunk("generation-1", 1, 0, (11, 12), ("check ", "the ")))
    log.begin_attempt(2)
    log.accept(TokenChunk("generation-1", 2, 1, (12, 13), ("the ", "seal"), "stop"))
    log.accept(TokenChunk("generation-1", 1, 2, (99,), ("late",)))
    return log


@dataclass(slots=True)
class PartHoldDispatcher:
    """Dispatches calls to the program's own backend server, which reserves parts.

    The answer to the first call is lost after the part was reserved.
    """

    reserved: list[str] = field(default_factory=list)

    async def dispatch(
        self,
        call: ServiceCall,
        fence: int,
        latest_start_unix_s: float,
        tried_addresses: set[str],
    ) -> DispatchResult:
        """Reserve one part for each dispatch."""
        self.reserved.append(call.key)
        tried_addresses.add("desk")
        if len(self.reserved) == 1:
            return DispatchResult(RunState.UNKNOWN, None, "answer_lost", "desk")
        answer = ServiceAnswer(200, (), b'{"held": true}')
        return DispatchResult(RunState.RUN, answer, "", "desk")


async def hold_parts(store: ObjectStore, dispatcher: PartHoldDispatcher) -> list[str]:
    """Request each of two holds twice; return the code or status of each answer."""
    ledger = Ledger(store, dispatcher, rng=random.Random(1))
    reported = []
    for key in ("hold-1", "hold-1", "hold-2", "hold-2"):
        body = b'{"part": "seal"}'
        call = ServiceCall("cafe", "holds", "POST", "/holds", (), body, False, key, 2.0)
        answer = await ledger.run(call)
        await ledger.wait_until_settled(1.0)
        reported.append(str(getattr(answer, "code", getattr(answer, "status", ""))))
    return reported


async def publish_objects(store: ObjectStore, documents: list[dict]) -> ConfigView:
    """Publish objects as one revision under the controller lease.

    Return the configuration that this process has in force afterwards.
    """
    clock, rng = LoopClock(), random.Random(2)
    published: asyncio.Future = asyncio.get_running_loop().create_future()
    lease = LeaseRunner.from_name("desk", store, clock, rng)
    publisher = PublisherRunner(
        store,
        clock,
        rng,
        lease.epoch,
        lambda head, chunks: published.set_result(build_view(head, chunks)),
    )
    lease.on_change = lambda epoch: (
        publisher.stop() if epoch is None else publisher.start(epoch, {})
    )
    holding = asyncio.ensure_future(lease.run())
    sources = [SourceObject(f"objects[{i}]", d) for i, d in enumerate(documents)]
    proposal = make_proposal(sources, "desk", rng, unix_s=1.0).unwrap()
    await submit(store, proposal, clock, timeout_s=10.0)
    view = await published
    await wait_until_final(store, proposal_key(proposal["uid"]))
    await lease.release()
    holding.cancel()
    publisher.close()
    return view


async def wait_until_final(store: ObjectStore, key: str) -> None:
    """Wait until the publisher has written the proposal's outcome into the store."""
    version, value = 0, b""
    while not is_final(value):
        stored = (await store.watch(key, version, WINDOW_S)).unwrap()
        if stored is not None:
            version, value = stored.version, stored.value


def track_member_states() -> list[str]:
    """Return the states of an agent whose link fails and recovers, then leaves."""
    agent = VmRecord(
        "vm-1", "agent", "10.1.2.50:7100", "", AGENT_PLACE, service="holds"
    )
    members = MembershipView()
    changes = members.merge_vm_list([agent], now=0.0)
    changes += members.note_link_failure(agent.address, now=1.0)
    changes += members.note_traffic(agent.address, now=2.0)
    changes += members.merge_announcement(agent, incarnation=1, leaving=True, now=3.0)
    return [str(change.state) for change in changes]


def analyse_version(failure_rate: float, windows: int = 60) -> Finding | None:
    """Compare 10 requests to the new version with 90 to the old one in each window."""
    rng = random.Random(3)
    analysis = CanaryAnalysis("v1", "v2", detection_threshold(0.001))
    for number in range(1, windows + 1):
        counters = EvidenceCounters()
        for version, requests, rate in (("v1", 90, 0.01), ("v2", 10, failure_rate)):
            for _ in range(requests):
                failed = rng.random() < rate
                counters.record(RequestOutcome("holds", version, "calls", failed))
        window = pair_window(counters.counts, "holds", "v1", "v2")
        if finding := analysis.update(window, number * WINDOW_S):
            return finding
    return None


def admit_burst(requests: int) -> tuple[int, float]:
    """Return how many requests of a burst are admitted, and the first retry time.

    The retry time is in seconds.
    """
    accounts = {"cafe": AccountConfig("cafe", (), max_concurrent=0)}
    admission, rng = Admission(accounts), random.Random(4)
    server = BackendServer(
        "10.1.2.50:7100", "vm-1", "engine", "desk", ("v1",), AGENT_PLACE
    )
    admitted, retry_s = 0, 0.0
    for _ in range(requests):
        load = LoadReport(running=0, queued=0, slots=16, reported_at=0.0)
        sent = ServerState(server, load, admitted, sent_since_report=admitted)
        result = admission.request("cafe", "desk", [sent], 1.0, rng)
        if isinstance(result, Success):
            admitted += 1
        else:
            retry_s = retry_s or result.failure().retry_after_s
    return admitted, retry_s


OBJECTS = [
    {
        "kind": "Service",
        "name": "holds",
        "spec": {"kind": "service", "shares": {"v1": 100}},
    },
    {
        "kind": "Version",
        "name": "holds.v1",
        "spec": {"service": "holds", "version": "v1"},
    },
]


async def run() -> dict:
    """Use each component once and return the results by title."""
    store, dispatcher = MemoryStore(), PartHoldDispatcher()
    view = await publish_objects(store, OBJECTS)
    head = (await read_head(store)).unwrap()
    log = assemble_answer()
    return {
        "answer": "".join(log.texts),
        "dropped chunks": dict(log.dropped),
        "holds told": await hold_parts(store, dispatcher),
        "holds made": dispatcher.reserved,
        "revision": (view.revision, head.revision, sorted(view.services)),
        "members": track_member_states(),
        "good version": analyse_version(0.01),
        "bad version": analyse_version(0.5),
        "admitted": admit_burst(40),
    }


if __name__ == "__main__":
    for title, value in asyncio.run(run()).items():
        print(f"{title}: {value}")
