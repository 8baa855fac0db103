"""Hashes of the leading blocks of a prompt, the keys of prefix caches.

Engines publish the same hashes in their cache events (docs/platform.md): xxh64
of the prompt from its start to the end of each whole block of 64 characters.
"""

import json

import xxhash

BLOCK_CHARACTERS = 64
# Longer prompts are told apart by their first 16 KB.
MAX_BLOCKS = 256


def prompt_blocks(document: dict) -> tuple[int, ...]:
    """Return a hash for each whole leading block of a request's prompt.

    `document` is the decoded body of a completion or chat request. The hash of
    the longest prefix comes last.
    """
    if "messages" in document:
        prompt = json.dumps(document["messages"], sort_keys=True)
    else:
        prompt = str(document.get("prompt", ""))
    count = min(len(prompt) // BLOCK_CHARACTERS, MAX_BLOCKS)
    digest = xxhash.xxh64()
    blocks = []
    for index in range(count):
        start = index * BLOCK_CHARACTERS
        text = prompt[start : start + BLOCK_CHARACTERS]
        # JSON may hold single surrogates, which UTF-8 proper refuses.
        digest.update(text.encode("utf-8", "surrogatepass"))
        blocks.append(digest.intdigest())
    return tuple(blocks)
