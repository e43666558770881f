"""Stage pools and loads like those of the users' sites, for the virtual world."""

from firworks.kernel.forwarding.configuration import StagePoolSpec, StageSpec
from firworks.tests.pool_simulation import MEGABYTE, Kind


def spread(rng, mean, most):
    """Return a number of pieces around a mean, at least 1."""
    return min(most, max(1, round(rng.lognormvariate(0, 0.5) * mean * 0.88)))


def make_rimac():
    """Return (pools, kinds) like Rimac's sheet of today."""
    pools = {
        "members": StagePoolSpec(1, 2, 4, 0.2, 0.042, 9 * MEGABYTE, 4.0),
        "shop": StagePoolSpec(1, 2, 8, 0.2, 0.02125, int(1.04 * MEGABYTE), 4.0),
        "ledger": StagePoolSpec(1, 2, 20, 0.2, 0.00852, int(0.267 * MEGABYTE), 4.0),
    }
    photos = StageSpec("members", (), 1_500_000)
    light = StageSpec("members", (), 8_000)
    kinds = [
        Kind(
            "quote",
            3.71,
            2.3,
            8.0,
            3.8,
            0.57,
            1,
            (
                photos,
                light,
                StageSpec("shop", (1,), 60_000),
                StageSpec("ledger", (2,), 6_000),
            ),
            lambda rng: (
                spread(rng, 1.5, 6) if rng.random() < 0.4 else 0,
                1,
                4,
                spread(rng, 10, 25),
            ),
            (1.0, 0.3, 1.0, 1.0),
        ),
        Kind(
            "notes",
            4.72,
            1.9,
            6.0,
            2.0,
            0.3,
            0,
            (light, StageSpec("shop", (0,), 60_000), StageSpec("ledger", (1,), 6_000)),
            lambda rng: (1, 4, spread(rng, 10, 25)),
            (0.3, 1.0, 1.0),
        ),
        Kind(
            "chat",
            3.83,
            0.91,
            15.0,
            0.55,
            0.083,
            2,
            (photos,),
            lambda rng: (spread(rng, 2.5, 10) if rng.random() < 0.7 else 0,),
            (1.0,),
        ),
    ]
    return pools, kinds


def make_kathmandu():
    """Return (pools, kinds) like Kathmandu's sheet of today."""
    pools = {
        "ghat": StagePoolSpec(1, 2, 13, 0.24, 0.016, int(15.4 * MEGABYTE), 4.0),
        "dispatch": StagePoolSpec(1, 2, 33, 0.24, 0.00618, int(3.7 * MEGABYTE), 4.0),
        "ledger": StagePoolSpec(1, 2, 50, 0.24, 0.00408, int(0.558 * MEGABYTE), 4.0),
    }
    pictures = StageSpec("ghat", (), 800_000)
    light = StageSpec("ghat", (), 8_000)

    def follow(before):
        """Return the stages that come after the light one."""
        lookup = StageSpec("dispatch", (before,), 60_000)
        return lookup, StageSpec("ledger", (before + 1,), 6_000)

    kinds = [
        Kind(
            "draft",
            8.87,
            1.4,
            15.0,
            4.4,
            0.66,
            1,
            (pictures,),
            lambda rng: (spread(rng, 2.5, 10) if rng.random() < 0.7 else 0,),
            (1.0,),
        ),
        Kind(
            "summary",
            12.6,
            2.0,
            15.0,
            2.1,
            0.32,
            0,
            (light, *follow(0)),
            lambda rng: (1, 4, spread(rng, 6, 15)),
            (0.3, 1.0, 1.0),
        ),
        Kind(
            "tag",
            16.5,
            2.0,
            6.0,
            0.39,
            0.058,
            2,
            (pictures, light, *follow(1)),
            lambda rng: (
                spread(rng, 1.5, 6) if rng.random() < 0.4 else 0,
                1,
                4,
                spread(rng, 6, 15),
            ),
            (1.0, 0.3, 1.0, 1.0),
        ),
    ]
    return pools, kinds


def make_zwolle():
    """Return (pools, kinds) like Zwolle's sheet of today."""
    pools = {
        "herstel": StagePoolSpec(1, 2, 8, 0.2, 0.02125, int(17.6 * MEGABYTE), 4.0),
        "clubs": StagePoolSpec(1, 2, 22, 0.2, 0.0078, int(2.96 * MEGABYTE), 4.0),
        "borg": StagePoolSpec(1, 2, 37, 0.2, 0.00464, int(0.496 * MEGABYTE), 4.0),
    }

    dossier = StageSpec("herstel", (), 1_500_000)
    light = StageSpec("herstel", (), 8_000)
    clubs = StageSpec("clubs", (0,), 60_000)
    borg = StageSpec("borg", (1,), 6_000)
    kinds = [
        Kind(
            "arbiter",
            9.88,
            0.91,
            6.0,
            3.2,
            0.48,
            1,
            (dossier,),
            lambda rng: (spread(rng, 2.5, 10) if rng.random() < 0.7 else 0,),
            (1.0,),
        ),
        Kind(
            "advice",
            10.9,
            1.8,
            6.0,
            1.9,
            0.28,
            0,
            (light, clubs, borg),
            lambda rng: (1, 6, spread(rng, 10, 25)),
            (0.3, 1.0, 1.0),
        ),
        Kind(
            "chat",
            4.42,
            1.7,
            20.0,
            0.95,
            0.14,
            2,
            (
                dossier,
                light,
                StageSpec("clubs", (1,), 60_000),
                StageSpec("borg", (2,), 6_000),
            ),
            lambda rng: (
                spread(rng, 1.5, 6) if rng.random() < 0.4 else 0,
                1,
                6,
                spread(rng, 10, 25),
            ),
            (1.0, 0.3, 1.0, 1.0),
        ),
    ]
    return pools, kinds
