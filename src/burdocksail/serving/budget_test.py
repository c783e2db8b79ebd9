"""Connection budgets in fleets of several sizes."""

import unittest

from burdocksail.board import Blackboard, GroupState, GroupView, Member
from burdocksail.catalog import Catalog, Service, Upstream, UpstreamRole, UpstreamState
from burdocksail.serving._budget import (
    MIN_CONNECTIONS,
    RESERVED_CONNECTIONS,
    RETAINED_SHARE,
    SCARCE_IDLE_TIMEOUT,
    compute_budget,
)

REGIONS = {f"domain-{n}": f"region-{n % 3}" for n in range(6)}


class StoppedClock:
    def read(self) -> float:
        return 0.0


def make_board(instances: int, connections: int, domain: str) -> Blackboard:
    member = Member("instance", "run", domain, "10.0.0.1", 7440)
    board = Blackboard(member, StoppedClock(), REGIONS)
    board.members.registered_count = instances
    services = {"orders": Service("orders", connections, 0)}
    board.catalog.catalog = Catalog(1, {}, services, 3.0, 1 << 18)
    return board


def make_upstream(domain: str) -> Upstream:
    return Upstream(
        "server",
        "orders",
        "10.0.1.1",
        3306,
        domain,
        4,
        UpstreamState.READY,
        UpstreamRole.REPLICA,
        1,
    )


class BudgetTest(unittest.TestCase):
    def test_retained_connections_of_all_instances_fit_the_server(self):
        for instances in (1, 6, 9, 30, 87, 300, 1400):
            for connections in (21, 53, 60, 195):
                with self.subTest(instances=instances, connections=connections):
                    retained = sum(
                        compute_budget(
                            make_board(instances, connections, f"domain-{n % 6}"),
                            make_upstream("domain-0"),
                        ).retained
                        for n in range(instances)
                    )
                    self.assertLessEqual(retained, connections - RESERVED_CONNECTIONS)

    def test_small_fleet_retains_half_of_its_share(self):
        budget = compute_budget(
            make_board(6, 21, "domain-1"), make_upstream("domain-0")
        )
        share = (21 - RESERVED_CONNECTIONS) / 6
        self.assertEqual(budget.retained, share * RETAINED_SHARE)

    def test_fleet_leaves_half_of_the_connections_to_its_own_restart(self):
        """Retaining one each, 32 instances filled two thirds of 51 connections."""
        for instances, connections in ((32, 51), (6, 21), (9, 60), (83, 195)):
            with self.subTest(instances=instances):
                budget = compute_budget(
                    make_board(instances, connections, "domain-1"),
                    make_upstream("domain-0"),
                )
                usable = connections - RESERVED_CONNECTIONS
                self.assertLessEqual(instances * budget.retained, usable / 2 + 1e-9)

    def test_instances_in_the_servers_region_retain_one(self):
        near = compute_budget(make_board(87, 53, "domain-3"), make_upstream("domain-0"))
        far = compute_budget(make_board(87, 53, "domain-1"), make_upstream("domain-0"))
        self.assertEqual((near.retained, far.retained), (1.0, 0.0))
        self.assertEqual(far.idle_timeout, SCARCE_IDLE_TIMEOUT)

    def test_nothing_is_retained_at_the_primary_when_connections_are_scarce(self):
        board = make_board(87, 53, "domain-0")
        view = GroupView("orders", "server", 1, GroupState.OPEN)
        board.authority.groups = {"orders": view}
        budget = compute_budget(board, make_upstream("domain-0"))
        self.assertEqual(budget.retained, 0.0)
        self.assertGreater(budget.idle_timeout, SCARCE_IDLE_TIMEOUT)

    def test_nothing_is_retained_when_one_region_exceeds_its_share(self):
        board = make_board(1400, 53, "domain-0")
        self.assertEqual(compute_budget(board, make_upstream("domain-0")).retained, 0.0)

    def test_capacity_without_a_configuration_is_the_minimum(self):
        board = make_board(6, 21, "domain-0")
        board.catalog.catalog = None
        budget = compute_budget(board, make_upstream("domain-0"))
        self.assertEqual(budget.capacity, MIN_CONNECTIONS)


if __name__ == "__main__":
    unittest.main()
