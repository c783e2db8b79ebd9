"""Tests of the command line and of the capacity model.

An invalid setting must be reported in one line that names the flag, with exit
status 2. Costs of a node must not grow with the fleet.
"""

import io
import socket
import sys
import unittest
from contextlib import redirect_stderr, redirect_stdout
from unittest import mock

from burdocksail.tools import main
from burdocksail.tools._slopes import FitError, fit_line, require_fit, run_fleet

SERVE = ["serve", "--name", "a", "--failure-domain", "b", "--store-url"]
URL = "http://127.0.0.1:1"
KEY = ["--shared-key", "0123456789abcdef"]
INVALID_SETTINGS = (
    (["serve"], "--name"),
    ([*SERVE, "ftp://x", *KEY], "--store-url"),
    ([*SERVE, "http://store.example", *KEY], "--store-url"),
    ([*SERVE, URL], "--shared-key"),
    ([*SERVE, URL, *KEY, "--host", "localhost"], "--host"),
    ([*SERVE, URL, *KEY, "--sql-port", "70000"], "--sql-port"),
    ([*SERVE, URL, *KEY, "--seeds", "nonsense"], "--seeds"),
    ([*SERVE, URL, *KEY, "--log-level", "loud"], "--log-level"),
    (["experiment", "burst", "--seeds", "0"], "--seeds"),
    (["experiment", "burst", "--plot", "figure.txt"], "--plot"),
)


def run(arguments):
    """Return exit status, standard output and standard error."""
    output, errors = io.StringIO(), io.StringIO()
    with (
        mock.patch.object(sys, "argv", ["burdocksail", *arguments]),
        redirect_stdout(output),
        redirect_stderr(errors),
    ):
        try:
            main()
            status = 0
        except SystemExit as exit_error:
            status = exit_error.code
    return status, output.getvalue(), errors.getvalue()


class CommandLineTest(unittest.TestCase):
    def test_invalid_setting_is_reported_in_one_line(self):
        for arguments, flag in INVALID_SETTINGS:
            with self.subTest(flag):
                status, _, errors = run(arguments)
                self.assertEqual(status, 2)
                self.assertIn(flag, errors)
                self.assertEqual(len(errors.strip().splitlines()), 1)

    def test_settings_are_read_from_the_environment(self):
        with mock.patch.dict("os.environ", {"BURDOCKSAIL_SERVE_HOST": "nowhere"}):
            status, _, errors = run([*SERVE, URL, *KEY])
        self.assertEqual(status, 2)
        self.assertIn("--host", errors)


class ExplainTest(unittest.TestCase):
    def test_instance_that_cannot_be_asked_is_told_in_one_line(self):
        """The statement may hold data, and must not come back in the error."""
        with socket.socket() as bound, socket.socket() as silent:
            bound.bind(("127.0.0.1", 0))  # It does not listen.
            silent.bind(("127.0.0.1", 0))
            silent.listen()  # It accepts and never answers.
            for server in (bound, silent):
                address = "{}:{}".format(*server.getsockname())
                status, output, errors = run(["explain", address, "db", "READ secret"])
                self.assertEqual((status, output), (1, ""))
                self.assertIn(f"{address} cannot be asked", errors)
                self.assertNotIn("secret", errors)
                self.assertEqual(len(errors.strip().splitlines()), 1)

    def test_no_option_takes_a_key(self):
        status, _, errors = run(["explain", "127.0.0.1:1", "db", "READ", "--key", "k"])
        self.assertEqual(status, 2)
        self.assertNotIn("cannot be asked", errors)


class SlopeTest(unittest.TestCase):
    def test_poor_fit_is_an_error(self):
        with self.assertRaises(FitError):
            require_fit("noise", fit_line([1, 2, 3, 4], [1, 9, 1, 9]))
        line = require_fit("line", fit_line([1, 2, 3], [3, 5, 7]))
        self.assertAlmostEqual(line.at(10), 21)

    def test_messages_per_node_and_store_calls_do_not_grow_with_fleet_size(self):
        small, large = run_fleet(9, 3), run_fleet(60, 3)
        self.assertLessEqual(large.messages_out, small.messages_out * 1.2)
        watches = large.store_by_kind.get("WatchObjects", 0)
        self.assertLessEqual(watches, small.store_by_kind["WatchObjects"] * 1.2)
        # Calls that list the instances come to ten per second at any fleet size.
        self.assertLess(large.store_by_kind.get("ListInstances", 0), 12)


if __name__ == "__main__":
    unittest.main()
