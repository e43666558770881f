"""Assembles the chunks of a streamed response by offset."""

import hashlib


class StreamGapError(Exception):
    """A chunk starts beyond the end of the tokens received."""


class TokenStream:
    """The tokens of one streamed response, without gaps or duplicates.

    Attributes:
        tokens (list of str): Tokens received so far.
    """

    __slots__ = ("tokens",)

    def __init__(self):
        self.tokens = []

    def place(self, offset, tokens):
        """Add a chunk and return the tokens in it that are new.

        Args:
            offset (int): Position of the chunk's first token in the complete response.
            tokens (tuple of str): The chunk.

        Returns:
            tuple of str: New tokens, which start at the former end.

        Raises:
            StreamGapError: If tokens before the chunk are missing.
        """
        end = len(self.tokens)
        if offset > end:
            raise StreamGapError(f"chunk at offset {offset} after {end} tokens")
        new = tuple(tokens[end - offset :])
        self.tokens.extend(new)
        return new


def digest_tokens(tokens):
    """Return the SHA-256 of the tokens, in hexadecimal.

    Each token is preceded by its length in bytes, so that the same text split into
    different tokens has a different digest.
    """
    digest = hashlib.sha256()
    for token in tokens:
        data = token.encode()
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    return digest.hexdigest()
