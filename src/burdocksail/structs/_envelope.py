"""Encoding of a union of message types as an envelope with exactly one field set."""

import typing
from typing import Any

from burdocksail.structs._codec import StructCodec
from burdocksail.structs._errors import StructError


class EnvelopeCodec:
    """Converts the messages of a union to bytes and back.

    Parameters
    ----------
    idl : module
        Generated structures; ``Envelope`` has an optional field for each
        message type, with the name of that type.
    messages : union of types
        Dataclasses of the messages.
    """

    def __init__(self, codec: StructCodec, idl: Any, messages: Any):
        self._codec = codec
        self._idl = idl
        self._types: dict[str, type] = {
            t.__name__: t for t in typing.get_args(messages)
        }

    def encode(self, message: Any) -> bytes:
        """Return the serialized envelope of a message."""
        name = type(message).__name__
        envelope = self._idl.Envelope(**{name: self._codec.encode(message)})
        return self._codec.write(envelope)

    def decode(self, payload: bytes) -> Any:
        """Return the message in `payload`.

        Raises
        ------
        StructError
            If the payload does not begin with one well-formed message; bytes after
            it are ignored.
        """
        try:
            envelope = self._codec.read(self._idl.Envelope(), payload)
            present = [n for n in self._types if getattr(envelope, n) is not None]
            if len(present) != 1:
                raise StructError(
                    f"envelope holds {len(present)} messages instead of one"
                )
            name = present[0]
            return self._codec.decode(self._types[name], getattr(envelope, name))
        except StructError:
            raise
        except Exception as error:
            # Malformed input makes the codec raise errors of many types.
            reason = f"malformed message: {type(error).__name__}"
            raise StructError(reason) from error
