"""Builds the prompts of engine stages and the hashes of their blocks."""

from xxhash import xxh3_64_digest

from firworks.kernel.answers import encode_json

BLOCK_CHARACTERS = 256
MAX_BLOCKS = 64


def make_prompt(body, previous):
    """Return the prompt of an engine call.

    Args:
        body (object): The caller's JSON value; a text under its key ``prompt``
            comes first, so that requests that share it share a prefix.
        previous (object): Output of the previous stage, or None.
    """
    if isinstance(body, dict) and isinstance(body.get("prompt"), str):
        opening = body["prompt"]
    else:
        opening = encode_json(body).decode()
    if previous is None:
        return opening
    return f"{opening}\n{encode_json(previous).decode()}"


def hash_prefix(model, prompt):
    """Return the chained hashes of a prompt's full blocks.

    Args:
        model (str): The model; prompts of different models have different hashes.
        prompt (str): The prompt.

    Returns:
        tuple of bytes: At most ``MAX_BLOCKS`` hashes of 8 bytes; each covers all
        blocks up to its own, so equal hashes mean equal prefixes.
    """
    hashes = []
    digest = xxh3_64_digest(model.encode())
    complete_blocks = len(prompt) // BLOCK_CHARACTERS
    for index in range(min(complete_blocks, MAX_BLOCKS)):
        start = index * BLOCK_CHARACTERS
        block = prompt[start : start + BLOCK_CHARACTERS]
        digest = xxh3_64_digest(digest + block.encode())
        hashes.append(digest)
    return tuple(hashes)
