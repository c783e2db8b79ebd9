"""Decisions on who may hold how much, without a network."""

import asyncio
import unittest

from burdocksail.intake import (
    BudgetedReader,
    CallerLimits,
    Closing,
    Kind,
    Ledger,
    LimitError,
    RoomDenied,
    derive_limits,
    override_limits,
)
from burdocksail.intake._ledger import SWEEP_INTERVAL

MIB = 1 << 20
LINK = 250_000  # bytes per second of a link of 2 Mbit/s


class Case:
    """A ledger with a clock that the test moves, and what it has closed."""

    def __init__(self, **limits):
        defaults = {"held_bytes": 8 * MIB, "connections": 10}
        self.now = 100.0
        self.closed = []
        self.reported = []
        self.ledger = Ledger(
            CallerLimits(**defaults | limits),
            lambda: self.now,
            lambda closing, kind: self.reported.append(closing),
        )

    def open(self, kind=Kind.CALLER, greeted=True):
        account = None

        def close(closing):
            self.closed.append((account, closing))

        account = self.ledger.admit(kind, close)
        if account is not None and greeted:
            self.ledger.end_message(account)
        return account

    def run(self, seconds, step=lambda: None):
        for _ in range(round(seconds / SWEEP_INTERVAL)):
            self.now += SWEEP_INTERVAL
            step()
            self.ledger.sweep()

    def send(self, account, size):
        """Let a part of a message arrive."""
        self.ledger.set_input(account, account.input_bytes + size)
        self.ledger.begin_message(account)

    def ask(self, account, size=2 * MIB):
        answers = []
        self.ledger.request_room(account, size, answers.append)
        return answers


class LedgerTest(unittest.TestCase):
    def test_slow_link_is_served_to_the_end(self):
        """Guards against limits on the total time of a message."""
        case = Case()
        account = case.open()
        case.ask(account)
        sent = 0
        while sent < MIB:
            case.send(account, int(LINK * SWEEP_INTERVAL))
            sent += int(LINK * SWEEP_INTERVAL)
            case.run(SWEEP_INTERVAL)
        case.ledger.end_message(account)
        case.run(30)
        self.assertEqual(case.closed, [])

    def test_message_without_progress_is_closed(self):
        case = Case()
        account = case.open()
        case.send(account, 100)
        case.run(9)
        self.assertEqual(case.closed, [])
        case.run(2)
        self.assertEqual(case.closed, [(account, Closing.MESSAGE)])
        self.assertEqual(case.ledger.used, 0)

    def test_silent_connection_is_closed_and_a_silent_session_is_not(self):
        case = Case()
        silent = case.open(greeted=False)
        case.open()
        case.run(60)
        self.assertEqual(case.closed, [(silent, Closing.MESSAGE)])

    def test_time_in_which_the_process_did_not_run_is_not_counted(self):
        """Guards against closing all callers after the process was stopped."""
        case = Case()
        account = case.open()
        case.send(account, 100)
        case.run(2)
        case.now += 60
        case.ledger.sweep()
        case.run(2)
        self.assertEqual(case.closed, [])

    def test_answer_is_limited_by_its_progress(self):
        case = Case()
        slow, stalled = case.open(), case.open()
        unsent = {slow: 5 * MIB, stalled: MIB}
        for account, size in unsent.items():
            account.count_unsent = lambda account=account: unsent[account]
            case.ledger.begin_delivery(account, size)

        def take():
            unsent[slow] = max(0, unsent[slow] - int(LINK * SWEEP_INTERVAL))

        case.run(15, take)
        self.assertEqual(case.closed, [(stalled, Closing.MESSAGE)])

    def test_large_messages_wait_while_small_ones_are_read(self):
        case = Case()
        first = [case.open() for _ in range(3)]
        self.assertEqual([case.ask(a) for a in first], [[True]] * 3)
        waiting = case.open()
        answers = case.ask(waiting)
        small = case.open()
        case.send(small, 1000)
        self.assertEqual((answers, case.closed), ([], []))
        case.ledger.end_request(first[0])
        self.assertEqual(answers, [True])

    def test_stalled_holder_of_room_is_closed_while_others_wait(self):
        case = Case()
        holders = [case.open() for _ in range(3)]
        for account in holders:
            case.ask(account)
            case.send(account, 1000)
        answers = case.ask(case.open())

        def progress():
            for account in holders[1:]:
                case.send(account, int(LINK * SWEEP_INTERVAL))

        case.run(4, progress)
        self.assertEqual(case.closed, [(holders[0], Closing.HELD_BYTES)])
        self.assertEqual(answers, [True])

    def test_stalled_holder_of_room_is_left_alone_while_nobody_waits(self):
        case = Case()
        account = case.open()
        case.ask(account)
        case.send(account, 1000)
        case.run(8)
        self.assertEqual(case.closed, [])

    def test_request_for_room_is_refused_in_time(self):
        case = Case()
        for _ in range(3):
            case.ask(case.open())
        answers = case.ask(case.open())
        case.run(11)
        self.assertEqual(answers, [False])
        self.assertIn(Closing.ROOM, case.reported)

    def test_message_larger_than_the_room_is_served_alone(self):
        case = Case(held_bytes=MIB)
        self.assertEqual(case.ask(case.open(), size=MIB), [True])

    def test_many_small_parts_close_those_with_the_least_progress(self):
        """Guards against bytes over the limit, however many connections hold them."""
        case = Case(held_bytes=100_000, connections=1000)
        accounts = [case.open() for _ in range(20)]
        for account in accounts[:10]:
            case.send(account, 8000)
        case.run(3, lambda: [case.send(a, 100) for a in accounts[5:10]])
        for account in accounts[10:]:
            case.send(account, 8000)
        closed = {account for account, _ in case.closed}
        self.assertTrue(closed.issuperset(accounts[:5]))
        self.assertLessEqual(case.ledger.used, 100_000)

    def test_relief_happens_each_time(self):
        """Guards against a peak that hides later ones."""
        case = Case(held_bytes=10_000, connections=1000)
        for _ in range(50):
            case.send(case.open(), 4000)
            self.assertLessEqual(case.ledger.used, 10_000)

    def test_full_process_turns_callers_away(self):
        case = Case()
        accounts = [case.open() for _ in range(10)]
        self.assertIsNone(case.open())
        case.ledger.remove(accounts[0])
        self.assertIsNotNone(case.open())
        self.assertEqual(case.closed, [])

    def test_connections_without_a_session_make_room_first(self):
        case = Case()
        case.open()
        silent = case.open(greeted=False)
        for _ in range(8):
            case.open()
        case.run(6)
        self.assertIsNotNone(case.open())
        self.assertEqual(case.closed, [(silent, Closing.CONNECTIONS)])

    def test_transaction_and_statement_do_not_make_room(self):
        case = Case()
        for _ in range(10):
            case.open().is_idle = lambda: False
        case.run(60)
        self.assertIsNone(case.open())
        self.assertEqual(case.closed, [])

    def test_kinds_are_counted_apart(self):
        case = Case(page_connections=1)
        for _ in range(10):
            case.open()
        self.assertIsNotNone(case.open(Kind.PAGE))
        self.assertIsNone(case.open(Kind.PAGE))


class LimitsTest(unittest.TestCase):
    def test_smallest_machine_holds_its_callers(self):
        """Guards against defaults that well-behaved callers reach.

        The target has 4.4 million connections at 1,400 instances.
        """
        limits = derive_limits(160, 4300, 40)
        self.assertGreater(limits.connections, 4_400_000 / 1400)
        self.assertGreater(limits.get_message_bytes(2), MIB)

    def test_descriptors_are_reserved(self):
        self.assertLessEqual(derive_limits(None, 200, 40).connections, 200 - 64)

    def test_unknown_limit_is_refused(self):
        for values in ({"bytes": 1}, {"connections": 0}, {"message_s": float("nan")}):
            with self.assertRaises(LimitError):
                override_limits(CallerLimits(), values)


class FakeTransport:
    def __init__(self):
        self.is_reading = True

    def pause_reading(self):
        self.is_reading = False

    def resume_reading(self):
        self.is_reading = True

    def is_closing(self):
        return False


class ReaderTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.case = Case()
        self.account = self.case.open(greeted=False)
        loop = asyncio.get_running_loop()
        self.transport = FakeTransport()
        self.reader = BudgetedReader(self.case.ledger, self.account, MIB, 2, loop)
        self.reader.set_transport(self.transport)

    async def test_pipelined_lines_are_read_one_by_one(self):
        self.reader.feed_data(b"a\r\nb\r\n")
        self.assertEqual(await self.reader.readuntil(), b"a\r\n")
        self.assertEqual(await self.reader.readuntil(), b"b\r\n")
        self.assertEqual(self.case.ledger.used, 0)

    async def test_read_ahead_pauses_the_connection(self):
        """Guards against a caller that pipelines without reading the answers."""
        self.reader.feed_data(b"a\n" * 10_000)
        self.assertFalse(self.transport.is_reading)
        for _ in range(10_000):
            await self.reader.readuntil()
        reading = asyncio.create_task(self.reader.readuntil())
        await asyncio.sleep(0)
        self.assertTrue(self.transport.is_reading)
        reading.cancel()

    async def test_large_line_waits_for_room(self):
        for _ in range(3):
            self.case.ask(self.case.open())
        reading = asyncio.create_task(self.reader.readuntil())
        await asyncio.sleep(0)
        self.reader.feed_data(b"x" * 20_000)
        self.assertFalse(self.transport.is_reading)
        self.case.run(11)
        with self.assertRaises(RoomDenied):
            await reading

    async def test_line_over_the_limit_is_dropped(self):
        reading = asyncio.create_task(self.reader.readuntil())
        for _ in range(16):
            await asyncio.sleep(0)
            self.reader.feed_data(b"x" * (1 << 16))
        with self.assertRaises(asyncio.LimitOverrunError):
            await reading
        self.assertEqual(self.case.ledger.used, 0)

    async def test_announced_body_is_watched(self):
        """Guards against a packet's header after which nothing follows."""
        self.reader.feed_data(b"head")
        await self.reader.readexactly(4)
        self.reader.expect(100)
        self.case.run(11)
        self.assertEqual(self.case.closed, [(self.account, Closing.MESSAGE)])

    async def test_input_without_a_limit_is_refused(self):
        with self.assertRaises(ValueError):
            await self.reader.read()


if __name__ == "__main__":
    unittest.main()
