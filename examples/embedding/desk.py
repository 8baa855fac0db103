"""A parts desk that embeds monsoontack's coordination parts.

Each function uses one part: the attempt log, the at-most-once ledger, published
revisions under a lease, membership, canary analysis and admission. The store
is `MemoryStore`; `monsoontack.store.http.HttpStore` takes its place where
several processes share it. Run it with `python -m examples.embedding.desk`.
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

PLACE = Place("ub-songino", "ulaanbaatar")
WINDOW_S = 5.0


def join_attempts() -> AttemptLog:
    """Assemble an answer whose first engine died after two tokens.

    The second attempt repeats a token, and a late chunk of the first arrives.
    """
    log = AttemptLog("generation-1", "v1")
    log.begin_attempt(1)
    log.accept(TokenChunk("generation-1", 1, 0, (11, 12), ("check ", "the ")))
    log.begin_attempt(2)
    log.accept(TokenChunk("generation-1", 2, 1, (12, 13), ("the ", "seal"), "stop"))
    log.accept(TokenChunk("generation-1", 1, 2, (99,), ("late",)))
    return log


@dataclass(slots=True)
class HoldDesk:
    """The embedding program's own path to its backend: it reserves parts.

    The answer of the first call is lost after the part was reserved.
    """

    reserved: list[str] = field(default_factory=list)

    async def dispatch(
        self,
        call: ServiceCall,
        fence: int,
        latest_start_unix_s: float,
        tried_addresses: set[str],
    ) -> DispatchResult:
        """Reserve a part, once for each dispatch."""
        self.reserved.append(call.key)
        tried_addresses.add("desk")
        if len(self.reserved) == 1:
            return DispatchResult(RunState.UNKNOWN, None, "answer_lost", "desk")
        answer = ServiceAnswer(200, (), b'{"held": true}')
        return DispatchResult(RunState.RUN, answer, "", "desk")


async def hold_parts(store: ObjectStore, desk: HoldDesk) -> list[str]:
    """Ask twice for each of two holds; return what the caller is told."""
    ledger = Ledger(store, desk, rng=random.Random(1))
    told = []
    for key in ("hold-1", "hold-1", "hold-2", "hold-2"):
        body = b'{"part": "seal"}'
        call = ServiceCall("cafe", "holds", "POST", "/holds", (), body, False, key, 2.0)
        answer = await ledger.run(call)
        await ledger.wait_until_settled(1.0)
        told.append(str(getattr(answer, "code", getattr(answer, "status", ""))))
    return told


async def publish(store: ObjectStore, documents: list[dict]) -> ConfigView:
    """Publish objects as one revision under the controller lease.

    Returns the configuration as this process has it in force then.
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
    """Wait until the publisher has written the outcome into a proposal."""
    version, value = 0, b""
    while not is_final(value):
        stored = (await store.watch(key, version, WINDOW_S)).unwrap()
        if stored is not None:
            version, value = stored.version, stored.value


def follow_members() -> list[str]:
    """Return the states of an agent whose link breaks and comes back."""
    agent = VmRecord("vm-1", "agent", "10.1.2.50:7100", "", PLACE, service="holds")
    members = MembershipView()
    changes = members.merge_vm_list([agent], now=0.0)
    changes += members.note_link_failure(agent.address, now=1.0)
    changes += members.note_traffic(agent.address, now=2.0)
    changes += members.merge_announcement(agent, incarnation=1, leaving=True, now=3.0)
    return [str(change.state) for change in changes]


def analyze_version(failure_rate: float, windows: int = 60) -> Finding | None:
    """Compare 10 requests of a new version with 90 of the old, per window."""
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
    """Return how many of a burst are admitted, and the first retry time in s."""
    accounts = {"cafe": AccountConfig("cafe", (), max_concurrent=0)}
    admission, rng = Admission(accounts), random.Random(4)
    server = BackendServer("10.1.2.50:7100", "vm-1", "engine", "desk", ("v1",), PLACE)
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
    """Use each part once and return what came out."""
    store, desk = MemoryStore(), HoldDesk()
    view = await publish(store, OBJECTS)
    head = (await read_head(store)).unwrap()
    log = join_attempts()
    return {
        "answer": "".join(log.texts),
        "dropped chunks": dict(log.dropped),
        "holds told": await hold_parts(store, desk),
        "holds made": desk.reserved,
        "revision": (view.revision, head.revision, sorted(view.services)),
        "members": follow_members(),
        "good version": analyze_version(0.01),
        "bad version": analyze_version(0.5),
        "admitted": admit_burst(40),
    }


if __name__ == "__main__":
    for title, value in asyncio.run(run()).items():
        print(f"{title}: {value}")
