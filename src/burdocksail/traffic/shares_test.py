"""Fair shares of workspaces, and the value of their idle connections."""

import random
import unittest
from collections import Counter

from burdocksail.traffic import Demand, FairQueue, compute_weight, estimate_use


def is_any(workspace: str | None) -> bool:
    return True


def serve(queue: FairQueue, count: int, cost: float = 0.03) -> Counter:
    """Serve requests in queue order and count them by workspace."""
    served: Counter = Counter()
    for _ in range(count):
        first = queue.find_first(is_any)
        queue.remove(first)
        queue.charge(first.workspace, first.level, cost)
        served[first.workspace] += 1
    return served


def make_queue(priorities: dict[str, int] | None = None) -> FairQueue:
    known = priorities or {}
    return FairQueue(lambda workspace: compute_weight(known.get(workspace, 0)))


class FairQueueTest(unittest.TestCase):
    def test_small_workspaces_are_not_delayed_by_a_hot_one(self):
        """Guards against small workspaces that wait behind all of a hot one's."""
        queue = make_queue()
        for n in range(500):
            queue.push("hot", 1, n * 0.001, None)
        for n in range(40):
            queue.push(f"small-{n}", 1, 10.0, None)
        served = serve(queue, 80)
        self.assertEqual(sum(served.values()) - served["hot"], 40)

    def test_shares_follow_the_weights(self):
        queue = make_queue({"high": 0, "low": 2})
        for n in range(200):
            queue.push("high", 1, n, None)
            queue.push("low", 1, n, None)
        served = serve(queue, 100)
        self.assertAlmostEqual(served["high"] / served["low"], 4.0, delta=0.3)

    def test_longer_use_of_connections_counts_against_a_share(self):
        """Guards against long statements that take more than their share."""
        queue = make_queue()
        for n in range(300):
            queue.push("long", 1, n, None)
            queue.push("short", 1, n, None)
        served: Counter = Counter()
        for _ in range(100):
            first = queue.find_first(is_any)
            queue.remove(first)
            queue.charge(first.workspace, 1, 0.03)
            if first.workspace == "long":
                queue.correct_charge("long", 1, 0.06)
            served[first.workspace] += 1
        self.assertAlmostEqual(served["short"] / served["long"], 3.0, delta=0.3)

    def test_more_urgent_level_goes_first_and_the_lowest_does_not_starve(self):
        queue = make_queue()
        queue.push("a", 2, 3.0, None)
        for n in range(10):
            queue.push("b", 0, 0.5 * n, None)
        levels = []
        while queue:
            first = queue.find_first(is_any)
            queue.remove(first)
            queue.charge(first.workspace, first.level, 0.03)
            levels.append(first.level)
        self.assertEqual(levels[0], 0)
        self.assertIn(levels.index(2), (6, 7))

    def test_workspace_gets_no_credit_for_the_time_that_it_was_idle(self):
        """Guards against a burst that takes all connections after a calm hour."""
        queue = make_queue()
        for _ in range(1000):
            queue.charge("busy", 1, 0.03)
        for n in range(100):
            queue.push("busy", 1, n, None)
            queue.push("back", 1, n, None)
        served = serve(queue, 40)
        self.assertAlmostEqual(served["back"], served["busy"], delta=2)

    def test_overtaking_ends_when_a_workspace_is_ahead_of_its_share(self):
        """Guards against a hot workspace that keeps its connections for itself."""
        queue = make_queue()
        for n in range(50):
            queue.push("hot", 1, n * 0.001, None)
        first = queue.push("small", 1, 0.04, None)
        overtaken = 0
        while queue.may_overtake(own := queue.find_first_of("hot"), first):
            queue.remove(own)
            queue.charge("hot", 1, 0.03)
            overtaken += 1
        self.assertIn(overtaken, range(4, 8))

    def test_request_due_much_later_does_not_overtake(self):
        queue = make_queue()
        first = queue.push("a", 1, 1.0, None)
        self.assertTrue(queue.may_overtake(queue.push("b", 1, 1.04, None), first))
        self.assertFalse(queue.may_overtake(queue.push("c", 1, 1.06, None), first))

    def test_random_runs_are_work_conserving_and_forget_the_idle(self):
        """Guards against requests that are lost in the queue, and against its growth.

        Entries of the heaps are dropped late, so counts and heaps could disagree.
        """
        for seed in range(20):
            rng = random.Random(seed)
            queue = make_queue()
            waiting = []
            for _ in range(2000):
                workspace = f"w{int(rng.paretovariate(0.5)) % 1000}"
                level, order = rng.randrange(3), rng.random() * 10
                waiting.append(queue.push(workspace, level, order, None))
                if rng.random() < 0.1:
                    queue.remove(waiting.pop(rng.randrange(len(waiting))))
                if rng.random() < 0.95:
                    first = queue.find_first(is_any)
                    if first is not None:
                        queue.remove(first)
                        queue.charge(first.workspace, first.level, rng.random())
            left = len(queue)
            self.assertEqual(sum(queue.waiting_by_workspace.values()), left)
            self.assertEqual(sum(serve(queue, left).values()), left)
            self.assertIsNone(queue.find_first(is_any))

    def test_position_counts_the_share_of_a_small_workspace(self):
        """Guards against rejecting small workspaces for a hot one's queue."""
        queue = make_queue()
        for n in range(100):
            queue.push("hot", 1, n, None)
        self.assertEqual(queue.estimate_ahead("small", 1), 1)
        self.assertEqual(queue.estimate_ahead("hot", 1), 100)
        self.assertEqual(queue.estimate_ahead("small", 0), 0)


class DemandTest(unittest.TestCase):
    def test_rate_follows_changes_and_forgets(self):
        demand = Demand()
        for n in range(1000):
            demand.record("a", n * 0.1)
        self.assertAlmostEqual(demand.compute_rate("a", 100.0), 10.0, delta=0.5)
        self.assertLess(demand.compute_rate("a", 200.0), 0.1)
        demand.record("b", 10_000.0)
        self.assertEqual(demand.compute_rate("a", 10_000.0), 0.0)

    def test_second_connection_of_a_busy_workspace_is_worth_less(self):
        """Guards against a large workspace that keeps connections it does not need."""
        busy = estimate_use(10.0, 0.3, 2)
        self.assertLess(busy, estimate_use(4.0, 0.1, 1))
        self.assertGreater(busy, estimate_use(1.0, 0.03, 1))


if __name__ == "__main__":
    unittest.main()
