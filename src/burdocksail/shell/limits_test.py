"""Misbehaving callers of the MySQL protocol, against `burdocksail serve` on loopback.

The cases are in `burdocksail.standin.caller_cases`.
"""

import logging
import unittest

from burdocksail.standin.caller_cases import CallerCases, FrontEnd, ProcessCase
from burdocksail.standin.loopback import (
    ACCOUNT,
    DATABASE,
    HOST,
    PASSWORD,
    SqlDeployment,
)
from burdocksail.standin.misbehaving import SqlDialect

MEMORY_MB = 128  # the process has 80 MB without callers


def setUpModule():
    # The protocol library of the stand-in server logs every lost connection.
    logging.getLogger("mysql_mimic").setLevel(logging.CRITICAL)


class SqlFrontEnd(FrontEnd):
    def __init__(self, max_fds):
        self.deployment = SqlDeployment(
            {
                "BURDOCKSAIL_SERVE_MEMORY_MB": str(MEMORY_MB),
                "BURDOCKSAIL_SERVE_MAX_FDS": str(max_fds),
            }
        )

    @property
    def process_id(self):
        return self.deployment.process.pid

    @property
    def address(self):
        return HOST, self.deployment.process.sql_port

    async def fetch_readiness(self):
        return await self.deployment.process.fetch("/ready")


class SqlCase(ProcessCase):
    dialect = SqlDialect(DATABASE, ACCOUNT, PASSWORD)
    memory_mb = MEMORY_MB

    def make_front_end(self, max_fds):
        return SqlFrontEnd(max_fds)


class SqlCallersTest(CallerCases, SqlCase):
    """Groups at the port for callers."""


class ListenersTest(SqlCase):
    """Groups at the listeners of operators, and of other instances."""

    async def test_operators(self):
        await self.check_listener(lambda deployment: deployment.process.admin_port)

    async def test_peers(self):
        await self.check_listener(lambda deployment: deployment.process.peer_port)


if __name__ == "__main__":
    unittest.main()
