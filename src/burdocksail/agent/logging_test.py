"""Log lines with values that cannot be rendered as they are."""

import json
import unittest

from burdocksail.agent._logging import MAX_LINE_LENGTH, render_line


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


if __name__ == "__main__":
    unittest.main()
