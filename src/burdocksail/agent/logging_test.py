"""Log lines with values that cannot be rendered as they are."""

import contextvars
import json
import os
import unittest

import structlog

from burdocksail.agent import LineBuffer, configure_logging
from burdocksail.agent._logging import MAX_LINE_LENGTH, render_line
from burdocksail.core import get_logger


class RenderTest(unittest.TestCase):
    def test_value_that_cannot_be_rendered_costs_only_its_line(self):
        """Earlier fault: the error ended the controller that logged the value."""
        nested: list = []
        for _ in range(100_000):
            nested = [nested]
        for value in (10**5000, nested):
            line = render_line(None, "info", {"event": "upstream changed", "v": value})
            self.assertEqual(json.loads(line)["event"], "upstream changed")

    def test_long_line_is_replaced_by_its_length(self):
        line = render_line(
            None, "info", {"event": "e", "level": "info", "v": "x" * 9000}
        )
        self.assertLess(len(line), MAX_LINE_LENGTH)
        self.assertEqual(json.loads(line)["problem"], "too long")

    def test_usual_line_is_rendered_in_full(self):
        event = {"event": "upstream changed", "zone": "\udcff", "sequence": 2**63}
        self.assertEqual(json.loads(render_line(None, "info", dict(event))), event)


class ConfigurationTest(unittest.TestCase):
    def test_line_names_its_instance_in_every_context(self):
        """Guards against sessions whose lines do not say where they were served."""
        self.addCleanup(os.set_blocking, 1, os.get_blocking(1))
        self.addCleanup(structlog.reset_defaults)
        context = contextvars.copy_context()
        logger = get_logger().bind(epoch=7)
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        buffer = LineBuffer(writer)
        configure_logging("edge-1", "north", buffer)
        context.run(logger.warning, "store lost", failure_domain="south")
        buffer.flush()
        line = json.loads(os.read(reader, MAX_LINE_LENGTH))
        del line["timestamp"]
        expected = {
            "event": "store lost",
            "level": "warning",
            "instance": "edge-1",
            "failure_domain": "south",
            "epoch": 7,
        }
        self.assertEqual(line, expected)


if __name__ == "__main__":
    unittest.main()
