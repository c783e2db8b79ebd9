"""Check that serialized containers have the elements that they announce.

The thrift library skips a container of an unknown field element by element, also where
an element takes no bytes. Eight bytes can announce two billion of these.
"""

from burdocksail.structs._errors import StructError

STRING = 11
STRUCT = 12
MAP = 13
LISTS = (14, 15)  # set, list
FIXED_SIZES = {2: 1, 3: 1, 4: 8, 6: 2, 8: 4, 10: 8}  # bytes, by type
FIELD_HEADER_SIZE = 3
MAX_DEPTH = 32


def check_containers(payload: bytes) -> None:
    """Check the struct with which `payload` begins.

    Raises
    ------
    StructError
        If it is cut short, has a type that does not exist, or is nested too deep.
    """
    try:
        end = _find_end(payload, 0, STRUCT, MAX_DEPTH)
    except IndexError as error:
        raise StructError("the payload is cut short") from error
    if end > len(payload):
        raise StructError("the payload is cut short")


def _find_end(payload: bytes, start: int, type_id: int, depth: int) -> int:
    """Return where a value ends that starts at `start`."""
    size = FIXED_SIZES.get(type_id)
    if size is not None:
        return start + size
    if type_id == STRING:
        return start + 4 + int.from_bytes(payload[start : start + 4])
    if depth == 0:
        raise StructError("the payload is nested too deep")
    if type_id == STRUCT:
        return _find_end_of_struct(payload, start, depth)
    if type_id in LISTS:
        return _find_end_of_elements(payload, start, 1, depth)
    if type_id == MAP:
        return _find_end_of_elements(payload, start, 2, depth)
    raise StructError(f"type {type_id} does not exist")


def _find_end_of_struct(payload: bytes, start: int, depth: int) -> int:
    # Numbers and texts are passed over here, without a call each: every message of
    # another instance is checked.
    while type_id := payload[start]:
        start += FIELD_HEADER_SIZE
        size = FIXED_SIZES.get(type_id)
        if size is not None:
            start += size
        elif type_id == STRING:
            start += 4 + int.from_bytes(payload[start : start + 4])
        else:
            start = _find_end(payload, start, type_id, depth - 1)
    return start + 1


def _find_end_of_elements(payload: bytes, start: int, width: int, depth: int) -> int:
    """Return the end of a container whose elements have `width` values each."""
    types = payload[start : start + width]
    position = start + width + 4
    count = int.from_bytes(payload[start + width : position])
    # Every value takes a byte at least.
    if count * width > len(payload) - position:
        raise StructError("a container announces more elements than there are")
    sizes = [FIXED_SIZES.get(type_id) for type_id in types]
    if None not in sizes:
        return position + count * sum(sizes)
    for _ in range(count):
        for type_id in types:
            position = _find_end(payload, position, type_id, depth - 1)
    return position
