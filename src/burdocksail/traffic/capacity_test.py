"""Learned speeds of servers, without a fleet."""

import math
import random
import unittest

from burdocksail.traffic import (
    ConcurrencyLimit,
    KneeEstimate,
    PendingWork,
    SpeedEstimate,
    WorkTimes,
)


class Learner:
    """An instance that sends work to servers and learns their speeds."""

    def __init__(self, seed: int, servers: tuple[str, ...] = ("a", "b", "c")):
        self.times = WorkTimes()
        self.speeds = {name: SpeedEstimate() for name in servers}
        self.random = random.Random(seed)
        self.now = 100.0

    def run(
        self,
        seconds: float,
        per_second: float,
        factors: dict[str, float] | None = None,
        works: dict[str, float] | None = None,
    ) -> None:
        """Send statements to servers at random, for each at `per_second`."""
        end = self.now + seconds
        while self.now < end:
            self.now += self.random.expovariate(per_second * len(self.speeds))
            server = self.random.choice(list(self.speeds))
            kind, work = self.random.choice(list((works or {"read": 0.03}).items()))
            spread = self.random.lognormvariate(-0.125, 0.5)
            took = work * spread * (factors or {}).get(server, 1.0)
            comparison = self.times.record(kind, server, took, self.now)
            if comparison is not None:
                interval = self.times.interval
                self.speeds[server].record(comparison, interval, self.now)

    def factors(self) -> dict[str, float]:
        return {n: s.compute_factor(self.now) for n, s in self.speeds.items()}


class SpeedTest(unittest.TestCase):
    def test_slow_server_is_known_within_seconds(self):
        """Averages over tens of samples would take a minute at the lower rate."""
        for per_second, seconds, share in ((10.0, 1.0, 0.95), (0.4, 8.0, 0.65)):
            found = 0
            for seed in range(100):
                learner = Learner(seed)
                learner.run(20.0, per_second)
                learner.run(seconds, per_second, {"b": 10.0})
                factors = learner.factors()
                found += factors["b"] > 1.5 * max(factors["a"], factors["c"])
            with self.subTest(per_second):
                self.assertGreaterEqual(found, share * 100)

    def test_recovery_is_known_within_seconds(self):
        """A server would stay unused for as long as its worst time is remembered."""
        for seed in range(20):
            learner = Learner(seed)
            learner.run(5.0, 10.0)
            learner.run(5.0, 10.0, {"b": 10.0})
            learner.run(2.0, 10.0)
            self.assertLess(learner.factors()["b"], 1.7)

    def test_equal_servers_with_mixed_work_stay_equal(self):
        """Average latencies would differ with the work that each server got."""
        works = {"short": 0.007, "long": 0.055}
        factors = []
        for seed in range(20):
            learner = Learner(seed)
            for _ in range(10):
                learner.run(2.0, 3.0, works=works)
                factors.extend(learner.factors().values())
        near = sum(0.7 < factor < 1.43 for factor in factors)
        self.assertGreater(near / len(factors), 0.95)

    def test_work_that_becomes_longer_everywhere_slows_no_server(self):
        learner = Learner(1)
        learner.run(10.0, 10.0)
        learner.run(10.0, 10.0, works={"read": 0.15})
        factors = learner.factors().values()
        self.assertLess(max(factors) / min(factors), 1.5)

    def test_work_without_peers_tells_nothing(self):
        """Writes run at the primary only; a long kind of them is not its fault."""
        learner = Learner(1)
        learner.run(10.0, 3.0)
        for _ in range(20):
            comparison = learner.times.record(
                "write", "a", 0.5, learner.now, has_peers=False
            )
            self.assertIsNone(comparison)

    def test_speed_without_samples_is_forgotten(self):
        """A server that got no reads for being slow has to be tried again."""
        learner = Learner(2)
        learner.run(10.0, 5.0)
        learner.run(5.0, 5.0, {"b": 10.0})
        before = learner.factors()["b"]
        learner.now += 12.0
        self.assertGreater(before, 4.0)
        self.assertLess(learner.factors()["b"], before / 2)


class WorkTimesTest(unittest.TestCase):
    def test_kinds_are_bounded_and_the_recent_ones_stay(self):
        times = WorkTimes()
        for number in range(1000):
            times.record("kept", "a", 0.2, float(number))
            times.record(number, "a", 0.1, float(number))
        self.assertAlmostEqual(times.estimate("kept"), 0.2)
        self.assertLess(len(times._kinds), 300)

    def test_run_time_at_a_server_is_its_own_where_it_is_known(self):
        """Writes run at one server only, so its factor is in their times already."""
        times = WorkTimes()
        self.assertEqual(times.estimate_at("write", "a", 5.0, 10.0), 0.0)
        for number in range(3):
            times.record("write", "a", 0.4, 10.0 + number, has_peers=False)
        self.assertAlmostEqual(times.estimate_at("write", "a", 5.0, 13.0), 0.4)
        self.assertAlmostEqual(times.estimate_at("write", "b", 5.0, 13.0), 2.0)

    def test_restarted_servers_leave_no_samples_behind(self):
        times = WorkTimes()
        for restart in range(100):
            times.record("read", ("a", restart), 0.03, restart * 100.0)
        self.assertLessEqual(len(times._kinds["read"]), 2)


class PendingWorkTest(unittest.TestCase):
    def test_statement_that_is_not_answered_tells_of_a_slow_server(self):
        pending = PendingWork()
        first = pending.add(0.03, 10.0)
        pending.add(0.03, 10.3)
        self.assertEqual(pending.compute_least_factor(10.05), 1.0)
        self.assertAlmostEqual(pending.compute_least_factor(10.3), 2.5)
        pending.remove(first)
        self.assertEqual(pending.compute_least_factor(10.3), 1.0)
        self.assertTrue(math.isclose(pending.seconds, 0.03))


class KneeTest(unittest.TestCase):
    def test_long_answers_in_a_row_exceed_the_knee_and_short_ones_end_that(self):
        knee = KneeEstimate()
        for number in range(10):
            knee.record(0.0, 10.0 + 0.1 * number)
        knee.record(math.log(8.0), 11.0)
        self.assertFalse(knee.is_exceeded)
        for number in range(6):
            knee.record(math.log(8.0), 11.1 + 0.1 * number)
        self.assertTrue(knee.is_exceeded)
        for number in range(6):
            knee.record(0.0, 12.0 + 0.1 * number)
        self.assertFalse(knee.is_exceeded)

    def test_lasting_length_becomes_the_usual_one(self):
        """The limit would stay low for as long as a server is slow."""
        knee = KneeEstimate()
        for number in range(20):
            knee.record(0.0, 10.0 + 0.1 * number)
        for number in range(300):
            knee.record(math.log(8.0), 12.0 + 0.1 * number)
        self.assertFalse(knee.is_exceeded)

    def test_limit_stays_low_while_answers_are_long(self):
        limit = ConcurrencyLimit()
        for number in range(30):
            limit.record_delay(True, 6, 10.0 + number)
            limit.record_answer(6)
        self.assertTrue(limit.allows(0))
        self.assertFalse(limit.allows(1))
        limit.record_delay(False, 1, 50.0)
        for _ in range(30):
            limit.record_answer(6)
        self.assertTrue(limit.allows(6))


if __name__ == "__main__":
    unittest.main()
