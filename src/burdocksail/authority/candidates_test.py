"""Choice of the server to promote among servers that lack different commits."""

import unittest

from burdocksail.authority._candidates import NoCandidate, Survey, choose_candidate
from burdocksail.authority._inspection import InspectedServer
from burdocksail.catalog import Upstream, UpstreamRole, UpstreamState
from burdocksail.core import LogPosition
from burdocksail.ports import ServerStatus


def at(sequence: int, term: int = 1) -> LogPosition:
    return LogPosition(term, sequence)


def make_server(name: str, position: LogPosition) -> InspectedServer:
    upstream = Upstream(
        name,
        "orders",
        name,
        1,
        "north",
        4,
        UpstreamState.READY,
        UpstreamRole.REPLICA,
        1,
    )
    return InspectedServer(upstream, ServerStatus(False, position.term, position))


def survey(ready=(), leaving=(), old=None, server_count=3, sync_replicas=1) -> Survey:
    """Return a survey of servers that are named after the place of their position."""
    ready_servers = [make_server(f"ready-{i}", p) for i, p in enumerate(ready)]
    others = [make_server(f"leaving-{i}", p) for i, p in enumerate(leaving)]
    return Survey(
        (*ready_servers, *others),
        None if old is None else make_server("old", old),
        frozenset(s.upstream.id for s in ready_servers),
        server_count,
        sync_replicas,
    )


def choose(surveyed: Survey, previous=None, overdue=False) -> str | None:
    chosen = choose_candidate(surveyed, previous, overdue)
    return None if chosen is None else chosen.upstream.id


class SyncReplicaTest(unittest.TestCase):
    """Commits wait for one replica, so none that was acknowledged may be lost."""

    def test_ready_server_that_has_caught_up_is_chosen_at_once(self):
        surveyed = survey(ready=[at(8), at(9)], leaving=[at(9)], old=at(9))
        self.assertEqual(choose(surveyed), "ready-1")

    def test_ready_server_behind_a_leaving_one_is_waited_for(self):
        surveyed = survey(ready=[at(7)], leaving=[at(9)])
        self.assertIsNone(choose(surveyed, previous=at(7)))

    def test_leaving_server_is_chosen_if_no_ready_one_catches_up(self):
        surveyed = survey(ready=[at(7)], leaving=[at(9)])
        self.assertEqual(choose(surveyed, at(7), overdue=True), "leaving-0")

    def test_old_primary_is_chosen_if_it_alone_has_the_last_commits(self):
        surveyed = survey(ready=[at(7)], old=at(9))
        self.assertIsNone(choose(surveyed, previous=at(7)))
        self.assertEqual(choose(surveyed, at(7), overdue=True), "old")

    def test_other_server_comes_before_the_old_primary(self):
        surveyed = survey(ready=[at(7)], leaving=[at(9)], old=at(9))
        self.assertEqual(choose(surveyed, overdue=True), "leaving-0")

    def test_too_few_answers_choose_nothing(self):
        """The commits may be at the server that does not answer."""
        surveyed = survey(ready=[at(9)], server_count=3)
        self.assertIsNone(choose(surveyed, previous=at(9)))
        with self.assertRaises(NoCandidate):
            choose(surveyed, at(9), overdue=True)

    def test_more_synchronous_replicas_need_fewer_answers(self):
        surveyed = survey(ready=[at(9)], server_count=3, sync_replicas=2)
        self.assertEqual(choose(surveyed, at(9)), "ready-0")

    def test_position_of_a_later_term_is_the_later_one(self):
        surveyed = survey(ready=[at(2, term=2)], leaving=[at(900)])
        self.assertEqual(choose(surveyed, at(2, term=2)), "ready-0")


class NoSyncReplicaTest(unittest.TestCase):
    """Commits wait for no replica, so a failover is not held up for long."""

    def test_server_is_chosen_once_its_position_is_settled(self):
        surveyed = survey(ready=[at(7), at(6)], sync_replicas=0)
        self.assertIsNone(choose(surveyed, previous=at(6)))
        self.assertEqual(choose(surveyed, previous=at(7)), "ready-0")

    def test_overdue_choice_is_a_ready_server(self):
        surveyed = survey(ready=[at(7)], leaving=[at(9)], old=at(9), sync_replicas=0)
        self.assertIsNone(choose(surveyed, previous=at(7)))
        self.assertEqual(choose(surveyed, at(7), overdue=True), "ready-0")

    def test_leaving_servers_alone_are_no_choice(self):
        with self.assertRaises(NoCandidate):
            choose(survey(leaving=[at(9)], sync_replicas=0))


if __name__ == "__main__":
    unittest.main()
