"""Randomized runs, and checks that their observer detects defects."""

import unittest
from collections.abc import Sequence
from types import SimpleNamespace
from unittest import mock

from burdocksail.board import AuthoritySection
from burdocksail.core import FailureKind
from burdocksail.fakes import run_in_virtual_time, silence_logs
from burdocksail.fakes._world import Fault, World
from burdocksail.serving import _choice, _exchange, _statements, _transactions
from burdocksail.serving._freshness import Floor

SEEDS = (3, 11, 124)  # 124: rolled-back commits were mistaken for missing ones
DURATION = 8.0  # seconds of virtual time with faults
DEFECT_SEEDS = range(1, 9)


def setUpModule():
    silence_logs()


def run_world(
    seed: int, duration: float = DURATION, faults: Sequence[Fault] = ()
) -> World:
    async def run() -> World:
        world = World(seed, faults=faults)
        await world.run(duration)
        return world

    return run_in_virtual_time(run())


class WorldTest(unittest.TestCase):
    def test_guarantees_hold(self):
        """Guards against faults that break a guarantee to callers."""

        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = run_world(seed)
                self.assertEqual(world.observer.violations, [])
                self.assertGreater(world.observer.answered, 200)

    def test_same_seed_gives_the_same_run(self):
        """Guards against nondeterminism, which makes failures irreproducible."""

        first, second = run_world(5, 4.0), run_world(5, 4.0)
        self.assertEqual(first.faults, second.faults)
        self.assertEqual(first.observer.answered, second.observer.answered)


class DefectTest(unittest.TestCase):
    """The observer detects each deliberate defect for one of a few seeds.

    Guards against an observer that passes runs which violate a guarantee.
    """

    def assert_detected(self, text: str, faults: Sequence[Fault] = ()) -> None:
        for seed in DEFECT_SEEDS:
            world = run_world(seed, faults=faults)
            if any(text in violation for violation in world.observer.violations):
                return
        self.fail("the defect was not seen")

    def test_reads_without_a_floor_are_detected(self):
        """Reads that demand no log position run on stale replicas."""

        def compute_no_floor(*_):
            return Floor(None)

        with (
            mock.patch.object(_choice, "compute_floor", compute_no_floor),
            mock.patch.object(_statements, "compute_floor", compute_no_floor),
            mock.patch.object(_transactions, "compute_floor", compute_no_floor),
        ):
            self.assert_detected("stale read")

    def test_lease_that_never_expires_is_detected(self):
        """Instances without lease expiry go on using a replaced primary."""

        def get_view_for_new_work(section, service, now):
            return section.groups.get(service)

        with (
            mock.patch.object(
                AuthoritySection, "get_view_for_new_work", get_view_for_new_work
            ),
            mock.patch.object(AuthoritySection, "is_result_valid", lambda *_: True),
        ):
            # Faults of all kinds seldom leave an instance alone with the primary.
            self.assert_detected("stale read", faults=(World.cut_minority,))

    def test_unknown_outcome_reported_as_busy_is_detected(self):
        """Callers are told that a write has no effect though it took effect."""

        members = {member.name: member for member in FailureKind}
        members["UNKNOWN_OUTCOME"] = FailureKind.BUSY
        with mock.patch.object(_statements, "FailureKind", SimpleNamespace(**members)):
            self.assert_detected("is kept though")

    def test_write_sent_twice_is_detected(self):
        """The write takes effect twice."""

        original = _exchange.exchange

        async def exchange(*arguments):
            await original(*arguments)
            return await original(*arguments)

        with mock.patch.object(_statements, "exchange", exchange):
            self.assert_detected("took effect twice")


if __name__ == "__main__":
    unittest.main()
