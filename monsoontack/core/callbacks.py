"""Errors in callbacks of the event loop.

An event loop runs timers, done callbacks, signal handlers and protocols outside of any
task. Its default handler formats everything that belongs to a failed one: the object of
a bound method, its arguments, the transport and the protocol. The representation of an
object that leads to the state of the process would take all memory, and the line goes
to a logger that may block. Therefore:

* Each process calls `log_loop_errors`, which logs an error by names only.
* uvloop formats a bound method before it calls any handler, so classes that hold state
  have no representation that lists their fields (`repr=False`).
* A callback that acts for several connections runs each by `call_guarded`.
"""

import asyncio
from collections.abc import Callable
from functools import partial

import structlog

log = structlog.get_logger("core.callbacks")

# Enough for the name of a callback; arguments in the loop's message may be long.
MAX_MESSAGE_CHARACTERS = 200
# What a loop names beside the message and the exception.
OWNERS = ("protocol", "transport", "future", "task")


def log_loop_errors(
    loop: asyncio.AbstractEventLoop, on_error: Callable[[], None] = lambda: None
) -> None:
    """Log what fails in callbacks of the loop, without the objects of the callback.

    `on_error` is called for each of them. The process goes on: an error concerns one
    connection, stream or timer.
    """

    def handle(loop: asyncio.AbstractEventLoop, context: dict) -> None:
        on_error()
        error = context.get("exception")
        names = {key: _name_of_owner(context[key]) for key in OWNERS if key in context}
        log.error(
            "callback of the event loop failed",
            detail=str(context.get("message", ""))[:MAX_MESSAGE_CHARACTERS],
            exc_info=error,
            **names,
        )

    loop.set_exception_handler(handle)


def _name_of_owner(owner: object) -> str:
    """Return the name of a task's coroutine, or of the type of any other object."""
    return name_of(owner.get_coro() if isinstance(owner, asyncio.Task) else type(owner))


def call_guarded(callback: Callable[[], object]) -> None:
    """Call a function; log an error by the function's name."""
    try:
        callback()
    except Exception:
        log.exception("callback failed", callback=name_of(callback))


def name_of(function: Callable) -> str:
    """Return the name of a function, without the object to which it is bound.

    The representation of a bound method has that of its object, which took more than
    200 MB for the exchange of load in a fleet of 31 entries.
    """
    function = function.func if isinstance(function, partial) else function
    return getattr(function, "__qualname__", type(function).__qualname__)
