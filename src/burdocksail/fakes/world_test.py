"""Random worlds, and proof that their observer sees what goes wrong."""

import unittest
from types import SimpleNamespace
from unittest import mock

from burdocksail.board import AuthoritySection
from burdocksail.core import Refusal
from burdocksail.fakes import run_virtually, silence_logs
from burdocksail.fakes._world import World
from burdocksail.serving import _exchange, _statements, _transactions
from burdocksail.serving._freshness import Floor

SEEDS = (3, 11, 124)  # 124: rolled-back commits were taken for missing ones
DURATION = 8.0  # seconds of virtual time with faults
DEFECT_SEEDS = range(1, 9)


def setUpModule():
    silence_logs()


def play(seed: int, duration: float = DURATION) -> World:
    async def run() -> World:
        world = World(seed)
        await world.run(duration)
        return world

    return run_virtually(run())


class WorldTest(unittest.TestCase):
    def test_promises_hold(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = play(seed)
                self.assertEqual(world.observer.broken, [])
                self.assertGreater(world.observer.answered, 200)

    def test_same_seed_gives_the_same_world(self):
        first, second = play(5, 4.0), play(5, 4.0)
        self.assertEqual(first.faults, second.faults)
        self.assertEqual(first.observer.answered, second.observer.answered)


class DefectTest(unittest.TestCase):
    """Each deliberate defect is seen in one of a few worlds."""

    def assert_seen(self, text: str) -> None:
        for seed in DEFECT_SEEDS:
            if any(text in broken for broken in play(seed).observer.broken):
                return
        self.fail("the defect was not seen")

    def test_reads_without_a_floor_are_seen(self):
        def find_nothing(*_):
            return Floor(None)

        with (
            mock.patch.object(_statements, "find_floor", find_nothing),
            mock.patch.object(_transactions, "find_floor", find_nothing),
        ):
            self.assert_seen("stale read")

    def test_evidence_that_never_ends_is_seen(self):
        def may_start(section, service, now):
            return section.groups.get(service)

        with (
            mock.patch.object(AuthoritySection, "may_start", may_start),
            mock.patch.object(AuthoritySection, "may_finish", lambda *_: True),
        ):
            self.assert_seen("stale read")

    def test_false_promise_is_seen(self):
        members = {member.name: member for member in Refusal}
        members["UNKNOWN_OUTCOME"] = Refusal.BUSY
        with mock.patch.object(_statements, "Refusal", SimpleNamespace(**members)):
            self.assert_seen("is kept though")

    def test_write_sent_twice_is_seen(self):
        original = _exchange.exchange

        async def exchange(board, pool, connection, values, statement, *rest):
            await original(board, pool, connection, values, statement, *rest)
            return await original(board, pool, connection, values, statement, *rest)

        with mock.patch.object(_statements, "exchange", exchange):
            self.assert_seen("took effect twice")


if __name__ == "__main__":
    unittest.main()
