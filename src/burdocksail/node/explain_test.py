"""Explained requests: they go where the next request goes, and leave no trace."""

import unittest

from burdocksail.core import ExplainQuery, LogPosition, seconds
from burdocksail.fakes import capture_state
from burdocksail.node import Phase, Reply, SessionOpened, StatementArrived
from burdocksail.standin import World, WorldSettings

DATABASE = GROUP = "booking"
ACCOUNT = "desk-0"
READ = "SELECT 1"
WRITE = "DELETE FROM t"


class ExplainTest(unittest.TestCase):
    def setUp(self):
        self.world = World(1, WorldSettings())
        self.world.start()
        self.world.run_for(seconds(3))
        self.world.callers_paused = True
        self.world.run_for(seconds(2))
        self.node = self.world.simulator.nodes[self.world.find_leader()].node
        self.runtime = self.node.board.work.runtimes[GROUP]

    def explain(self, sql=READ, account=ACCOUNT, position=None, node=None):
        """Return the explanation, after a check that giving it has changed nothing."""
        node = node or self.node
        before = capture_state(node)
        answer = node.explain(ExplainQuery(DATABASE, sql, account, position))
        self.assertEqual(capture_state(node), before)
        return answer

    def compare(self, sql=READ, account=ACCOUNT, position=None):
        """Explain a request, send it, and compare where it goes or why it does not."""
        answer = self.explain(sql, account, position)
        outcome = answer["outcome"]
        node, board = self.node, self.node.board
        node.handle(SessionOpened("s", account))
        if position is not None:
            board.entry.sessions["s"].seen_positions[GROUP] = position
            board.entry.sessions["s"].has_token = True
        before = capture_state(node)
        effects = node.handle(StatementArrived("q", "s", DATABASE, sql))
        self.assertNotEqual(capture_state(node), before)
        replies = [e for e in effects if isinstance(e, Reply)]
        work = board.work.work_by_request_id.get("q")
        if replies:
            self.assertEqual(outcome["result"], "refused", answer)
            self.assertEqual(outcome["reason"], replies[0].answer.message)
        else:
            self.assertEqual(outcome["server"], work.server)
            self.assertEqual(outcome["result"], "runs" if work.server else "waits")
        return answer

    def find(self, answer, server):
        return next(c for c in answer["candidates"] if c["server"] == server)

    def test_read_goes_to_a_replica(self):
        answer = self.compare()
        self.assertNotIn(answer["outcome"]["server"], ("", self.runtime.primary))

    def test_write_goes_to_the_primary(self):
        answer = self.compare(WRITE)
        self.assertEqual(answer["outcome"]["server"], self.runtime.primary)

    def test_position_that_replicas_lack_leads_to_the_primary(self):
        position = LogPosition(self.runtime.term, 1 << 40)
        answer = self.compare(position=position)
        self.assertEqual(answer["outcome"]["server"], self.runtime.primary)
        for candidate in answer["candidates"]:
            if not candidate["primary"]:
                self.assertIn("has not applied", candidate["against"][0])

    def test_server_that_does_not_answer_is_passed_over(self):
        best = self.explain()["outcome"]["server"]
        self.runtime.servers[best].reachable = False
        answer = self.compare()
        self.assertNotEqual(answer["outcome"]["server"], best)
        self.assertIn("it does not answer", self.find(answer, best)["against"])

    def test_write_waits_while_there_is_no_primary(self):
        self.runtime.servers[self.runtime.primary].reachable = False
        self.assertEqual(self.compare(WRITE)["outcome"]["result"], "waits")

    def test_request_waits_while_the_group_is_closed(self):
        self.runtime.phase = Phase.PROMOTING
        self.assertEqual(self.compare()["outcome"]["result"], "waits")

    def test_long_queue_refuses(self):
        primary = self.runtime.servers[self.runtime.primary]
        primary.short.length = 100_000
        primary.short.by_service[DATABASE] = [None] * 100_000
        self.assertIn("expected wait", self.compare(WRITE)["outcome"]["reason"])

    def test_unknown_account_is_refused(self):
        self.compare(account="nobody")

    def test_another_instance_names_the_leader(self):
        others = [n.node for n in self.world.simulator.nodes.values()]
        other = next(n for n in others if n is not self.node)
        other.board.authority.leader_hints[GROUP] = self.node.board.me
        outcome = self.explain(node=other)["outcome"]
        self.assertEqual(outcome["result"], "forwarded")
        self.assertEqual(outcome["server"], self.node.board.me.name)


if __name__ == "__main__":
    unittest.main()
