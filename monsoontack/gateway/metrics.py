"""Counters and latency histograms of a gateway, in the Prometheus text format.

The number of label values is bounded: kinds, outcomes and services come from the
configuration, never from a caller.
"""

from dataclasses import dataclass, field

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from monsoontack.admission.serverstatement import ServerStatement
from monsoontack.routing.calltimes import CallTimes
from monsoontack.routing.enginespeeds import EngineSpeeds

ANSWER_BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0, 25.0)
GAP_BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.5, 0.7, 1.0, 2.0, 5.0)


@dataclass(slots=True, repr=False)
class GatewayMetrics:
    """All metrics of one gateway process."""

    registry: CollectorRegistry = field(default_factory=CollectorRegistry)
    requests: Counter = None
    sends: Counter = None
    bad_requests: Counter = None
    refused_input: Counter = None
    answer_s: Histogram = None
    first_event_s: Histogram = None
    worst_gap_s: Histogram = None
    in_progress: Gauge = None
    config_version: Gauge = None
    config_age_s: Gauge = None
    limited_sends: Counter = None
    engine_crashes: Counter = None
    server_statements: Counter = None
    domain_doubts: Counter = None
    paced_starts: Counter = None
    doubted_domains: Gauge = None
    paced_servers: Gauge = None
    limited_servers: Gauge = None
    waiting_servers: Gauge = None
    blocked_prompt_parts: Gauge = None
    blocked_requests: Gauge = None
    servers: Gauge = None
    prefill_s: Gauge = None
    step_s: Gauge = None
    call_s: Gauge = None
    store_feed_up: Gauge = None
    store_restorations: Counter = None
    load_view_age_s: Gauge = None
    log_lines_dropped: Gauge = None
    admission_wait_s: Histogram = None
    admission_refusals: Counter = None
    waiting_streams: Gauge = None
    accounted_bytes: Gauge = None
    account_limit_bytes: Gauge = None
    resident_bytes: Gauge = None
    caller_connections: Gauge = None
    longest_input_s: Gauge = None
    loop_delay_s: Gauge = None
    loop_errors: Counter = None

    @classmethod
    def create(cls) -> "GatewayMetrics":
        """Return metrics that are registered in a new registry."""
        metrics = cls()
        registry = metrics.registry
        metrics.requests = Counter(
            "monsoontack_requests",
            "Requests by kind and outcome",
            ("kind", "outcome"),
            registry=registry,
        )
        metrics.sends = Counter(
            "monsoontack_sends",
            "Sends to backend servers by service and result",
            ("service", "result"),
            registry=registry,
        )
        metrics.bad_requests = Counter(
            "monsoontack_bad_requests",
            "Requests that could not be parsed, by status",
            ("status",),
            registry=registry,
        )
        metrics.refused_input = Counter(
            "monsoontack_refused_input",
            "Requests and connections refused or closed before they were forwarded",
            ("reason",),
            registry=registry,
        )
        metrics.limited_sends = Counter(
            "monsoontack_limited_sends",
            "Requests sent to backend servers that have stated a limit, by service",
            ("service",),
            registry=registry,
        )
        metrics.engine_crashes = Counter(
            "monsoontack_engine_crashes",
            "Servers whose process ended before they went on answering",
            registry=registry,
        )
        metrics.server_statements = Counter(
            "monsoontack_server_statements",
            "Changes of what backend servers state in responses, by the new state",
            ("state",),
            registry=registry,
        )
        metrics.domain_doubts = Counter(
            "monsoontack_domain_doubts",
            "Times at which a failure domain came into doubt, by service",
            ("service",),
            registry=registry,
        )
        metrics.paced_starts = Counter(
            "monsoontack_paced_starts",
            "Starts of backend servers that were paced, by service and reason",
            ("service", "reason"),
            registry=registry,
        )
        metrics.loop_errors = Counter(
            "monsoontack_loop_errors",
            "Callbacks of the event loop that failed",
            registry=registry,
        )
        metrics.store_restorations = Counter(
            "monsoontack_store_restorations",
            "Times at which the store was found to be restored from a copy",
            registry=registry,
        )
        metrics.answer_s = Histogram(
            "monsoontack_answer_seconds",
            "Time from a request to the end of its answer",
            ("kind",),
            buckets=ANSWER_BUCKETS_S,
            registry=registry,
        )
        metrics.first_event_s = Histogram(
            "monsoontack_first_event_seconds",
            "Time from a request to its first event",
            buckets=ANSWER_BUCKETS_S,
            registry=registry,
        )
        metrics.worst_gap_s = Histogram(
            "monsoontack_worst_gap_seconds",
            "Longest pause between two events of a stream",
            buckets=GAP_BUCKETS_S,
            registry=registry,
        )
        metrics.admission_wait_s = Histogram(
            "monsoontack_admission_wait_seconds",
            "Time for which a stream waited at this gateway before it was sent",
            ("service", "priority"),
            buckets=ANSWER_BUCKETS_S,
            registry=registry,
        )
        metrics.admission_refusals = Counter(
            "monsoontack_admission_refusals",
            "Streams that were refused before they were sent, by reason",
            ("service", "reason"),
            registry=registry,
        )
        metrics._add_gauges()
        return metrics

    def _add_gauges(self) -> None:
        def gauge(name: str, text: str, labels: tuple[str, ...] = ()) -> Gauge:
            return Gauge(f"monsoontack_{name}", text, labels, registry=self.registry)

        self.in_progress = gauge("requests_in_progress", "Requests under way")
        self.config_version = gauge("config_version", "Configuration in force")
        self.config_age_s = gauge(
            "config_age_seconds", "Time since the configuration was confirmed"
        )
        self.limited_servers = gauge(
            "limited_servers", "Backend servers that have stated a limit"
        )
        self.waiting_servers = gauge(
            "waiting_servers", "Backend servers that asked for time"
        )
        self.blocked_prompt_parts = gauge(
            "blocked_prompt_parts", "Parts of prompts that crash engines"
        )
        self.blocked_requests = gauge(
            "blocked_requests", "Requests that crash servers when they come again"
        )
        self.doubted_domains = gauge("doubted_domains", "Failure domains in doubt")
        self.paced_servers = gauge("paced_servers", "Backend servers that are paced")
        self.servers = gauge("servers", "Backend servers in use", ("service",))
        self.prefill_s = gauge(
            "prefill_seconds_per_token",
            "Time in which an engine reads a prompt token",
            ("service",),
        )
        self.step_s = gauge(
            "step_seconds",
            "Time of an engine's step without disturbances",
            ("service",),
        )
        self.call_s = gauge(
            "call_seconds", "Usual time of a call at a plain server", ("service",)
        )
        self.store_feed_up = gauge(
            "store_feed_up", "Whether the store answers a feed", ("feed",)
        )
        self.waiting_streams = gauge(
            "waiting_streams",
            "Streams that wait at this gateway to be sent",
            ("service", "priority"),
        )
        self.load_view_age_s = gauge(
            "load_view_age_seconds",
            "Age of the oldest report in use of another gateway's load",
        )
        self.accounted_bytes = gauge(
            "accounted_bytes", "Memory that the account holds for callers and engines"
        )
        self.account_limit_bytes = gauge(
            "account_limit_bytes", "Limit of the memory account"
        )
        self.resident_bytes = gauge("resident_bytes", "Resident memory of the process")
        self.caller_connections = gauge(
            "caller_connections", "Open connections of callers"
        )
        self.longest_input_s = gauge(
            "longest_input_seconds", "Longest handling of one read from a caller"
        )
        self.loop_delay_s = gauge(
            "loop_delay_seconds", "Longest delay of a timer in the last 10 to 20 s"
        )
        self.log_lines_dropped = gauge(
            "log_lines_dropped", "Log lines dropped since nobody read them"
        )

    def observe_wait(self, service: str, priority: int, wait_s: float) -> None:
        """Record how long a stream waited before it was sent."""
        self.admission_wait_s.labels(service, priority).observe(wait_s)

    def count_admission_refusal(self, service: str, reason: str) -> None:
        """Count a stream that was refused before it was sent."""
        self.admission_refusals.labels(service, reason).inc()

    def update_waiting(self, waiting: dict[str, dict[int, tuple[int, int]]]) -> None:
        """Set the numbers of waiting streams, given by service and priority."""
        self.waiting_streams.clear()
        for service, by_priority in waiting.items():
            for priority, (count, _) in by_priority.items():
                self.waiting_streams.labels(service, priority).set(count)

    def update_speeds(self, engines: EngineSpeeds, calls: CallTimes) -> None:
        """Set the measured speeds of all services."""
        for service, speeds in engines.services.items():
            self.prefill_s.labels(service).set(speeds.prefill_s_per_token)
            self.step_s.labels(service).set(speeds.step_s)
        for service, times in calls.services.items():
            self.call_s.labels(service).set(times.usual_s)

    def count_statement(self, said: ServerStatement) -> None:
        """Count what a response of a server says of it for the first time."""
        state = "leaving" if said.is_leaving else "asked_for_time"
        self.server_statements.labels(state).inc()

    def update_waits(self, waiting: int, ended: int) -> None:
        """Set the number of servers that asked for time, and count ended waits."""
        self.waiting_servers.set(waiting)
        self.server_statements.labels("wait_over").inc(ended)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
