"""Places the parts of a streamed answer by offset."""

import hashlib


class StreamGapError(Exception):
    """A part starts beyond the end of what has been received."""


class TokenStream:
    """The tokens of one streamed answer, without gaps or duplicates.

    Attributes:
        tokens (list of str): What has been placed so far.
    """

    __slots__ = ("tokens",)

    def __init__(self):
        self.tokens = []

    def place(self, offset, tokens):
        """Place a part and return the tokens in it that are new.

        Args:
            offset (int): Place of the part's first token in the whole answer.
            tokens (tuple of str): The part.

        Returns:
            tuple of str: New tokens, which start at the former end.

        Raises:
            StreamGapError: When tokens before the part are missing.
        """
        end = len(self.tokens)
        if offset > end:
            raise StreamGapError(f"part at {offset} after {end} tokens")
        new = tuple(tokens[end - offset :])
        self.tokens.extend(new)
        return new


def digest_tokens(tokens):
    """Return the SHA-256 of the tokens, in hexadecimal.

    Each token is preceded by its length in bytes, so that the same text cut into
    other tokens has another digest.
    """
    digest = hashlib.sha256()
    for token in tokens:
        data = token.encode()
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    return digest.hexdigest()
