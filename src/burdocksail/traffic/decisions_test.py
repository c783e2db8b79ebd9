"""Single decisions of this package, without a fleet."""

import random
import unittest

from burdocksail.traffic import (
    ConcurrencyLimit,
    DrainRate,
    LagEstimate,
    Obstacle,
    OpeningWindow,
    RetryBudget,
    ServerHealth,
    ServerLoad,
    compute_backoff,
    compute_order,
    compute_retry_after,
    find_ejected,
    rank_by_cost,
)


def make_rng() -> random.Random:
    return random.Random(1)


class LagEstimateTest(unittest.TestCase):
    def test_refusal_excludes_younger_floors_only(self):
        lag = LagEstimate()
        lag.record_refusal(1.0, 10.0, make_rng())
        self.assertFalse(lag.may_cover(0.5, 10.05))
        self.assertFalse(lag.may_cover(1.0, 10.05))
        self.assertTrue(lag.may_cover(1.5, 10.05))
        self.assertTrue(lag.may_cover(0.5, 10.3))

    def test_repeated_refusals_last_longer_and_an_answer_ends_them(self):
        lag, now, rng = LagEstimate(), 10.0, make_rng()
        for _ in range(20):
            lag.record_refusal(1.0, now, rng)
            expiry = lag.expires_at - now
            now = lag.expires_at
        self.assertGreater(expiry, 0.8)
        self.assertLess(expiry, 1.6)
        lag.record_answer(0.9)
        self.assertTrue(lag.may_cover(0.1, now - 0.01))


class WaitingTest(unittest.TestCase):
    def test_lower_priority_is_overtaken_for_a_bounded_time(self):
        patient = compute_order(10.0, 2.5, 2)
        self.assertLess(compute_order(11.0, 0.5, 0), patient)
        self.assertGreater(compute_order(14.0, 0.5, 0), patient)

    def test_wait_is_known_only_while_the_queue_is_served(self):
        """A server that hands nothing out may be lost, which is not a long queue."""
        drain = DrainRate()
        self.assertEqual(drain.estimate_wait(100, 10.0), 0.0)
        for number in range(5):
            drain.record_hand_out(10.0 + 0.1 * number, still_waiting=True)
        self.assertAlmostEqual(drain.estimate_wait(9, 10.45), 1.0)
        self.assertEqual(drain.estimate_wait(9, 11.0), 0.0)

    def test_rate_is_forgotten_when_the_queue_is_empty(self):
        drain = DrainRate()
        for number in range(5):
            drain.record_hand_out(10.0 + number, still_waiting=number < 4)
        self.assertEqual(drain.estimate_wait(9, 14.0), 0.0)


class OpeningWindowTest(unittest.TestCase):
    def test_window_doubles_while_connections_open(self):
        window = OpeningWindow()
        self.assertTrue(window.may_open(1, 10.0))
        self.assertFalse(window.may_open(2, 10.0))
        window.record_opened()
        self.assertTrue(window.may_open(3, 10.0))

    def test_full_server_is_asked_again_later_and_by_one_connection(self):
        window, rng = OpeningWindow(), make_rng()
        first = window.record_full(10.0, rng)
        self.assertFalse(window.may_open(0, 10.0 + first / 2))
        self.assertTrue(window.may_open(0, 10.0 + first))
        self.assertFalse(window.may_open(1, 10.0 + first))
        self.assertFalse(window.may_keep_idle(11.0))
        self.assertTrue(window.may_keep_idle(12.1))


class ConcurrencyLimitTest(unittest.TestCase):
    def test_rejections_of_one_moment_count_once(self):
        limit = ConcurrencyLimit()
        for _ in range(10):
            limit.record_rejection(10, 10.0)
        self.assertTrue(limit.allows(6))
        self.assertFalse(limit.allows(7))

    def test_one_connection_stays_and_the_limit_ends(self):
        limit = ConcurrencyLimit()
        for number in range(50):
            limit.record_rejection(5, 10.0 + number)
        self.assertTrue(limit.allows(0))
        for _ in range(100):
            limit.record_answer(4)
        self.assertTrue(limit.allows(100))


class EjectionTest(unittest.TestCase):
    def record(self, results: dict[str, str]) -> dict[str, ServerHealth]:
        healths = {name: ServerHealth() for name in results}
        for name, outcomes in results.items():
            for outcome in outcomes:
                healths[name].record(failed=outcome == "x")
        return healths

    def test_outlier_is_ejected_for_longer_each_time(self):
        healths = self.record({"a": "." * 10, "b": "x.x.x.x.x.", "c": "." * 10})
        self.assertEqual(find_ejected(healths, 10.0), {"b"})
        self.assertEqual(find_ejected(healths, 10.9), {"b"})
        self.assertEqual(find_ejected(healths, 11.1), set())
        for _ in range(10):
            healths["b"].record(failed=True)
        find_ejected(healths, 12.0)
        self.assertEqual(find_ejected(healths, 13.5), {"b"})

    def test_servers_that_all_fail_are_not_outliers(self):
        healths = self.record({"a": "x" * 10, "b": "x" * 10, "c": "x" * 10})
        self.assertEqual(find_ejected(healths, 10.0), set())

    def test_last_server_and_more_than_half_stay(self):
        healths = self.record({"a": "x" * 10})
        self.assertEqual(find_ejected(healths, 10.0), set())
        healths = self.record({"a": "x" * 10, "b": "x" * 10, "c": "." * 10})
        self.assertEqual(len(find_ejected(healths, 10.0)), 1)
        self.assertEqual(len(find_ejected(healths, 10.0)), 1)

    def test_few_results_eject_nobody(self):
        healths = self.record({"a": "." * 10, "b": "xx", "c": "." * 10})
        self.assertEqual(find_ejected(healths, 10.0), set())


class PlacementTest(unittest.TestCase):
    def test_lagging_servers_are_left_out_unless_all_lag(self):
        near = ServerLoad("near", 0.001, 0.03, may_cover=False)
        far = ServerLoad("far", 0.03, 0.06)
        self.assertEqual(rank_by_cost([near, far]), ["far"])
        late = ServerLoad("late", 0.03, 0.06, may_cover=False)
        self.assertEqual(rank_by_cost([near, late]), ["near", "late"])

    def test_ejected_and_avoided_servers_come_last(self):
        ejected = ServerLoad("ejected", 0.001, 0.01, is_ejected=True)
        avoided = ServerLoad("avoided", 0.001, 0.01, is_avoided=True)
        loaded = ServerLoad("loaded", 0.03, 0.03, pending=0.15)
        ranked = rank_by_cost([ejected, avoided, loaded])
        self.assertEqual(ranked, ["loaded", "avoided", "ejected"])


class BackoffTest(unittest.TestCase):
    def test_second_attempt_is_immediate_and_later_ones_are_spread(self):
        rng = make_rng()
        self.assertEqual(compute_backoff(1, 0, True, rng), 0.0)
        delays = {compute_backoff(2, 0, True, rng) for _ in range(20)}
        self.assertEqual(len(delays), 20)
        self.assertLess(max(delays), 0.03)

    def test_budget_is_a_share_of_new_requests(self):
        budget = RetryBudget()
        while budget.spend():
            pass
        for _ in range(12):
            budget.record_request()
        self.assertEqual(sum(budget.spend() for _ in range(10)), 3)


class RetryAfterTest(unittest.TestCase):
    def test_estimate_is_told_within_limits(self):
        rng = make_rng()
        for expected, low, high in ((0.0, 0.1, 0.3), (1.0, 1.0, 1.5), (60.0, 2.0, 2.0)):
            seconds = compute_retry_after(Obstacle.OVERLOAD, 0, rng, expected)
            self.assertTrue(low <= seconds <= high, seconds)

    def test_lower_priorities_return_later_on_average(self):
        rng = make_rng()
        means = [
            sum(compute_retry_after(Obstacle.OVERLOAD, p, rng) for _ in range(200))
            for p in (0, 2, 3)
        ]
        self.assertEqual(means, sorted(means))


if __name__ == "__main__":
    unittest.main()
