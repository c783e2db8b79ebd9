"""The part of the thrift library that is imported."""

import subprocess
import sys
import unittest

ENCODE = """
import sys
from burdocksail.structs import StructCodec

class Pair:
    thrift_spec = {1: (11, "name", False), 2: (15, "numbers", 10, False)}
    default_spec = [("name", None), ("numbers", None)]
    name = numbers = None

pair = Pair()
pair.name, pair.numbers = "example", [1, 2]
codec = StructCodec(None)
payload = codec.write(pair)
read = codec.read(Pair(), payload)
assert (read.name, read.numbers) == ("example", [1, 2])
"""
IMPORT_ALL = """
import io
import thriftpy2
from thriftpy2.protocol import TBinaryProtocol
from thriftpy2.transport import (
    TBufferedTransport, TMemoryBuffer, TTransportException
)

buffer = TMemoryBuffer()
TBinaryProtocol(buffer).write_struct(pair)
assert buffer.getvalue() == payload
idl = thriftpy2.load_fp(
    io.StringIO("struct Pair { 1: string name, 2: list<i64> numbers }"), "x_thrift"
)
assert codec.read(idl.Pair(), payload).numbers == [1, 2]
try:
    TBinaryProtocol(TBufferedTransport(TMemoryBuffer(b"\\x0b"))).read_struct(Pair())
except TTransportException:
    pass
else:
    raise AssertionError("the error is of another class")
"""


def _run_python(code: str) -> str:
    command = [sys.executable, "-c", code]
    return subprocess.run(
        command, check=True, capture_output=True, text=True, timeout=60
    ).stdout


class EncoderTest(unittest.TestCase):
    def test_encoder_does_not_import_the_rest_of_the_library(self):
        """Guards against a release whose encoder needs the packages' own code."""
        loaded = _run_python(ENCODE + "print(*sys.modules)").split()
        self.assertIn("thriftpy2.protocol.cybin.cybin", loaded)
        self.assertNotIn("ply", loaded)
        self.assertNotIn("urllib.request", loaded)

    def test_whole_library_can_be_imported_before_or_after_the_encoder(self):
        _run_python(ENCODE + IMPORT_ALL)
        _run_python("import thriftpy2\n" + ENCODE + IMPORT_ALL)


if __name__ == "__main__":
    unittest.main()
