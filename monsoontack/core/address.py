"""Network addresses in the form `host:port`."""

import re

MAX_PORT = 65_535
_ADDRESS = re.compile(r"([0-9A-Za-z._:\[\]-]{1,255}):([0-9]{1,5})")


def parse_address(address: str) -> tuple[str, int]:
    """Return the host and the port; raise ValueError if the address is malformed."""
    match = _ADDRESS.fullmatch(address)
    if match is None or not 0 < int(match.group(2)) <= MAX_PORT:
        raise ValueError(f"address {address!a:.80} is not ip:port")
    return match.group(1), int(match.group(2))
