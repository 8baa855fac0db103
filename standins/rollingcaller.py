"""Callers of gateways that are stopped, and what is known of their requests."""

from dataclasses import dataclass, field

from standins.gatewayprocess import GatewayProcess

MAX_FAILED_PROBES = 2


@dataclass(slots=True)
class Caller:
    """What a caller sends: streams of two lengths or calls, some in chunks.

    A stream states `stated_tokens`, or its own length if this is zero.
    """

    streams: bool
    short_events: tuple[int, int] = (20, 40)
    long_events: tuple[int, int] = (150, 180)
    long_share: float = 0.4
    chunked_share: float = 0.3
    pause_s: float = 0.0
    stated_tokens: int = 0


@dataclass(slots=True)
class SentRequest:
    """A request; times are of the event loop's clock.

    `stopped_at` is when its gateway got SIGTERM, None if it got none before the request
    ended. `status` 0 means that the connection ended without a whole response. A stream
    has `events`, of which the caller got `got_events`. `error` is how a connection
    ended.
    """

    request_id: str
    kind: str
    gateway: "StoppedGateway"
    sent_at: float
    stopped_at: float | None = None
    ended_at: float = 0.0
    status: int = 0
    began: bool = False
    events: int = 0
    got_events: int = 0
    error: str = ""

    @property
    def after_stop_s(self) -> float | None:
        """Return the time from the SIGTERM to the request."""
        return None if self.stopped_at is None else self.sent_at - self.stopped_at

    @property
    def has_all_events(self) -> bool:
        """Whether nothing but the end of a stream can be missing."""
        return self.kind == "stream" and self.got_events == self.events


@dataclass(slots=True)
class StoppedGateway:
    """A gateway and what the balancer and the operator know of it.

    `stop_times` has the first SIGTERM of each of its processes.
    """

    process: GatewayProcess
    failed_probes: int = MAX_FAILED_PROBES
    stopped_at: float | None = None
    stop_times: list[float] = field(default_factory=list)

    @property
    def process_number(self) -> int:
        """Return the number of the process that new requests are sent to."""
        return len(self.stop_times) - (self.stopped_at is not None)

    def stop_time(self, process_number: int) -> float | None:
        """Return when a process got SIGTERM, None if it has got none."""
        if process_number < len(self.stop_times):
            return self.stop_times[process_number]
        return None
