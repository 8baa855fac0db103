"""Tests of the admission of streams at a gateway, on a paused clock."""

import asyncio
import unittest
from dataclasses import replace
from unittest.mock import patch

from monsoontack.core.virtualtime import run_in_virtual_time
from monsoontack.gateway.drain_test import ROUTES, Harness
from monsoontack.gateway.job import Job
from monsoontack.gateway.records import GatewayAccount, GatewayConfig, RequestKind
from monsoontack.gateway.rollouts import RolloutManager, ServiceRollout, StoredOrder
from monsoontack.gateway.routes import stream_priorities
from monsoontack.gateway.streamplace import FirstAttempt
from monsoontack.gateway.streams_test import (
    TRAITS,
    engine_script,
    make_forwarder,
    stream_route,
)
from monsoontack.rollout.evidence import EvidenceCounters
from monsoontack.rollout.order import CanaryGate, RolloutOrder
from monsoontack.scheduling.gate import MIN_LOOK_INTERVAL_S
from standins.gatewayfakes import (
    HOME,
    NEAR,
    SERVICE,
    make_job,
    make_route,
    make_server,
)

URGENT = stream_route(name="urgent", priority=0, objective_s=4.0)
OTHER = stream_route(name="other", priority=2, objective_s=10.0)


def serve_jobs(scenario, routes=(URGENT, OTHER), **script):
    async def run():
        scripts = {name: engine_script(**script) for name in ("s1", "s2")}
        forwarder = make_forwarder(scripts, (HOME, NEAR))
        forwarder.configure(GatewayConfig(1, routes, TRAITS))
        return forwarder, await scenario(forwarder)

    return run_in_virtual_time(run())


def new_job(number: int, route) -> Job:
    job = make_job(route, f"id-{number}", 25.0)
    parts = (replace(job.request.prompt_segments[0], segment_id=f"p{number}"),)
    request = replace(job.request, prompt_segments=parts)
    return replace_job(job, request)


def replace_job(job: Job, request) -> Job:
    fields = (job.route, job.account, job.service, job.responder)
    return Job(request, *fields, job.started_at, job.deadline_at)


class AdmissionTest(unittest.TestCase):
    """Streams of a service whose routes have different priorities."""

    def test_less_urgent_streams_wait_at_the_gateway(self):
        """Guards against prompts queued at the engines in a burst, where they delay an
        urgent stream that arrives later."""

        async def scenario(forwarder):
            jobs = [new_job(i, OTHER) for i in range(5)]
            tasks = [asyncio.ensure_future(forwarder.serve(job)) for job in jobs]
            await asyncio.sleep(0.2)
            jobs.append(new_job(9, URGENT))
            tasks.append(asyncio.ensure_future(forwarder.serve(jobs[-1])))
            await asyncio.sleep(0.2)
            sent, waiting = (
                len(forwarder.sender.sent),
                forwarder.admission.own_waiting(),
            )
            await asyncio.gather(*tasks)
            return jobs, sent, waiting

        forwarder, (jobs, sent, waiting) = serve_jobs(scenario)
        self.assertEqual(3, sent)
        self.assertEqual({SERVICE: {2: (3, 24_000)}}, waiting)
        self.assertEqual(["streamed"] * 6, [job.outcome for job in jobs])
        self.assertEqual({}, forwarder.admission.own_waiting())
        usage = forwarder.admission.states[SERVICE].shares
        self.assertEqual(0, usage.in_flight)
        for member in forwarder.fleet.members.values():
            self.assertEqual((0, 0, 0), load_of(member))

    def test_streams_of_one_priority_are_sent_at_once(self):
        """Guards against a change for services whose streams all are alike."""

        async def scenario(forwarder):
            jobs = [new_job(i, OTHER) for i in range(5)]
            tasks = [asyncio.ensure_future(forwarder.serve(job)) for job in jobs]
            await asyncio.sleep(0.1)
            sent = len(forwarder.sender.sent)
            await asyncio.gather(*tasks)
            return sent

        _, sent = serve_jobs(scenario, routes=(OTHER,))
        self.assertEqual(5, sent)

    def test_caller_that_leaves_while_it_waits(self):
        """Guards against a stream that is sent although its caller is gone."""

        async def scenario(forwarder):
            jobs = [new_job(i, OTHER) for i in range(4)]
            tasks = [asyncio.ensure_future(forwarder.serve(job)) for job in jobs]
            await asyncio.sleep(0.1)
            jobs[3].responder.disconnect()
            await asyncio.gather(*tasks)
            return jobs

        forwarder, jobs = serve_jobs(scenario)
        self.assertEqual("caller_gone", jobs[3].outcome)
        self.assertEqual(3, len(forwarder.sender.sent))

    def test_task_that_is_cancelled_leaves_no_load(self):
        """Guards against load that is counted for ever for a stream that was placed
        just before its task was cancelled."""

        async def scenario(forwarder):
            jobs = [new_job(i, OTHER) for i in range(4)]
            tasks = [asyncio.ensure_future(forwarder.serve(job)) for job in jobs]
            begin = FirstAttempt.begin

            def begin_and_cancel(attempt, engines):
                begun = begin(attempt, engines)
                for task in tasks:
                    task.cancel()
                return begun

            with patch.object(FirstAttempt, "begin", begin_and_cancel):
                await asyncio.gather(*tasks, return_exceptions=True)

        forwarder, _ = serve_jobs(scenario)
        for member in forwarder.fleet.members.values():
            self.assertEqual((0, 0, 0), load_of(member))

    def test_stopped_gateway_hands_back_what_waits(self):
        """Guards against streams that wait at a gateway that is being stopped."""

        async def scenario():
            harness = Harness(5.0)
            routes = (*ROUTES[:3], replace(ROUTES[3], priority=0))
            harness.daemon.config_state.apply(GatewayConfig(2, routes))
            sent = [harness.send(f"/stream/{number}") for number in range(10)]
            await asyncio.sleep(0.1)
            draining = asyncio.ensure_future(harness.daemon._drain())
            await asyncio.sleep(0.1)
            found = [(item.status, item.error["code"]) for item in sent[8:]]
            draining.cancel()
            return found, len(harness.ran)

        found, ran = run_in_virtual_time(scenario())
        self.assertEqual([(503, "draining")] * 2, found)
        self.assertEqual(8, ran)


class ChangedEnginesTest(unittest.TestCase):
    """Engines that may be used for a stream, but not as the gate has looked at them."""

    def test_canary_limit_reached_while_streams_begin(self):
        """Guards against streams placed at engines of the other version, which the gate
        has not looked at, when the canary limit is reached within one look."""
        errors = []

        async def scenario(forwarder):
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: errors.append(context))
            for name, place in (("s3", HOME), ("s4", NEAR)):
                server = replace(make_server(name, place), versions=("v2",))
                forwarder.fleet.put(server, False, 0.0)
                forwarder.sender.scripts[name] = engine_script()
            forwarder.rollouts = rollout_with_limit(1.0)
            jobs = [new_job(i, OTHER) for i in range(6)]
            tasks = [asyncio.ensure_future(forwarder.serve(job)) for job in jobs]
            await asyncio.sleep(MIN_LOOK_INTERVAL_S + 0.01)
            sent = [item.server.incarnation for item in forwarder.sender.sent]
            await asyncio.gather(*tasks)
            return jobs, sent

        forwarder, (jobs, sent) = serve_jobs(scenario)
        self.assertEqual([], errors)
        self.assertEqual(["streamed"] * 6, [job.outcome for job in jobs])
        # One of the new version, and one for each engine of the old one.
        self.assertEqual(["s1", "s2"], sorted(set(sent) & {"s1", "s2"}))
        self.assertEqual(3, len(sent))
        for member in forwarder.fleet.members.values():
            self.assertEqual((0, 0, 0), load_of(member))

    def test_stream_whose_begin_fails_does_not_stop_the_others(self):
        """Guards against an error in one stream that keeps all others waiting."""

        async def scenario(forwarder):
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)
            jobs = [new_job(i, OTHER) for i in range(3)]
            begin = FirstAttempt.begin

            def fail_once(attempt, engines):
                if attempt.run.job is jobs[0]:
                    raise RuntimeError("no engine")
                return begin(attempt, engines)

            with patch.object(FirstAttempt, "begin", fail_once):
                await asyncio.gather(*(forwarder.serve(job) for job in jobs))
            return jobs

        _, jobs = serve_jobs(scenario)
        self.assertEqual(["streamed"] * 3, [job.outcome for job in jobs])


def rollout_with_limit(tolerance: float) -> RolloutManager:
    """Return the rollout of version `v2` that may get this many requests."""
    order = RolloutOrder(SERVICE, "v2", 60.0)
    rollouts = RolloutManager("a", "1", 0.1, tolerance, None, None)
    rollouts.by_service[SERVICE] = ServiceRollout(
        StoredOrder("rollouts/s", 1, order),
        CanaryGate(0.0, tolerance),
        EvidenceCounters(),
        0.0,
    )
    return rollouts


class PrioritiesTest(unittest.TestCase):
    """The services for which the admission is in force."""

    def test_priority_of_an_account_replaces_that_of_the_route(self):
        """Guards against an admission that overlooks an account's own priority, or
        that counts routes without streams."""
        call = make_route(RequestKind.ONCE, priority=0)
        accounts = {"k1": GatewayAccount("a"), "k2": GatewayAccount("b", 1)}
        config = GatewayConfig(1, (OTHER, call), TRAITS, accounts=accounts)
        self.assertEqual({SERVICE: frozenset((1, 2))}, stream_priorities(config))
        alike = replace(config, accounts={"k1": GatewayAccount("a")})
        self.assertEqual({SERVICE: frozenset((2,))}, stream_priorities(alike))


def load_of(member):
    return member.in_flight, member.waiting_tokens, member.held_tokens


if __name__ == "__main__":
    unittest.main()
