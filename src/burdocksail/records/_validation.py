"""Parsing and validation of the records that operators write."""

import json
from dataclasses import dataclass
from typing import Any

from pydantic import ValidationError

from burdocksail.records._errors import RecordError
from burdocksail.records._models import (
    GroupV1,
    GroupV2,
    ServiceV1,
    ServiceV2,
    StrictModel,
    TeamV1,
)

MAX_RECORD_BYTES = 65_536

_MODELS: dict[tuple[str, int], type[StrictModel]] = {
    ("team", 1): TeamV1,
    ("service", 1): ServiceV1,
    ("service", 2): ServiceV2,
    ("group", 1): GroupV1,
    ("group", 2): GroupV2,
}
RECORD_KINDS = ("team", "service", "group")


@dataclass(frozen=True, slots=True, order=True)
class RecordIdentity:
    """Kind and name of a record."""

    kind: str
    name: str

    @property
    def path(self) -> str:
        """Return ``kind/name``, the part of store keys that identifies the record."""
        return f"{self.kind}/{self.name}"


def parse_record(value: Any) -> StrictModel:
    """Validate the decoded JSON value of a record.

    Returns
    -------
    StrictModel
        The model of the record's kind and schema version.

    Raises
    ------
    RecordError
        If the value is refused; the message names the field.
    """
    if not isinstance(value, dict):
        raise RecordError("a record is a JSON object")
    kind = value.get("kind")
    version = value.get("schema_version")
    if kind not in RECORD_KINDS:
        raise RecordError(f"kind: {kind!r} is not one of {', '.join(RECORD_KINDS)}")
    known = sorted(v for k, v in _MODELS if k == kind)
    if type(version) is not int or version not in known:
        raise RecordError(
            f"schema_version: {version!r} is not known for {kind}; known: {known}"
        )
    try:
        return _MODELS[kind, version].model_validate(value)
    except ValidationError as error:
        raise RecordError(_describe_validation_error(error)) from error


def parse_record_text(text: str) -> StrictModel:
    """Validate the JSON text of a record.

    Returns
    -------
    StrictModel
        The model of the record's kind and schema version.

    Raises
    ------
    RecordError
        If the text is too large or not JSON, or the record is refused.
    """
    if len(text.encode()) > MAX_RECORD_BYTES:
        raise RecordError(f"the record is larger than {MAX_RECORD_BYTES} bytes")
    try:
        value = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise RecordError(f"the record is not JSON: {error}") from error
    return parse_record(value)


def _describe_validation_error(error: ValidationError) -> str:
    details = []
    for item in error.errors(include_url=False, include_input=False):
        field = ".".join(str(part) for part in item["loc"]) or "record"
        details.append(f"{field}: {item['msg']}")
    return "; ".join(details)
