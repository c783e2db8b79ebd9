"""Differential test of the simulated platform against one SQLite database.

The same statements go through the platform and directly to the reference
database. Wherever the platform answers, its answer has to be the same.
"""

import random
import sqlite3
import unittest

from burdocksail.core import Outcome, seconds
from burdocksail.node import StatementOptions
from burdocksail.standin import FAULT_KINDS, World, WorldSettings

KINDS = {kind.name: kind for kind in FAULT_KINDS}
STEPS = 150
KEYS = 12
COMPARED_KEYWORDS = ("SELECT", "INSERT", "UPDATE", "DELETE")
CREATE_TABLE = "CREATE TABLE ledger (k INTEGER PRIMARY KEY, n INTEGER)"


class ReferenceDatabase:
    """A single database that runs statements one after the other."""

    def __init__(self):
        self._database = sqlite3.connect(":memory:", isolation_level=None)

    def run(self, sql):
        """Return the rows or the number of affected rows; None on an error."""
        try:
            cursor = self._database.execute(sql)
        except sqlite3.Error:
            return None
        if cursor.description is None:
            return max(cursor.rowcount, 0)
        return [tuple(str(v).encode() for v in row) for row in cursor.fetchall()]


def normalize_result(result):
    """Return rows as the reference database does, or the number of affected rows."""
    if not result.columns:
        return result.affected_rows
    return [tuple(value or b"None" for value in row) for row in result.rows]


def draw_statements(generator):
    """Return the statements of one step: a single one or a transaction."""
    key = generator.randrange(KEYS)
    number = generator.randrange(1000)
    single = (
        f"INSERT INTO ledger VALUES ({key}, {number})",
        f"UPDATE ledger SET n = n + {number} WHERE k = {key}",
        f"DELETE FROM ledger WHERE k = {key}",
        "SELECT k, n FROM ledger ORDER BY k",
        f"SELECT n FROM ledger WHERE k = {key}",
        "SELECT count(*), sum(n) FROM ledger WHERE n IS NOT NULL",
    )
    if generator.random() < 0.7:
        return [generator.choice(single)]
    end = generator.choice(("COMMIT", "ROLLBACK"))
    return ["BEGIN", *generator.choices(single, k=3), end]


def run_history(test, seed, fault_names):
    """Run one history through both and compare each answer.

    Returns
    -------
    int
        Number of answers that were compared.
    """
    generator = random.Random(seed)
    world = World(seed, WorldSettings(callers=0))
    world.start()
    reference = ReferenceDatabase()
    session = ["", "", ""]  # node, session id, consistency token
    compared = 0

    def run(sql):
        answers = []

        def receive_answer(answer, token):
            answers.append(answer)
            session[2] = token

        options = StatementOptions(token=session[2])
        world.simulator.send_statement(
            session[0], session[1], "booking", sql, receive_answer, options
        )
        world.simulator.run_until(lambda: bool(answers), seconds(10))
        return answers[0]

    for step in range(STEPS):
        if fault_names and step % 40 == 20:
            world.start_fault(KINDS[fault_names[step // 40 % len(fault_names)]])
        if step % 40 == 39:
            world.end_fault()
        alive = [n for n, x in world.simulator.nodes.items() if x.alive]
        session[:2] = [generator.choice(alive), f"session-{step}"]
        world.simulator.open_session(session[0], session[1], "desk-0")
        statements = [CREATE_TABLE] if step == 0 else draw_statements(generator)
        for sql in statements:
            answer = run(sql)
            expected = reference.run(sql)
            test.assertIsNot(answer.outcome, Outcome.UNKNOWN, sql)
            if answer.outcome is Outcome.NOT_RUN:
                test.assertIsNone(expected, f"{sql}: {answer.message}")
                continue
            if sql.split()[0] in COMPARED_KEYWORDS:
                test.assertEqual(normalize_result(answer.result), expected, sql)
                compared += 1
    return compared


class DifferentialTest(unittest.TestCase):
    def test_answers_agree_without_faults(self):
        self.assertGreater(run_history(self, 11, ()), STEPS)

    def test_answers_agree_through_planned_changes(self):
        faults = ("plan_primary", "grow_lag", "race_operators")
        self.assertGreater(run_history(self, 12, faults), STEPS)

    def test_answers_agree_through_store_faults(self):
        faults = ("store_down", "store_loses", "store_slow")
        self.assertGreater(run_history(self, 13, faults), STEPS)


if __name__ == "__main__":
    unittest.main()
