"""Tests of the bounds of fair shares, and replays of a burst of one client account."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firworks.kernel.pools.accounts import AccountShares, UnsharedCapacity
from firworks.kernel.pools.stages import StageScheduler
from firworks.tests.account_bursts import (
    OTHERS,
    WITHIN_SHARE,
    play_burst,
    play_hot_prompt,
    share_on_time,
)
from firworks.tests.account_loads import (
    EnginePlay,
    StagePlay,
    WatchedEngines,
    WatchedStages,
)
from firworks.tests.pool_simulation import Burst, PoolSimulation
from firworks.tests.pool_workloads import make_zwolle

WEIGHTS = st.sampled_from([0.5, 1.0, 2.0, 3.0])
CLAIMANT = st.fixed_dictionaries(
    {
        "weight": WEIGHTS,
        "count": st.integers(1, 4),
        "urgency": st.floats(-50.0, 50.0),
        "begin_s": st.floats(0.0, 3.0),
    }
)
CLAIMANTS = st.lists(CLAIMANT, min_size=2, max_size=7)


class TestBounds:
    """All accounts always have more work waiting, with any deadlines and priorities."""

    LENGTH_S = 40.0

    def check_quarter(self, play):
        """Check what each account got since all of them wanted something."""
        shares = play.get_shares()
        for account, got in play.served.items():
            unit = play.get_largest_cost(account)
            assert got + unit >= 0.25 * shares[account], (account, got, shares)

    @settings(max_examples=25)
    @given(claimants=CLAIMANTS, targets=st.integers(1, 3))
    def test_each_account_gets_a_quarter_of_its_share_of_calls(
        self, claimants, targets
    ):
        play = StagePlay(claimants, targets, WatchedStages)
        play.run(self.LENGTH_S)
        self.check_quarter(play)

    @settings(max_examples=25)
    @given(claimants=CLAIMANTS, targets=st.integers(1, 3))
    def test_each_account_gets_a_quarter_of_its_share_of_tokens(
        self, claimants, targets
    ):
        play = EnginePlay(claimants, targets, WatchedEngines)
        play.run(self.LENGTH_S)
        self.check_quarter(play)

    @settings(max_examples=25)
    @given(claimants=CLAIMANTS, targets=st.integers(1, 3))
    def test_none_exceeds_its_share_while_others_below_wait_for_calls(
        self, claimants, targets
    ):
        play = StagePlay(claimants, targets, WatchedStages)
        play.run(6.0)
        assert play.scheduler.checked > 5 and play.scheduler.violations == []

    @settings(max_examples=25)
    @given(claimants=CLAIMANTS, targets=st.integers(1, 3))
    def test_none_exceeds_its_share_while_others_below_wait_for_engines(
        self, claimants, targets
    ):
        play = EnginePlay(claimants, targets, WatchedEngines)
        play.run(6.0)
        assert play.scheduler.checked > 5 and play.scheduler.violations == []

    @pytest.mark.parametrize(
        ("play", "watched"), [(StagePlay, WatchedStages), (EnginePlay, WatchedEngines)]
    )
    def test_the_bounds_fail_without_shares(self, play, watched):
        # The checks must see what they are for.
        claimants = [
            {"weight": 1.0, "count": 2, "urgency": urgency, "begin_s": 0.0}
            for urgency in (-50.0, 50.0)
        ]
        run = play(claimants, 1, watched, UnsharedCapacity())
        run.run(10.0)
        assert run.scheduler.violations
        with pytest.raises(AssertionError):
            self.check_quarter(run)


class TestReplays:
    """The largest of 16 accounts sends 7.5 times its usual rate for 8 s of 18."""

    SEEDS = (1, 2)

    def test_others_stay_on_time_in_the_burst_of_one_account(self):
        others, within = {}, {}
        for shared in (True, False):
            for burst in (True, False):
                runs = [play_burst(seed, shared, burst) for seed in self.SEEDS]
                others[shared, burst] = share_on_time(runs, OTHERS)
                within[shared, burst] = share_on_time(runs, WITHIN_SHARE)
        # A few requests are late by the time that full calls in progress take.
        assert within[True, True] > within[False, False] - 0.005
        assert within[False, True] < within[False, False] - 0.15
        # Three of the others usually get more than a share of weight 1.
        assert others[True, True] > others[False, False] - 0.03
        assert others[False, True] < others[False, False] - 0.15
        assert others[True, False] > others[False, False] - 0.01

    def test_a_hot_prompt_of_one_account_leaves_engines_to_others(self):
        refused = {}
        for shared in (True, False):
            for burst in (True, False):
                runs = [play_hot_prompt(seed, shared, burst) for seed in self.SEEDS]
                asked = sum(one[0][number] for one in runs for number in WITHIN_SHARE)
                late = sum(one[1][number] for one in runs for number in WITHIN_SHARE)
                refused[shared, burst] = late / asked
        assert refused[True, False] == refused[False, False] == 0.0
        assert refused[True, True] < 0.01
        assert refused[False, True] > 0.1

    def test_without_accounts_fair_shares_change_nothing(self):
        bursts = (Burst("arbiter", 3.5, 9.8, 2.8),)
        outcomes = []
        for shares in (AccountShares, UnsharedCapacity):
            pools, kinds = make_zwolle()
            simulation = PoolSimulation(
                pools,
                3,
                kinds,
                1,
                lambda spec, make=shares: StageScheduler(spec, shares=make()),
            )
            simulation.run(14.0, bursts)
            outcomes.append((simulation.outcomes, simulation.calls, simulation.pieces))
        assert outcomes[0] == outcomes[1]

    def test_switched_off_the_accounts_change_nothing(self):
        runs = [
            play_burst(1, False, True, names_accounts=named) for named in (True, False)
        ]
        assert runs[0].outcomes == runs[1].outcomes
        assert runs[0].calls == runs[1].calls
