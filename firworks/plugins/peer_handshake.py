"""Mutual authentication of peer connections by a shared secret."""

import asyncio
import hmac
import secrets
from hashlib import sha256

from firworks.codes import Code
from firworks.errors import CodecError, FirworksError
from firworks.kernel.codec import decode_record, encode_record, register_record
from firworks.kernel.messages import Record

HANDSHAKE_TIMEOUT_S = 5.0
NONCE_BYTES = 16
# Version of the peers' protocol. The accepting end appends it to its nonce; daemons
# that do not know it use the nonce as it is.
PROTOCOL = 2
# Name prefix of daemons that are known only by address.
ANY_PEER = "any/"


class PeerRefusedError(FirworksError):
    """The other end failed to authenticate as the expected daemon."""

    code = Code.PEER_REFUSED


@register_record
class PeerHello(Record):
    """First message of the dialing end, with its name and a new nonce."""

    __slots__ = ("name", "nonce")
    TYPES = (str, bytes)


@register_record
class PeerChallenge(Record):
    """Response of the accepting end: its name, nonce, and proof over both nonces."""

    __slots__ = ("name", "nonce", "proof")
    TYPES = (str, bytes, bytes)


@register_record
class PeerProof(Record):
    """The dialing end's HMAC proof over both nonces."""

    __slots__ = ("proof",)
    TYPES = (bytes,)


@register_record
class PeerWelcome(Record):
    """Confirms the dialing end's proof; messages may follow."""

    __slots__ = ()
    TYPES = ()


async def dial_handshake(connection, name, peer, secret):
    """Authenticate a connection that this daemon dialed.

    Args:
        connection (ClientConnection): A newly opened connection.
        name (str): Name of this daemon.
        peer (str): Name of the expected daemon; a name that begins with
            ``ANY_PEER`` accepts any.
        secret (str): The shared secret.

    Returns:
        int: Version of the protocol that the other end understands.

    Raises:
        PeerRefusedError: When the other end fails to authenticate in time.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    await connection.send(encode_record(PeerHello(name, nonce)))
    response = await _receive(connection, PeerChallenge)
    if response.name != peer and not peer.startswith(ANY_PEER):
        raise PeerRefusedError(
            f"expected peer {peer!r}, but {response.name!r} responded"
        )
    expected = _compute_proof(
        secret, "accept", name, response.name, nonce, response.nonce
    )
    if not hmac.compare_digest(response.proof, expected):
        raise PeerRefusedError(f"{peer!r} uses a different secret")
    proof = _compute_proof(secret, "dial", name, response.name, nonce, response.nonce)
    await connection.send(encode_record(PeerProof(proof)))
    await _receive(connection, PeerWelcome)
    return next(iter(response.nonce[NONCE_BYTES:]), 0)


async def accept_handshake(connection, name, secret):
    """Authenticate a connection that another daemon dialed.

    Returns:
        str: The other daemon's name.

    Raises:
        PeerRefusedError: When the other end fails to authenticate in time.
    """
    hello = await _receive(connection, PeerHello)
    nonce = secrets.token_bytes(NONCE_BYTES) + bytes([PROTOCOL])
    proof = _compute_proof(secret, "accept", hello.name, name, hello.nonce, nonce)
    await connection.send(encode_record(PeerChallenge(name, nonce, proof)))
    response = await _receive(connection, PeerProof)
    expected = _compute_proof(secret, "dial", hello.name, name, hello.nonce, nonce)
    if not hmac.compare_digest(response.proof, expected):
        raise PeerRefusedError(f"{hello.name!r} uses a different secret")
    await connection.send(encode_record(PeerWelcome()))
    return hello.name


async def _receive(connection, kind):
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            data = await connection.recv()
    except TimeoutError:
        raise PeerRefusedError("handshake timed out") from None
    if not isinstance(data, bytes):
        raise PeerRefusedError("handshake message must be binary")
    try:
        record = decode_record(data)
    except CodecError as error:
        raise PeerRefusedError(str(error)) from error
    if not isinstance(record, kind):
        raise PeerRefusedError(f"expected handshake message {kind.__name__}")
    return record


def _compute_proof(secret, role, dialer, acceptor, dialer_nonce, acceptor_nonce):
    """Return the HMAC over the role, both names and both nonces."""
    parts = (role.encode(), dialer.encode(), acceptor.encode())
    text = b"".join(len(part).to_bytes(4, "big") + part for part in parts)
    message = text + dialer_nonce.ljust(NONCE_BYTES)[:NONCE_BYTES] + acceptor_nonce
    return hmac.new(secret.encode(), message, sha256).digest()
