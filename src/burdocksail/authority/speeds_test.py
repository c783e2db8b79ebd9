"""Speeds of servers that instances learn together."""

import math
import unittest

from burdocksail.authority._speeds import (
    MAX_SPEEDS,
    collect_speeds,
    merge_speeds,
    store_shared_speeds,
)
from burdocksail.board import Blackboard, Member, ServerSpeed
from burdocksail.catalog import Upstream, UpstreamRole, UpstreamState

TENTH = math.log(10.0)


class FixedClock:
    def __init__(self, now: float):
        self.now = now

    def read(self) -> float:
        return self.now


def make_board(now: float = 100.0) -> Blackboard:
    member = Member("a", "run", "north", "10.0.0.1", 1)
    board = Blackboard(member, FixedClock(now), {})
    for name in ("s1", "s2"):
        board.directory.upstreams[name] = Upstream(
            id=name,
            service="orders",
            host=name,
            port=1,
            failure_domain="north",
            slots=4,
            state=UpstreamState.READY,
            role=UpstreamRole.REPLICA,
            started_at_ms=1,
            sequence=1,
        )
    return board


class CollectTest(unittest.TestCase):
    def test_only_notable_recent_speeds_of_known_servers_are_told(self):
        board = make_board()
        board.speeds.own["s1"] = (ServerSpeed("s1", 1, TENTH, 2.0), 100.0)
        board.speeds.own["s2"] = (ServerSpeed("s2", 1, 0.1, 2.0), 100.0)
        board.speeds.own["gone"] = (ServerSpeed("gone", 1, TENTH, 2.0), 100.0)
        self.assertEqual([s.upstream_id for s in collect_speeds(board)], ["s1"])
        board.clock.now += 10.0
        self.assertEqual(collect_speeds(board), ())

    def test_recovery_is_told_while_others_hold_the_server_to_be_slow(self):
        """Those without recent answers would avoid it for as long as they are told."""
        board = make_board()
        board.speeds.own["s1"] = (ServerSpeed("s1", 1, 0.0, 2.0), 100.0)
        self.assertEqual(collect_speeds(board), ())
        store_shared_speeds(board, [ServerSpeed("s1", 1, TENTH, 2.0)])
        self.assertEqual(len(collect_speeds(board)), 1)


class MergeTest(unittest.TestCase):
    def test_one_instance_alone_is_not_followed(self):
        """Its link to the server may be slow."""
        alone = [ServerSpeed("s1", 1, TENTH, 50.0)]
        self.assertEqual(merge_speeds([alone]), ())
        (merged,) = merge_speeds([alone, [ServerSpeed("s1", 1, 0.0, 2.0)]])
        self.assertAlmostEqual(merged.log_ratio, TENTH / 2)

    def test_restarts_are_kept_apart(self):
        before, after = (ServerSpeed("s1", n, TENTH, 1.0) for n in (1, 2))
        self.assertEqual(merge_speeds([[before], [after]]), ())

    def test_unusable_and_excess_reports_are_left_out(self):
        bad = [
            ServerSpeed("s1", 1, math.nan, 1.0),
            ServerSpeed("s1", 1, 1e300, 1.0),
            ServerSpeed("s1", 1, 1.0, math.inf),
            ServerSpeed("s1", 1, 1.0, -1.0),
        ]
        self.assertEqual(merge_speeds([bad, bad]), ())
        board = make_board()
        store_shared_speeds(board, bad)
        self.assertEqual(board.speeds.shared, {})
        many = [ServerSpeed(f"s{n}", 1, TENTH, 1.0) for n in range(100)]
        self.assertEqual(len(merge_speeds([many, many])), MAX_SPEEDS)


if __name__ == "__main__":
    unittest.main()
