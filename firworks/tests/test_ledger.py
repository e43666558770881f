"""Tests of the ledger over several real kernels and a faulty log model."""

from firworks.kernel.claims import (
    CLAIM_OUTCOME,
    ClaimRequested,
    WorkKey,
)
from firworks.tests.ledger_world import EPOCH_S, World


def request(claim_id, name="k", fingerprint=b"f", issued_s=EPOCH_S, deadline_s=8.0):
    key = WorkKey("account", "service", name)
    return ClaimRequested(claim_id, key, fingerprint, issued_s, deadline_s)


def find_winner(world):
    found = [
        (n, d.parts[-1].won[0]) for n, d in world.daemons.items() if d.parts[-1].won
    ]
    assert len(found) == 1
    return found[0]


def states(world, claim_id):
    return [word.state for word in world.words.get(claim_id, [])]


class TestLedger:
    def test_one_of_racing_claims_wins_and_the_rest_get_its_answer(self):
        world = World()
        for name in world.names:
            world.claim(name, request(f"{name}/1"))
        world.run(1.0)
        name, claim_id = find_winner(world)
        assert world.dispatch(name, claim_id)
        world.finish(name, claim_id, b"lent")
        world.run(1.0)
        for other in {f"{n}/1" for n in world.names} - {claim_id}:
            assert world.words[other][0].answer == b"lent"
        world.claim("a", request("a/2", deadline_s=world.now + 8))
        world.run(1.0)
        assert states(world, "a/2") == [CLAIM_OUTCOME]
