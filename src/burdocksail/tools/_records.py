"""The `record` commands: check, apply and list the operators' records.

The status object of a record holds the verdict, accepted or refused, on one version.
"""

import asyncio
import json

from burdocksail.core import seconds
from burdocksail.node import GetObject, ListObjects, PutObject, StoreReply, StoreStatus
from burdocksail.records import RecordError, convert_record, parse_record_text
from burdocksail.shell import StoreClient
from burdocksail.tools._errors import CommandError

CALL_TIMEOUT = seconds(5)
POLL_INTERVAL_S = 0.1
CURRENT_VERSION = -1  # overwrite whichever version is stored


def check_record(text: str) -> str:
    """Return the path, ``kind/name``, of a record whose fields are valid.

    Raises
    ------
    CommandError
        If the text cannot be parsed or a field is invalid.
    """
    try:
        model = parse_record_text(text)
        convert_record(model)
    except RecordError as error:
        raise CommandError(str(error)) from error
    return f"{model.kind}/{model.name}"


async def apply_record(
    store_url: str, text: str, expected_version: int, wait_s: float
) -> str:
    """Write a record and wait up to `wait_s` seconds for the verdict on it.

    Returns
    -------
    str
        A line for the operator: accepted, or written without a verdict yet.

    Raises
    ------
    CommandError
        If the record is invalid or refused, the store is unavailable, or the
        stored version is not `expected_version`, because another operator has
        changed the record.
    """
    path = check_record(text)
    client = StoreClient(store_url)
    try:
        version = await _write_record(client, path, text, expected_version)
        return await _await_verdict(client, path, version, wait_s)
    finally:
        await client.close()


async def list_records(store_url: str) -> list[str]:
    """Return a tab-separated line for each record: path, version, verdict, reason.

    The verdict is ``pending`` if there is none on the stored version yet.

    Raises
    ------
    CommandError
        If the store is unavailable.
    """
    client = StoreClient(store_url)
    try:
        records = await _call(client, ListObjects("records/"))
        statuses = await _call(client, ListObjects("status/"))
    finally:
        await client.close()
    verdicts = {
        stored.key.removeprefix("status/"): json.loads(stored.value)
        for stored in statuses.objects
    }
    lines = []
    for stored in records.objects:
        path = stored.key.removeprefix("records/")
        verdict = verdicts.get(path, {})
        is_current = verdict.get("record_version") == stored.version
        state = verdict.get("state", "") if is_current else "pending"
        reason = verdict.get("reason", "") if is_current else ""
        lines.append(f"{path}\t{stored.version}\t{state}\t{reason}".rstrip())
    return lines


async def _write_record(
    client: StoreClient, path: str, text: str, expected_version: int
) -> int:
    key = f"records/{path}"
    if expected_version == CURRENT_VERSION:
        current = await _call(client, GetObject(key))
        expected_version = current.objects[0].version if current.objects else 0
    reply = await client.call(PutObject(key, text, expected_version), CALL_TIMEOUT)
    if reply.status is StoreStatus.UNAVAILABLE:
        # The response may have been lost after the write took effect.
        reply = await _call(client, GetObject(key))
        if reply.objects and reply.objects[0].value == text:
            return reply.objects[0].version
        raise CommandError(f"{path}: the store did not confirm the write")
    if reply.status is not StoreStatus.OK:
        version = reply.objects[0].version if reply.objects else 0
        raise CommandError(f"{path}: conflict, the record is at version {version} now")
    return reply.objects[0].version


async def _await_verdict(
    client: StoreClient, path: str, version: int, wait_s: float
) -> str:
    end = asyncio.get_running_loop().time() + wait_s
    while asyncio.get_running_loop().time() < end:
        reply = await client.call(GetObject(f"status/{path}"), CALL_TIMEOUT)
        if reply.objects:
            verdict = json.loads(reply.objects[0].value)
            if verdict["record_version"] >= version:
                if verdict["state"] == "refused":
                    raise CommandError(f"{path}: refused: {verdict['reason']}")
                return f"{path}: version {version} accepted"
        await asyncio.sleep(POLL_INTERVAL_S)
    return f"{path}: version {version} written, no verdict yet"


async def _call(client: StoreClient, operation: GetObject | ListObjects) -> StoreReply:
    reply = await client.call(operation, CALL_TIMEOUT)
    if reply.status is StoreStatus.UNAVAILABLE:
        raise CommandError("the store cannot be reached")
    return reply
