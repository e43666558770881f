"""Tests of the quarantine of prompt parts in fleets of all sizes, in virtual time."""

import asyncio

import pytest

from firworks.kernel.forwarding.features import make_part_fingerprint
from firworks.kernel.forwarding.suspects import MAX_ANSWERED_REPORTED, MAX_SUSPECTS
from firworks.tests.part_simulation import DEADLY_PART, SYSTEM_PART, PartSimulation
from firworks.tests.virtual_loop import run_virtual

MAX_LATE_SENDS = 3
# The platform's rules bound sends from the fifth crash on.
MAX_CRASHES = 5 + MAX_LATE_SENDS
MIN_SERVED = 0.9
# From when on sound requests are served, by the platform's rules: twice three seconds.
SETTLED_S = 6.0
LENGTH_S = 30.0
GROUPS = 20


def make_sound(rng):
    """Return the parts of a sound prompt."""
    return (SYSTEM_PART, f"group-{rng.randrange(GROUPS)}")


def make_deadly(rng):
    """Return the parts of a prompt with the deadly part."""
    return (SYSTEM_PART, f"group-{rng.randrange(GROUPS)}", DEADLY_PART)


def play(scenario):
    """Run ``scenario()`` in virtual time."""
    run_virtual(scenario())


async def play_all(simulation, deadly_per_s, sound=make_sound, deadly=make_deadly):
    """Play sound requests for a while, then all; return when the latter began."""
    rate = 2 * len(simulation.engines)
    await simulation.play(5.0, rate, 0, sound, deadly)
    begun_s = asyncio.get_running_loop().time()
    await simulation.play(LENGTH_S, rate, deadly_per_s, sound, deadly)
    return begun_s


class TestFleets:
    @pytest.mark.parametrize("seed", [1, 2])
    @pytest.mark.parametrize("deadly_per_s", [1, 40])
    @pytest.mark.parametrize(("gateways", "engines"), [(4, 6), (18, 10), (119, 45)])
    def test_a_deadly_part_crashes_few_engines(
        self, gateways, engines, deadly_per_s, seed
    ):
        async def scenario():
            simulation = PartSimulation(gateways, engines, seed)
            begun_s = await play_all(simulation, deadly_per_s)
            assert simulation.count_late() <= MAX_LATE_SENDS
            assert len(simulation.crashes_s) <= MAX_CRASHES
            assert simulation.measure_served(begun_s + SETTLED_S) >= MIN_SERVED

        play(scenario)

    @pytest.mark.parametrize("order_seed", range(20))
    def test_the_order_in_which_connections_break_does_not_matter(self, order_seed):
        """A crashed engine that answered in the simulation cleared the deadly part."""

        async def scenario():
            simulation = PartSimulation(4, 6, order_seed=order_seed)
            await play_all(simulation, 40)
            assert simulation.count_late() <= MAX_LATE_SENDS
            assert len(simulation.crashes_s) <= MAX_CRASHES

        play(scenario)

    def test_gateways_that_start_or_are_killed_learn_of_the_part(self):
        async def scenario():
            simulation = PartSimulation(18, 10)
            running = asyncio.ensure_future(play_all(simulation, 5))
            for number in range(20):
                await asyncio.sleep(1.5)
                simulation.remove_gateway(list(simulation.gateways)[0])
                simulation.add_gateway(f"new-{number}")
            begun_s = await running
            assert simulation.count_late() <= MAX_LATE_SENDS
            assert simulation.measure_served(begun_s + SETTLED_S) >= MIN_SERVED

        play(scenario)

    def test_a_gateway_without_links_to_others_gets_no_trials(self):
        async def scenario():
            simulation = PartSimulation(6, 10)
            running = asyncio.ensure_future(play_all(simulation, 5))
            await asyncio.sleep(12.0)
            cut = list(simulation.gateways.values())[2]
            cut.connected = False
            await asyncio.sleep(8.0)
            cut.connected = True
            await running
            assert simulation.count_late() <= MAX_LATE_SENDS

        play(scenario)


class TestEvidence:
    def test_sound_companion_of_a_deadly_part_is_served(self):
        """Most requests with the companion are deadly."""

        def deadly(rng):
            return (SYSTEM_PART, "companion", DEADLY_PART)

        def sound(rng):
            return (
                (SYSTEM_PART, "companion") if rng.random() < 0.15 else make_sound(rng)
            )

        async def scenario():
            simulation = PartSimulation(4, 6)
            await simulation.play(5.0, 12, 0, make_sound, deadly)
            begun_s = asyncio.get_running_loop().time()
            await simulation.play(LENGTH_S, 12, 6, sound, deadly)
            assert simulation.count_late() <= MAX_LATE_SENDS
            companion = make_part_fingerprint("companion")
            served = [
                one.served
                for one in simulation.requests
                if not one.deadly
                and companion in one.parts
                and one.begun_s >= begun_s + SETTLED_S
            ]
            assert len(served) >= 20
            assert sum(served) >= MIN_SERVED * len(served)

        play(scenario)

    def test_first_part_is_served_when_nothing_was_answered_before(self):
        async def scenario():
            simulation = PartSimulation(12, 8)
            await simulation.play(LENGTH_S, 16, 8, make_sound, make_deadly)
            assert simulation.count_late() <= MAX_LATE_SENDS
            assert simulation.measure_served(SETTLED_S) >= MIN_SERVED

        play(scenario)

    @pytest.mark.parametrize("pause_s", [0.0, 0.3, 1.0])
    def test_killed_engines_quarantine_no_part_of_all_prompts(self, pause_s):
        async def scenario():
            simulation = PartSimulation(12, 20)
            running = asyncio.ensure_future(
                simulation.play(20.0, 60, 0, make_sound, make_deadly)
            )
            await asyncio.sleep(3.0)
            for engine in simulation.engines[:15]:
                simulation.kill([engine])
                await asyncio.sleep(pause_s)
            part = make_part_fingerprint(SYSTEM_PART)
            for gateway in simulation.gateways.values():
                assert not gateway.crashes.is_quarantined(part)
            await running
            assert simulation.measure_served(8.0) >= MIN_SERVED

        play(scenario)

    def test_part_of_two_killed_engines_is_cleared_by_one_trial(self):
        async def scenario():
            simulation = PartSimulation(4, 6)
            gateways = list(simulation.gateways.values())
            part = make_part_fingerprint("rare")
            for number, gateway in enumerate(gateways[:2]):
                gateway.crashes.record_ended((f"engine-{number}", 0), {part})
            await asyncio.sleep(0.6)
            assert all(gateway.crashes.is_quarantined(part) for gateway in gateways)
            await simulation.play(1.0, 1, 0, lambda rng: ("rare",), make_deadly)
            await asyncio.sleep(0.1)
            assert simulation.requests[0].served
            assert not any(gateway.crashes.is_quarantined(part) for gateway in gateways)

        play(scenario)

    def test_a_part_that_had_responses_is_quarantined_when_crashes_go_on(self):
        """New software of engines may crash on a part that was sound before."""

        async def scenario():
            simulation = PartSimulation(4, 6)
            gateway = list(simulation.gateways.values())[0]
            part = make_part_fingerprint("turned")
            gateway.crashes.record_answer((part,))
            for number in range(4):
                assert not gateway.crashes.is_quarantined(part)
                gateway.crashes.record_ended((f"engine-{number}", 0), {part})
                await asyncio.sleep(1.5)
            assert gateway.crashes.is_quarantined(part)

        play(scenario)


# A deadly part with more than 64 others was a suspect only near the ends of its prompt:
# it went on crashing engines, and the sound parts beside it were quarantined instead.
class TestLongPrompts:
    def make_sound(self, count):
        """Return a maker of prompts that share all of some parts."""
        return lambda rng: tuple(f"{number:x}" for number in range(count))

    def make_deadly(self, count, place):
        """Return a maker of the same prompts with the deadly part at a place."""
        parts = self.make_sound(count)(None)
        return lambda rng: (*parts[:place], DEADLY_PART, *parts[place + 1 :])

    def make_fingerprints(self, count):
        """Return the fingerprints (list of bytes) of some parts."""
        return [make_part_fingerprint(f"{number:x}") for number in range(count)]

    def check(self, simulation, begun_s):
        """Check that the part is found and that sound requests are served."""
        assert simulation.count_late() <= MAX_LATE_SENDS
        assert len(simulation.crashes_s) <= MAX_CRASHES
        assert simulation.measure_served(begun_s + SETTLED_S) >= MIN_SERVED

    @pytest.mark.parametrize("seed", [1, 2])
    @pytest.mark.parametrize(
        ("count", "place"),
        [(64, 32), (65, 32), (80, 40), (80, 0), (80, 79), (300, 150), (1_999, 1_000)],
    )
    def test_a_deadly_part_at_any_place_is_found(self, count, place, seed):
        async def scenario():
            simulation = PartSimulation(4, 6, seed)
            makers = (self.make_sound(count), self.make_deadly(count, place))
            begun_s = await play_all(simulation, 4, *makers)
            self.check(simulation, begun_s)

        play(scenario)

    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize("count", [3, 65, 300])
    def test_a_deadly_part_is_found_when_nothing_was_answered_before(self, count, seed):
        async def scenario():
            simulation = PartSimulation(4, 6, seed)
            makers = (self.make_sound(count), self.make_deadly(count, count // 2))
            await simulation.play(LENGTH_S, 12, 4, *makers)
            self.check(simulation, 0.0)

        play(scenario)

    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize("count", [3, 80, 300])
    def test_two_deadly_parts_are_found(self, count, seed):
        places = (count // 2, count // 3)
        first, second = (self.make_deadly(count, place)(None) for place in places)
        second = tuple(
            f"{DEADLY_PART}-2" if one == DEADLY_PART else one for one in second
        )

        async def scenario():
            simulation = PartSimulation(4, 6, seed)
            begun_s = await play_all(
                simulation,
                4,
                self.make_sound(count),
                lambda rng: rng.choice((first, second)),
            )
            # The bound of late sends holds for each part.
            assert simulation.count_late() <= 2 * MAX_LATE_SENDS
            assert simulation.measure_served(begun_s + SETTLED_S) >= MIN_SERVED

        play(scenario)

    def test_sound_requests_share_some_of_the_parts(self):
        parts = self.make_sound(300)(None)

        def sound(rng):
            return tuple(rng.sample(parts, 100))

        async def scenario():
            simulation = PartSimulation(4, 6)
            begun_s = await play_all(simulation, 4, sound, self.make_deadly(300, 150))
            self.check(simulation, begun_s)

        play(scenario)

    def test_gateways_start_and_are_killed_meanwhile(self):
        async def scenario():
            simulation = PartSimulation(6, 6)
            makers = (self.make_sound(300), self.make_deadly(300, 150))
            running = asyncio.ensure_future(play_all(simulation, 4, *makers))
            for number in range(20):
                await asyncio.sleep(1.5)
                simulation.remove_gateway(list(simulation.gateways)[0])
                simulation.add_gateway(f"new-{number}")
            self.check(simulation, await running)

        play(scenario)

    def test_a_crash_is_told_in_one_message_of_bounded_size(self):
        async def scenario():
            simulation = PartSimulation(2, 6)
            gateway = list(simulation.gateways.values())[0]
            parts = self.make_fingerprints(2_000)
            gateway.crashes.record_answer(parts)
            sent = []
            gateway.broadcast = sent.append
            deadly = make_part_fingerprint(DEADLY_PART)
            gateway.crashes.record_ended(("engine-0", 0), {*parts, deadly})
            (record,) = sent
            assert deadly in record.fingerprints and deadly not in record.answered
            assert len(record.fingerprints) == MAX_ANSWERED_REPORTED + 1

        play(scenario)

    async def exchange(self, simulation, count):
        """Let gateways suspect parts and clear them again; check that all know it."""
        known = self.make_fingerprints(2 * count)
        new = known[count:]
        first, *others = [one.crashes for one in simulation.gateways.values()]
        # One gateway has had no response to parts that all others know as sound.
        for other in others:
            other.record_answer(known[:count])
        first.record_ended(("engine-0", 0), set(known[:count]))
        await asyncio.sleep(1.0)
        assert not first.is_suspected(known)
        # Nobody has had a response to others, which a trial clears.
        first.record_ended(("engine-1", 0), set(new))
        await asyncio.sleep(1.0)
        assert all(len(one.select_quarantined(new)) == count for one in others)
        assert await first.request_trial(first.select_quarantined(new))
        first.record_answer(new)
        await asyncio.sleep(1.0)
        assert not any(one.is_suspected(new) for one in (first, *others))

    @pytest.mark.parametrize("count", [3, 2_000])
    def test_messages_do_not_grow_with_the_number_of_parts(self, count):
        async def scenario():
            simulation = PartSimulation(5, 6)
            await self.exchange(simulation, count)
            assert simulation.messages < 60

        play(scenario)

    def test_older_gateways_get_one_message_a_part(self):
        async def scenario():
            simulation = PartSimulation(5, 6)
            simulation.protocol = 1
            await self.exchange(simulation, 40)
            assert simulation.messages > 40

        play(scenario)


class TestBounds:
    def test_strangers_part_is_served_while_a_caller_names_it_in_deadly_requests(self):
        def deadly(rng):
            return (SYSTEM_PART, "strangers", "own", DEADLY_PART)

        def sound(rng):
            return (SYSTEM_PART, "strangers")

        async def scenario():
            simulation = PartSimulation(4, 6)
            begun_s = await play_all(simulation, 6, sound, deadly)
            assert simulation.measure_served(begun_s + SETTLED_S) == 1.0

        play(scenario)

    def test_memory_and_messages_do_not_grow_with_the_number_of_parts(self):
        numbers = iter(range(10**9))

        def sound(rng):
            return (SYSTEM_PART, f"part-{next(numbers)}")

        async def scenario():
            simulation = PartSimulation(4, 50)
            await simulation.play(10.0, 200, 0, sound, make_deadly)
            assert simulation.messages == 0

        play(scenario)

    def test_crash_beside_more_parts_than_are_kept_is_reported(self):
        async def scenario():
            simulation = PartSimulation(2, 6)
            gateway = list(simulation.gateways.values())[0]
            parts = {make_part_fingerprint(f"{n}") for n in range(MAX_SUSPECTS + 1)}
            gateway.crashes.record_ended(("engine-0", 0), parts)
            assert simulation.messages == 1

        play(scenario)
