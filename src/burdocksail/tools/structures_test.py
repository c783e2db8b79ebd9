"""Generated thrift structures."""

import unittest

from burdocksail.tools import structures


class StructuresTest(unittest.TestCase):
    def test_generated_modules_match_their_definitions(self):
        """Guards against a changed IDL file without a run of the generator."""
        for definition, module in structures.MODULES.items():
            with self.subTest(definition=definition):
                expected = structures.render_structures(
                    structures.PACKAGE_PATH / definition
                )
                committed = (structures.PACKAGE_PATH / module).read_text("utf-8")
                self.assertEqual(committed, expected)


if __name__ == "__main__":
    unittest.main()
