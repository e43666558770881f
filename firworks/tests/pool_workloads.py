"""Stage pools and loads modelled on the users' sites, for `PoolSimulation`."""

from firworks.kernel.forwarding.configuration import StagePoolSpec, StageSpec
from firworks.kernel.pools.answer_times import AnswerTimes
from firworks.tests.pool_simulation import (
    ENGINE_S,
    MEGABYTE,
    Burst,
    PoolSimulation,
    RequestKind,
    Wave,
)


def draw_count(rng, mean, maximum):
    """Return a log-normal number of pieces around a mean, from 1 to `maximum`."""
    return min(maximum, max(1, round(rng.lognormvariate(0, 0.5) * mean * 0.88)))


def make_rimac():
    """Return (pools, kinds) modelled on the current load of Rimac."""
    pools = {
        "members": StagePoolSpec(1, 2, 4, 0.2, 0.042, 9 * MEGABYTE, 4.0),
        "shop": StagePoolSpec(1, 2, 8, 0.2, 0.02125, int(1.04 * MEGABYTE), 4.0),
        "ledger": StagePoolSpec(1, 2, 20, 0.2, 0.00852, int(0.267 * MEGABYTE), 4.0),
    }
    photos = StageSpec("members", (), 1_500_000)
    light = StageSpec("members", (), 8_000)
    kinds = [
        RequestKind(
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
                draw_count(rng, 1.5, 6) if rng.random() < 0.4 else 0,
                1,
                4,
                draw_count(rng, 10, 25),
            ),
            (1.0, 0.3, 1.0, 1.0),
        ),
        RequestKind(
            "notes",
            4.72,
            1.9,
            6.0,
            2.0,
            0.3,
            0,
            (light, StageSpec("shop", (0,), 60_000), StageSpec("ledger", (1,), 6_000)),
            lambda rng: (1, 4, draw_count(rng, 10, 25)),
            (0.3, 1.0, 1.0),
        ),
        RequestKind(
            "chat",
            3.83,
            0.91,
            15.0,
            0.55,
            0.083,
            2,
            (photos,),
            lambda rng: (draw_count(rng, 2.5, 10) if rng.random() < 0.7 else 0,),
            (1.0,),
        ),
    ]
    return pools, kinds


def make_kathmandu():
    """Return (pools, kinds) modelled on the current load of Kathmandu."""
    pools = {
        "ghat": StagePoolSpec(1, 2, 13, 0.24, 0.016, int(15.4 * MEGABYTE), 4.0),
        "dispatch": StagePoolSpec(1, 2, 33, 0.24, 0.00618, int(3.7 * MEGABYTE), 4.0),
        "ledger": StagePoolSpec(1, 2, 50, 0.24, 0.00408, int(0.558 * MEGABYTE), 4.0),
    }
    pictures = StageSpec("ghat", (), 800_000)
    light = StageSpec("ghat", (), 8_000)

    def follow(before):
        """Return the stages that depend on the light one."""
        lookup = StageSpec("dispatch", (before,), 60_000)
        return lookup, StageSpec("ledger", (before + 1,), 6_000)

    kinds = [
        RequestKind(
            "draft",
            8.87,
            1.4,
            15.0,
            4.4,
            0.66,
            1,
            (pictures,),
            lambda rng: (draw_count(rng, 2.5, 10) if rng.random() < 0.7 else 0,),
            (1.0,),
        ),
        RequestKind(
            "summary",
            12.6,
            2.0,
            15.0,
            2.1,
            0.32,
            0,
            (light, *follow(0)),
            lambda rng: (1, 4, draw_count(rng, 6, 15)),
            (0.3, 1.0, 1.0),
        ),
        RequestKind(
            "tag",
            16.5,
            2.0,
            6.0,
            0.39,
            0.058,
            2,
            (pictures, light, *follow(1)),
            lambda rng: (
                draw_count(rng, 1.5, 6) if rng.random() < 0.4 else 0,
                1,
                4,
                draw_count(rng, 6, 15),
            ),
            (1.0, 0.3, 1.0, 1.0),
        ),
    ]
    return pools, kinds


def make_zwolle():
    """Return (pools, kinds) modelled on the current load of Zwolle."""
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
        RequestKind(
            "arbiter",
            9.88,
            0.91,
            6.0,
            3.2,
            0.48,
            1,
            (dossier,),
            lambda rng: (draw_count(rng, 2.5, 10) if rng.random() < 0.7 else 0,),
            (1.0,),
        ),
        RequestKind(
            "advice",
            10.9,
            1.8,
            6.0,
            1.9,
            0.28,
            0,
            (light, clubs, borg),
            lambda rng: (1, 6, draw_count(rng, 10, 25)),
            (0.3, 1.0, 1.0),
        ),
        RequestKind(
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
                draw_count(rng, 1.5, 6) if rng.random() < 0.4 else 0,
                1,
                6,
                draw_count(rng, 10, 25),
            ),
            (1.0, 0.3, 1.0, 1.0),
        ),
    ]
    return pools, kinds


def make_busy_stages(lookups):
    """Return the stages of requests with large results and of those with a chain.

    Args:
        lookups (int): Number of pieces of the second stage of the chain.

    Returns:
        dict of str to tuple: Stages, ``draw_counts`` and work factors of requests with
        large results ("large"), with a chain ("chain"), and with both ("both").
    """
    scans = StageSpec("scans", (), 1_500_000)
    light = StageSpec("scans", (), 8_000)

    def follow(before):
        """Return the stages that depend on the light one."""
        lookup = StageSpec("lookup", (before,), 60_000)
        return lookup, StageSpec("ledger", (before + 1,), 6_000)

    def draw_chain(rng):
        """Return the numbers of pieces of the chain."""
        count = rng.lognormvariate(0, 0.4) * 10 * 0.92
        return 1, lookups, min(25, max(1, round(count)))

    def draw_large(rng, share, mean, maximum):
        """Return the number of large results."""
        return draw_count(rng, mean, maximum) if rng.random() < share else 0

    return {
        "large": ((scans,), lambda rng: (draw_large(rng, 0.7, 2.5, 10),), (1.0,)),
        "chain": ((light, *follow(0)), draw_chain, (0.3, 1.0, 1.0)),
        "both": (
            (scans, light, *follow(1)),
            lambda rng: (draw_large(rng, 0.4, 1.5, 6), *draw_chain(rng)),
            (1.0, 0.3, 1.0, 1.0),
        ),
    }


def make_harbour():
    """Return (pools, kinds) modelled on the site with 65 gateways."""
    pools = {
        "scans": StagePoolSpec(1, 2, 14, 0.2, 0.012, 32 * MEGABYTE, 4.0),
        "lookup": StagePoolSpec(1, 2, 45, 0.2, 0.00384, 6 * MEGABYTE, 4.0),
        "ledger": StagePoolSpec(1, 2, 64, 0.2, 0.002656, int(0.8376 * MEGABYTE), 4.0),
    }
    stages = make_busy_stages(6)
    kinds = [
        RequestKind("manifest", 52.1, 1.435, 6.0, 4.2, 0.63, 0, *stages["large"]),
        RequestKind("summary", 61.4, 2.72, 6.0, 1.0, 0.15, 1, *stages["chain"]),
        RequestKind("query", 23.1, 2.715, 20.0, 0.84, 0.13, 2, *stages["both"]),
    ]
    return pools, kinds


def make_tours():
    """Return (pools, kinds) modelled on the site with 140 gateways."""
    pools = {
        "scans": StagePoolSpec(1, 2, 8, 0.2, 0.021, 18 * MEGABYTE, 4.0),
        "lookup": StagePoolSpec(1, 2, 24, 0.2, 0.00715, int(3.138 * MEGABYTE), 4.0),
        "ledger": StagePoolSpec(1, 2, 36, 0.2, 0.0048, int(0.47 * MEGABYTE), 4.0),
    }
    stages = make_busy_stages(6)
    kinds = [
        RequestKind("itinerary", 15.8, 1.535, 6.0, 5.4, 0.33, 0, *stages["large"]),
        RequestKind("brief", 21.0, 4.02, 6.0, 0.73, 0.16, 2, *stages["chain"]),
        RequestKind("qa", 20.9, 2.0, 20.0, 0.3, 0.044, 1, *stages["both"]),
    ]
    return pools, kinds


# Time from the end of the stages to the first event, and the standard deviation of its
# logarithm, at which as many pieces and calls are made as was measured at Harbour.
SLOW_ENGINE_S = 0.65
SLOW_ENGINE_SPREAD = 0.4
# Time for which gateways collect results before they free them.
SLOW_FREE_S = 0.05


class Site:
    """Targets and traffic of a site beside its pools and kinds of request.

    Args:
        make (callable): Returns (pools, kinds).
        targets (int or dict of str to int): Number of targets of each pool.
        bursts (tuple of Burst): Bursts of its traffic.
        wave (Wave or None): Change of its arrival rates.
        mean_arrival_group (float): Mean number of requests that arrive together.
        gateways (int): Number of gateways.
        strict (bool): Results expire, callers of streams leave early, and engines take
            longer than gateways reckon with.
    """

    # Whether gateways measure how long engines take.
    measures_answers = False
    # Whether calls use memory that is being freed.
    reuses_memory = False
    # Whether large results are made near the engines that read them.
    prefers_home = False
    # Whether targets state their speed in responses.
    reports_loads = False

    def __init__(
        self,
        make,
        targets,
        bursts,
        wave=None,
        mean_arrival_group=1.5,
        gateways=15,
        strict=False,
    ):
        self.make = make
        self.targets = targets
        self.bursts = bursts
        self.wave = wave
        self.mean_arrival_group = mean_arrival_group
        self.gateways = gateways
        self.strict = strict

    @property
    def name(self):
        """Its name in reports (str)."""
        return self.make.__name__.removeprefix("make_")

    def simulate(self, seed, **options):
        """Return a `PoolSimulation` of its pools and kinds."""
        pools, kinds = self.make()
        world = PoolSimulation(
            pools,
            self.targets,
            kinds,
            seed,
            mean_arrival_group=self.mean_arrival_group,
            wave=self.wave,
            engine_s=SLOW_ENGINE_S if self.strict else ENGINE_S,
            engine_spread=SLOW_ENGINE_SPREAD if self.strict else 0.0,
            **options,
        )
        world.expires = world.callers_time_out = self.strict
        if self.measures_answers:
            world.answer_times = [AnswerTimes() for _ in range(self.gateways)]
        world.reuses_memory = self.reuses_memory
        for scheduler in world.schedulers.values():
            scheduler.freeing.enabled = self.reuses_memory
            scheduler.prefers_home = self.prefers_home
        world.has_homes = self.prefers_home
        world.reports_loads = self.reports_loads
        world.free_delay_s = SLOW_FREE_S if self.strict else 0.0
        return world


def make_bursts(first, second, factors):
    """Return bursts (tuple of Burst) of one kind, of another and of all.

    Args:
        first (str): The first kind.
        second (str): The second kind.
        factors (tuple of float): Factor on the arrival rate in each burst.
    """
    return (
        Burst(first, 3.5, 9.8, factors[0]),
        Burst(second, 14.0, 19.7, factors[1]),
        Burst(None, 25.0, 29.0, factors[2]),
    )


ZWOLLE = Site(make_zwolle, 3, make_bursts("arbiter", "advice", (2.8, 3.6, 1.9)))
RIMAC = Site(make_rimac, 3, make_bursts("quote", "notes", (2.7, 3.0, 1.8)))
KATHMANDU = Site(make_kathmandu, 3, make_bursts("draft", "summary", (2.8, 3.0, 1.9)))
# The factors and the phase of the wave give the number of pieces (58,000) and of
# requests of the chain (2,880) that were measured within 34 s.
HARBOUR = Site(
    make_harbour,
    {"scans": 9, "lookup": 8, "ledger": 8},
    (
        Burst("manifest", 2.7, 9.3, 2.8),
        Burst("summary", 16.0, 22.1, 2.6),
        Burst(None, 25.0, 29.0, 1.7),
    ),
    Wave(17.0, 0.55, 10.2),
    3.0,
    65,
    True,
)
TOURS = Site(
    make_tours,
    {"scans": 8, "lookup": 8, "ledger": 9},
    (
        Burst("itinerary", 2.7, 9.3, 2.8),
        Burst("brief", 16.0, 22.1, 3.0),
        Burst(None, 25.0, 29.0, 1.9),
    ),
    Wave(11.0, 0.55),
    3.0,
    140,
    True,
)
SITES = (ZWOLLE, RIMAC, KATHMANDU, HARBOUR, TOURS)
