"""`burdocksail explain` against a process of the MySQL front end on loopback."""

import asyncio
import json
import sys
import unittest

from burdocksail.standin.loopback import ACCOUNT, DATABASE, HOST, SqlDeployment

TEST_TIMEOUT = 60.0  # seconds


async def run_command(*arguments):
    """Return exit status, standard output and standard error of the command."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "burdocksail", "explain", *arguments),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    return process.returncode, output.decode(), errors.decode()


class ExplainTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # The debug mode of the loop would slow the stand-ins.
        asyncio.get_running_loop().set_debug(False)

    async def test_answer_of_a_process_leaves_no_trace(self):
        """Guards against a question that is counted as a statement."""
        deployment = SqlDeployment({})
        try:
            async with asyncio.timeout(TEST_TIMEOUT):
                await deployment.start()
                await self.check(deployment.process)
        finally:
            await deployment.stop()

    async def check(self, process):
        question = (f"{HOST}:{process.admin_port}", DATABASE)
        account = ("--workspace", ACCOUNT, "--json")
        before = await self.count_statements(process)
        answers = []
        for statement in ("DELETE FROM t", "SELECT 1"):
            status, output, errors = await run_command(*question, statement, *account)
            self.assertEqual((status, errors), (0, ""))
            answers.append(json.loads(output))
        self.assertEqual(await self.count_statements(process), before)
        for answer in answers:  # The primary is the only server.
            self.assertEqual(answer["outcome"]["result"], "runs")
            self.assertEqual(answer["outcome"]["server"], answer["known"]["primary"])
        status, output, _ = await run_command(*question, "SELECT 1")
        self.assertEqual(status, 0)
        self.assertIn("name the account", output)
        status, output, errors = await run_command(
            *question, "SELECT 1", "--position", "secret"
        )
        self.assertEqual((status, output), (1, ""))
        self.assertNotIn("secret", errors)

    async def count_statements(self, process):
        return json.loads(await process.fetch("/metrics"))["counters"].get("statements")


if __name__ == "__main__":
    unittest.main()
