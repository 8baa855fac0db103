"""State machine that applies proposals under the controller lease.

The publisher reads the head, seals it with its own lease epoch, and then processes
proposals in the order of their keys: it writes the chunks that the next revision
needs and publishes them with one conditional update of the head. The status of a
refused proposal lists all its errors.

After any failure (an outage, a lost response, a conflict) the publisher reads the
head again and continues from there. This is safe, because all steps can be repeated:

* The head names the proposal that it applies. The status of that proposal is written
  before the next revision, so no proposal is applied twice.
* Sealing makes the head updates of publishers with an older epoch fail.
* A refusal is written only if the head is unchanged after the proposal was read, so
  a publisher whose lease has expired cannot refuse a proposal on the basis of an
  outdated revision.
* A chunk that already exists is written again. This raises its version, so that
  another publisher's removal of unreferenced chunks (`monsoontack.config.sweep`)
  fails.
"""

import random
from collections.abc import Callable
from dataclasses import asdict, replace

from returns.result import Failure, Success

from monsoontack.config import sweep
from monsoontack.config.operations import (
    Create,
    Delete,
    Get,
    List,
    Operation,
    Update,
    failures,
    retry_delay_s,
)
from monsoontack.config.proposal import (
    PROPOSAL_PREFIX,
    Accepted,
    Refused,
    decide,
    is_final,
    parse_proposal,
    proposal_key,
)
from monsoontack.config.publisher_state import (
    Action,
    DecidedProposal,
    Event,
    Execute,
    LeaseAcquired,
    LeaseLost,
    OperationResults,
    Phase,
    Published,
    PublisherState,
    Sleep,
    SleepEnded,
    StepDown,
)
from monsoontack.config.revision import (
    HEAD_KEY,
    Head,
    chunk_key,
    decode_head,
    encode_head,
    encode_json,
    load_chunk,
)
from monsoontack.core.rawjson import load_document
from monsoontack.store.api import Conflict, NotFound, StoredObject

POLL_INTERVAL_S = 1.0
RETRY_DELAY_S = 0.5
FINISHED_PROPOSAL_RETENTION_S = 600.0


Step = tuple[PublisherState, tuple[Action, ...]]


def step(state: PublisherState, event: Event, now: float, rng: random.Random) -> Step:
    """Return the next state and the actions that `event` causes."""
    match event:
        case LeaseAcquired(epoch, chunks):
            initial = PublisherState(epoch=epoch, ticket=state.ticket, chunks=chunks)
            return _read_head(initial)
        case LeaseLost():
            return PublisherState(ticket=state.ticket + 1), ()
        case OperationResults(ticket, results) if ticket == state.ticket:
            return _HANDLERS[state.phase](state, results, now, rng)
        case SleepEnded(ticket) if ticket == state.ticket:
            return _read_head(state)
    return state, ()


def _execute(state: PublisherState, phase: Phase, *operations: Operation) -> Step:
    state = replace(state, phase=phase, ticket=state.ticket + 1)
    return state, (Execute(state.ticket, operations),)


def _sleep(state: PublisherState, delay_s: float) -> Step:
    state = replace(state, phase=Phase.SLEEP, ticket=state.ticket + 1, decided=None)
    return state, (Sleep(state.ticket, delay_s),)


def _recover(state: PublisherState, errors: list, rng: random.Random) -> Step:
    """Start again from reading the head, after a randomized delay."""
    delay_s = retry_delay_s(errors, RETRY_DELAY_S) * rng.uniform(0.5, 1.5)
    return _sleep(state, delay_s)


def _read_head(state: PublisherState) -> Step:
    return _execute(replace(state, decided=None), Phase.HEAD, Get(HEAD_KEY))


def _on_head(state, results, now, rng) -> Step:
    (result,) = results
    if isinstance(result, Failure):
        if not isinstance(result.failure(), NotFound):
            return _recover(state, [result.failure()], rng)
        initial_head = Head(0, state.epoch)
        state = replace(state, head=initial_head, head_version=0)
        return _execute(state, Phase.SEAL, Create(HEAD_KEY, encode_head(initial_head)))
    stored = result.unwrap()
    head = decode_head(stored.value)
    if head.lease_epoch > state.epoch:
        return replace(state, phase=Phase.IDLE), (StepDown(head.lease_epoch),)
    state = replace(state, head=head, head_version=stored.version)
    if head.lease_epoch == state.epoch:
        return _load_chunks(state)
    state = replace(state, head=replace(head, lease_epoch=state.epoch))
    value = encode_head(state.head)
    return _execute(state, Phase.SEAL, Update(HEAD_KEY, value, stored.version))


def _on_seal(state, results, now, rng) -> Step:
    (result,) = results
    if isinstance(result, Failure):
        return _recover(state, failures(results), rng)
    return _load_chunks(replace(state, head_version=result.unwrap().version))


def _load_chunks(state: PublisherState) -> Step:
    known = {
        digest: state.chunks[digest]
        for digest in state.head.chunks.values()
        if digest in state.chunks
    }
    state = replace(state, chunks=known)
    missing = sorted(
        {digest for digest in state.head.chunks.values() if digest not in known}
    )
    if not missing:
        return _complete_proposal(state)
    return _execute(
        state, Phase.CHUNKS, *(Get(chunk_key(digest)) for digest in missing)
    )


def _on_chunks(state, results, now, rng) -> Step:
    names = {chunk_key(digest): name for name, digest in state.head.chunks.items()}
    loaded = {}
    for result in results:
        if isinstance(result, Success):
            stored = result.unwrap()
            digest = state.head.chunks[names[stored.key]]
            loaded[digest] = load_chunk(names[stored.key], stored.value)
    state = replace(state, chunks={**state.chunks, **loaded})
    if errors := failures(results):
        return _recover(state, errors, rng)
    return _complete_proposal(state)


def _complete_proposal(state: PublisherState) -> Step:
    """Write the outcome into the status of the head's proposal if it is not there."""
    if state.head.proposal in ("", state.completed_uid):
        return _list_proposals(state)
    return _execute(state, Phase.FINISH, Get(proposal_key(state.head.proposal)))


def _on_finish(state, results, now, rng) -> Step:
    (result,) = results
    if isinstance(result, Failure):
        if isinstance(result.failure(), NotFound):
            return _list_proposals(replace(state, completed_uid=state.head.proposal))
        return _recover(state, failures(results), rng)
    stored = result.unwrap()
    value = _with_status(stored, _published_status(state))
    if value == stored.value:
        return _list_proposals(replace(state, completed_uid=state.head.proposal))
    return _execute(
        state, Phase.FINISH_WRITE, Update(stored.key, value, stored.version)
    )


def _on_finish_write(state, results, now, rng) -> Step:
    (result,) = results
    if isinstance(result, Failure):
        return _recover(state, failures(results), rng)
    return _list_proposals(replace(state, completed_uid=state.head.proposal))


def _published_status(state: PublisherState) -> dict:
    return {"phase": "Published", "revision": state.head.revision}


def _with_status(stored: StoredObject, status: dict) -> bytes:
    """Return a proposal's value with `status`, even if the proposal is malformed."""
    uid = stored.key.removeprefix(PROPOSAL_PREFIX)
    try:
        document = load_document(stored.value)
    except ValueError:
        document = None
    if not isinstance(document, dict):
        document = {"uid": uid}
    return encode_json({**document, "status": status})


def _list_proposals(state: PublisherState) -> Step:
    return _execute(state, Phase.LIST, List(PROPOSAL_PREFIX))


def _on_list(state, results, now, rng) -> Step:
    (result,) = results
    if isinstance(result, Failure):
        return _recover(state, failures(results), rng)
    listed = result.unwrap()
    stored = next((item for item in listed if not is_final(item.value)), None)
    if stored is not None:
        return _decide(state, stored)
    versions_since = {
        item.key: (item.version, state.finished_proposals.get(item.key, (0, now))[1])
        for item in listed
    }
    state = replace(state, finished_proposals=versions_since)
    return _clean_up(state, now)


def _decide(state: PublisherState, stored: StoredObject) -> Step:
    parsed = parse_proposal(stored.key, stored.value)
    if isinstance(parsed, Failure):
        outcome = Refused(parsed.failure().errors)
    else:
        outcome = decide(parsed.unwrap(), state.head, state.chunks, state.epoch)
    state = replace(state, decided=DecidedProposal(stored, outcome))
    if isinstance(outcome, Accepted) and outcome.changed:
        puts = [
            Create(chunk_key(digest), c.value) for digest, c in outcome.chunks.items()
        ]
        return _execute(state, Phase.PUT, *puts) if puts else _publish(state)
    return _execute(state, Phase.VERIFY, Get(HEAD_KEY))


def _on_verify(state, results, now, rng) -> Step:
    (result,) = results
    if isinstance(result, Failure):
        return _recover(state, failures(results), rng)
    if result.unwrap().version != state.head_version:
        return _read_head(state)
    decided = state.decided
    value = _with_status(decided.stored, _outcome_status(state))
    return _execute(
        state, Phase.STATUS, Update(decided.stored.key, value, decided.stored.version)
    )


def _outcome_status(state: PublisherState) -> dict:
    outcome = state.decided.outcome
    if isinstance(outcome, Accepted):
        return _published_status(state)
    return {
        "phase": "Refused",
        "revision": state.head.revision,
        "errors": [asdict(error) for error in outcome.errors],
        "conflicts": [
            {**asdict(item), "message": item.describe()} for item in outcome.conflicts
        ],
    }


def _on_status(state, results, now, rng) -> Step:
    (result,) = results
    if isinstance(result, Failure):
        return _recover(state, failures(results), rng)
    return _list_proposals(state)


def _on_put(state, results, now, rng) -> Step:
    errors = failures(results)
    if any(not isinstance(error, Conflict) for error in errors):
        return _recover(state, errors, rng)
    existing = [error.current for error in errors if error.current is not None]
    if len(existing) < len(errors):
        return _recover(state, errors, rng)
    rewrites = [Update(item.key, item.value, item.version) for item in existing]
    if rewrites:
        return _execute(state, Phase.PUT, *rewrites)
    return _publish(state)


def _publish(state: PublisherState) -> Step:
    value = encode_head(state.decided.outcome.head)
    return _execute(state, Phase.PUBLISH, Update(HEAD_KEY, value, state.head_version))


def _on_publish(state, results, now, rng) -> Step:
    (result,) = results
    if isinstance(result, Failure):
        # If the response was lost, the head that is read next shows whether the
        # update took effect.
        return _recover(state, failures(results), rng)
    outcome = state.decided.outcome
    known = {**state.chunks, **outcome.chunks}
    chunks = {digest: known[digest] for digest in outcome.head.chunks.values()}
    state = replace(
        state,
        head=outcome.head,
        head_version=result.unwrap().version,
        chunks=chunks,
        decided=None,
    )
    state, actions = _complete_proposal(state)
    return state, (Published(state.head, chunks), *actions)


def _clean_up(state: PublisherState, now: float) -> Step:
    """Remove expired proposals. Without any, sweep chunks if due, else wait."""
    expired = [
        Delete(key, version)
        for key, (version, since) in state.finished_proposals.items()
        if now - since >= FINISHED_PROPOSAL_RETENTION_S
    ]
    if expired:
        return _execute(state, Phase.REMOVE, *expired)
    if sweep.is_due(state.sweep, now):
        return _execute(
            state, Phase.SWEEP_LIST, List(sweep.current_key_prefix(state.sweep))
        )
    return _sleep(state, POLL_INTERVAL_S)


def _on_remove(state, results, now, rng) -> Step:
    # The results are ignored, because a later cleanup repeats failed deletes.
    return _sleep(state, POLL_INTERVAL_S)


def _on_sweep_list(state, results, now, rng) -> Step:
    (result,) = results
    if isinstance(result, Failure):
        return _recover(state, failures(results), rng)
    swept = sweep.record_list(state.sweep, result.unwrap(), now)
    return _execute(replace(state, sweep=swept), Phase.SWEEP_HEAD, Get(HEAD_KEY))


def _on_sweep_head(state, results, now, rng) -> Step:
    (result,) = results
    if isinstance(result, Failure):
        return _recover(state, failures(results), rng)
    if result.unwrap().version != state.head_version:
        return _read_head(state)
    swept, deletes = sweep.choose_deletes(state.sweep, state.head, now)
    state = replace(state, sweep=swept)
    if not deletes:
        return _sleep(state, POLL_INTERVAL_S)
    return _execute(state, Phase.SWEEP_DELETE, *deletes)


_HANDLERS: dict[Phase, Callable[..., Step]] = {
    Phase.HEAD: _on_head,
    Phase.SEAL: _on_seal,
    Phase.CHUNKS: _on_chunks,
    Phase.FINISH: _on_finish,
    Phase.FINISH_WRITE: _on_finish_write,
    Phase.LIST: _on_list,
    Phase.VERIFY: _on_verify,
    Phase.STATUS: _on_status,
    Phase.PUT: _on_put,
    Phase.PUBLISH: _on_publish,
    Phase.REMOVE: _on_remove,
    Phase.SWEEP_LIST: _on_sweep_list,
    Phase.SWEEP_HEAD: _on_sweep_head,
    Phase.SWEEP_DELETE: _on_remove,
}
