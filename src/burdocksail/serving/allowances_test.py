"""Requests for tokens of quotas, as one instance sends them to its leader."""

import asyncio
import dataclasses
import unittest

from burdocksail.board import Blackboard, Member, QuotaBounds
from burdocksail.catalog import Workspace, Workspaces
from burdocksail.fakes import make_catalog, run_in_virtual_time
from burdocksail.fakes._virtual_loop import LoopClock
from burdocksail.fleet import Allowance, AllowanceRequest, Allowances
from burdocksail.serving import AllowanceHolder
from burdocksail.serving._allowance_requests import AllowanceRequests
from burdocksail.serving._replies import CommandFailed

LEADER = Member("leader", "run-1", "north", "10.0.0.1", 1)
LONG_WAIT = 0.9  # seconds until the leader expects a token


class RequestsTest(unittest.TestCase):
    def test_unanswered_demands_end_once_however_late_that_is_seen(self):
        """Demands that were dropped earlier counted as asked for, for ever."""
        for age in (0.5, 0.9, 30.0):
            requests = AllowanceRequests("run-1")
            requests.open([], 1, LEADER.address, 0.0, rides=True)
            ended = requests.expire(age, 1, 0.85) + requests.expire(60.0, 1, 0.85)
            self.assertEqual(len(ended), 1, age)


class Scene:
    """One instance whose leader has a token for some operations only."""

    def __init__(self) -> None:
        clock = LoopClock(asyncio.get_running_loop())
        member = Member("i-1", "run-1", "north", "10.0.0.2", 1)
        board = Blackboard(member, clock, {})
        board.quotas.bounds = QuotaBounds(5.0, 0.1, 20.0)
        board.quotas.record_sign(board.now(), 0.0)
        board.quotas.record_answer(board.now(), 2)
        board.authority.leader, board.authority.epoch = LEADER, 1
        catalog = make_catalog()
        (name, route), *_ = catalog.routes.items()
        routes = {
            name: dataclasses.replace(route, priority=0),
            "reports": dataclasses.replace(route, priority=2),
        }
        workspaces = Workspaces({"team": Workspace("team", 5.0, 5.0)})
        board.catalog.catalog = dataclasses.replace(
            catalog, routes=routes, workspaces=workspaces
        )
        self.sent: list[AllowanceRequest] = []
        self.holder = AllowanceHolder(board, self.send)

    def send(self, address, message: AllowanceRequest) -> None:
        """Answer as a leader whose tokens are scarce, after a millisecond."""
        self.sent.append(message)
        (demand,) = message.demands.demands
        wait = LONG_WAIT if demand.wanted > demand.preferred else None
        granted = Allowance("team", demand.preferred, wait)
        answer = Allowances(message.demands.number, 1, (granted,))
        loop = asyncio.get_running_loop()
        loop.call_later(0.001, self.holder.receive, message.epoch, answer)

    async def is_served(self, priority: int) -> bool:
        try:
            reservation = await self.holder.take("team", priority)
        except CommandFailed:
            return False
        return reservation.spend() is not None


class PriorityTest(unittest.TestCase):
    def test_first_priority_is_asked_for_while_others_are_refused(self):
        """A workspace beyond its rate had its bookings refused for its reports."""

        async def scenario() -> None:
            scene = Scene()
            self.assertFalse(await scene.is_served(priority=2))
            before = len(scene.sent)
            self.assertFalse(await scene.is_served(priority=2))
            self.assertEqual(len(scene.sent), before)
            self.assertTrue(await scene.is_served(priority=0))

        run_in_virtual_time(scenario())
