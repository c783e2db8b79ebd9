"""Interface for decoding objects of the store into catalog records."""

from typing import Protocol

from burdocksail.catalog import Catalog, Upstream
from burdocksail.ports._store import StoredObject


class ObjectDecoder(Protocol):
    """Decodes the objects that operators and servers write to the store."""

    def decode_upstream(self, stored: StoredObject) -> Upstream | None:
        """Return the upstream that an object describes, or None if it is malformed."""
        ...

    def decode_catalog(self, stored: StoredObject) -> Catalog | None:
        """Return the catalog that an object holds, or None if it holds no valid one."""
        ...

    def conceal_secrets(self, stored: StoredObject) -> StoredObject:
        """Return an object of the configuration without secrets in plain text.

        What it returns can be decoded, logged and sent to other instances.
        """
        ...
