"""Deterministic tokens of the simulated engine, and the expected answers.

A token depends only on version, prompt, seed and position, so that a test can compute
the complete expected answer without running an engine.
"""

import json

import xxhash

VOCABULARY = 50_000
DEFAULT_MAX_TOKENS = 64
BLOCK_CHARACTERS = 64


def prompt_text(request: dict) -> str:
    """Return the prompt of a completion or chat request as one string."""
    if "messages" in request:
        return json.dumps(request["messages"], sort_keys=True)
    return str(request.get("prompt", ""))


def token_at(version: str, prompt: str, seed: int, position: int) -> tuple[int, str]:
    """Return the id and the text of the output token at `position`."""
    key = f"{version}\0{prompt}\0{seed}\0{position}"
    token = xxhash.xxh64_intdigest(key.encode()) % VOCABULARY
    return token, f" w{token}"


def expected_answer(version: str, request: dict) -> tuple[list[int], str]:
    """Return the token ids and the text of the complete answer to `request`."""
    prompt, seed = prompt_text(request), int(request.get("seed") or 0)
    count = int(request.get("max_tokens") or DEFAULT_MAX_TOKENS)
    pairs = [token_at(version, prompt, seed, i) for i in range(count)]
    return [token for token, _ in pairs], "".join(text for _, text in pairs)


def prefix_blocks(prompt: str) -> list[int]:
    """Return a hash of each prefix that ends on a block boundary, shortest first."""
    ends = range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS)
    return [xxhash.xxh64_intdigest(prompt[:end].encode()) for end in ends]
