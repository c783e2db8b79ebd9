"""Capacity model: how a node's control costs grow, projected to the target size.

Nodes run in the simulator at several sizes of the fleet. Each figure is
fitted by a line, and a poor fit is an error. The simulator has no sockets or codecs;
their costs are measured on loopback and added for each message.
"""

import asyncio
import dataclasses
import secrets
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from time import perf_counter
from typing import Any

from burdocksail.core import BurdocksailError, Instance, seconds
from burdocksail.node import (
    CallStore,
    Effect,
    Event,
    InspectServer,
    MessageArrived,
    PutObject,
    RunAdmin,
    Send,
    SessionOpened,
    _configuration,
    _membership,
)
from burdocksail.node._membership import PROBE_INTERVAL, RUMOURS_PER_MESSAGE
from burdocksail.node._messages import AcceptedItem, Ping, Rumour
from burdocksail.records import Group, Server
from burdocksail.shell._peers import PeerNetwork
from burdocksail.shell._upstreams import UpstreamConnection, run_script
from burdocksail.standin import (
    GROUP_PASSWORD,
    GROUP_USER,
    Simulator,
    SimulatorSettings,
    StandInGroup,
    StandInGroupSettings,
    make_group_record,
    make_service_record,
    make_team_record,
)
from burdocksail.standin._simulator import SimulatedNode
from burdocksail.upstream import build_admin_script
from burdocksail.wire import encode_message

FRAME_OVERHEAD_BYTES = 20  # length (4) and MAC (16) of an encoded message
SETTLE_TIME = seconds(30)
SATURATION_TOLERANCE = 0.1  # relative difference of the last two values
FLEET_WINDOW = seconds(20)
MIN_FIT = 0.9  # least `Line.fit` that `require_fit` accepts
CONFIGURED_WINDOW = seconds(10)
TIMED_MESSAGES = 4000
TIMED_INSPECTIONS = 1000

TARGET_NODES = 1400
TARGET_GROUPS = 3400
TARGET_SESSIONS = 4_400_000
TARGET_STATEMENTS_PER_S = 2_000_000
TARGET_RECORD_CHANGES_PER_DAY = 5400
TARGET_DOMAINS = 11
SECONDS_PER_DAY = 86_400


class FitError(BurdocksailError):
    """A line fits the measured figures too poorly to be extrapolated."""


@dataclass(frozen=True, slots=True)
class Line:
    """A fitted line ``value = base + slope * size``.

    Attributes
    ----------
    fit : float
        Coefficient of determination, or 1 if the values are nearly constant (see
        `fit_line`); 1 is exact.
    sizes, values : tuple of float
        The points that the line was fitted to.
    """

    base: float
    slope: float
    fit: float
    sizes: tuple[float, ...]
    values: tuple[float, ...]

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.base + self.slope * size

    def extrapolate(self, size: float) -> float:
        """Return the value at a larger size.

        A figure that is nearly the same at the last two sizes is bounded, by the
        number of rumours in a message or of probes per second, so its greatest
        value is returned. Any other figure follows the line, but is at least the
        value at the largest measured size.
        """
        before, last = self.values[-2:]
        if abs(last - before) <= SATURATION_TOLERANCE * max(abs(before), abs(last)):
            return max(self.values)
        return max(self.at(size), last)


@dataclass(slots=True)
class NodeCost:
    """Mean costs of a node in one run.

    Counts, bytes sent and CPU time are per node and second, `store_calls` and
    `store_by_kind` per second over the whole fleet. `state_bytes` is the size of
    a node's state.
    """

    messages_out: float
    messages_in: float
    bytes_out: float
    cpu_ms: float
    inspections: float
    store_calls: float
    store_by_kind: dict[str, float]
    state_bytes: float


class MeteredSimulator(Simulator):
    """A simulator that counts the messages, calls and CPU time of its nodes.

    Attributes
    ----------
    is_metering : bool
        Whether events and effects are counted.
    cpu_s : float
        Elapsed time in the nodes' event handlers, in seconds.
    counts : Counter
        Messages ``in`` and ``out``, ``admin`` actions, and store calls by kind.
    bytes_out : int
        Bytes of the messages sent, frames included.
    """

    def __init__(self, settings: SimulatorSettings, seed: int):
        super().__init__(settings, seed)
        self.is_metering = False
        self.cpu_s = 0.0
        self.counts: Counter[str] = Counter()
        self.bytes_out = 0

    def deliver(self, target: SimulatedNode, event: Event) -> None:
        """Deliver an event to a node and add the time that it takes."""
        started = perf_counter()
        super().deliver(target, event)
        if self.is_metering:
            self.cpu_s += perf_counter() - started
            self.counts["in"] += isinstance(event, MessageArrived)

    def _perform(self, source: SimulatedNode, effects: list[Effect]) -> None:
        started = perf_counter()
        if self.is_metering:
            for effect in effects:
                self._count_effect(effect)
        super()._perform(source, effects)
        # The time of the simulator's own work does not count as the node's.
        self.cpu_s -= perf_counter() - started if self.is_metering else 0.0

    def _count_effect(self, effect: Effect) -> None:
        if isinstance(effect, Send):
            self.counts["out"] += 1
            self.bytes_out += len(encode_message(effect.message)) + FRAME_OVERHEAD_BYTES
        elif isinstance(effect, RunAdmin):
            self.counts["admin"] += 1
        elif isinstance(effect, CallStore):
            self.counts[f"store.{type(effect.operation).__name__}"] += 1


def fit_line(sizes: list[float], values: list[float]) -> Line:
    """Return the line through the points by least squares."""
    count = len(sizes)
    mean_x = sum(sizes) / count
    mean_y = sum(values) / count
    squares_x = sum((x - mean_x) ** 2 for x in sizes)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in zip(sizes, values, strict=True))
        / squares_x
    )
    base = mean_y - slope * mean_x
    squares_y = sum((y - mean_y) ** 2 for y in values)
    residual_squares = sum(
        (y - base - slope * x) ** 2 for x, y in zip(sizes, values, strict=True)
    )
    # Of nearly constant values a line explains little, and the coefficient of
    # determination would be low. They fit if the residuals are within 10 % of
    # the mean (root mean square).
    is_flat = residual_squares <= (0.1 * abs(mean_y)) ** 2 * count
    fit = 1.0 if squares_y == 0 else 1 - residual_squares / squares_y
    return Line(
        base, slope, max(fit, 1.0 if is_flat else fit), tuple(sizes), tuple(values)
    )


def require_fit(name: str, line: Line) -> Line:
    """Return the line.

    Raises
    ------
    FitError
        If its `fit` is below `MIN_FIT`.
    """
    if line.fit < MIN_FIT:
        raise FitError(
            f"{name}: line fit {line.fit:.2f} is too low, "
            f"sizes {line.sizes}, values {line.values}"
        )
    return line


def run_fleet(nodes: int, groups: int, seed: int = 1) -> NodeCost:
    """Run a fleet without callers and return the mean costs of a node."""
    domains = tuple(f"domain-{i}" for i in range(3))
    simulator = MeteredSimulator(SimulatorSettings(domains=domains), seed)
    _write_records(simulator, groups)
    for index in range(nodes):
        simulator.add_node(f"node-{index:04d}", domains[index % len(domains)])
    simulator.run_for(SETTLE_TIME)
    simulator.is_metering = True
    simulator.run_for(FLEET_WINDOW)
    per_node_s = nodes * FLEET_WINDOW.total_seconds()
    calls_by_kind = {
        name.removeprefix("store."): count / FLEET_WINDOW.total_seconds()
        for name, count in simulator.counts.items()
        if name.startswith("store.")
    }
    sampled_nodes = list(simulator.nodes.values())[: min(nodes, 5)]
    mean_state_bytes = sum(
        measure_deep_size(n.node.board) for n in sampled_nodes
    ) / len(sampled_nodes)
    return NodeCost(
        messages_out=simulator.counts["out"] / per_node_s,
        messages_in=simulator.counts["in"] / per_node_s,
        bytes_out=simulator.bytes_out / per_node_s,
        cpu_ms=simulator.cpu_s * 1000 / per_node_s,
        inspections=simulator.counts["admin"] / per_node_s,
        store_calls=sum(calls_by_kind.values()),
        store_by_kind=calls_by_kind,
        state_bytes=mean_state_bytes,
    )


def measure_session_bytes(sessions: int) -> float:
    """Return the bytes of a node's session state with that many open sessions."""
    simulator = Simulator(SimulatorSettings(), 1)
    node = simulator.add_node("node", simulator.settings.domains[0])
    for number in range(sessions):
        simulator.deliver(node, SessionOpened(f"node/0001:{number}", "desk"))
    return measure_deep_size(node.node.board.entry)


@dataclass(frozen=True, slots=True)
class ConfiguredCost:
    """Costs of groups for a node that neither leads them nor grants their lease.

    `cpu_ms` is per second, `state_bytes` is the size of the node's state.
    """

    cpu_ms: float
    state_bytes: float


def measure_configured_groups(groups: int) -> ConfiguredCost:
    """Return the costs of a node among 1,400 that has the records of `groups`."""
    simulator = MeteredSimulator(SimulatorSettings(), 1)
    target = simulator.add_node("self", simulator.settings.domains[0])
    board = target.node.board
    for index in range(TARGET_NODES):
        other = Instance(f"node-{index:04d}", "1", "elsewhere", "10.0.0.1", 7306)
        _membership.apply_rumour(board, Rumour(other, "alive", 0))
    servers = [Server(f"server-{i}", "10.0.0.2", 3306, f"domain-{i}") for i in range(3)]
    items = tuple(
        AcceptedItem(
            f"group/group-{i}",
            1,
            i + 1,
            make_group_record(f"group-{i}", servers, 3, 20),
        )
        for i in range(groups)
    )
    _configuration.apply_items(board, items)
    simulator.run_for(seconds(2))
    simulator.is_metering = True
    simulator.run_for(CONFIGURED_WINDOW)
    return ConfiguredCost(
        simulator.cpu_s * 1000 / CONFIGURED_WINDOW.total_seconds(),
        measure_deep_size(board.configuration) + measure_deep_size(board.membership),
    )


def measure_deep_size(root: object) -> float:
    """Return the bytes of an object and all that it holds, directly or not.

    Follows containers and the fields of dataclasses. An object counts once; types,
    enumeration values and callables, which are shared, are left out.
    """
    seen: set[int] = set()
    unvisited = [root]
    size = 0
    while unvisited:
        value = unvisited.pop()
        if id(value) in seen or isinstance(value, type | Enum) or callable(value):
            continue
        seen.add(id(value))
        size += sys.getsizeof(value)
        unvisited.extend(_list_referents(value))
    return size


def _list_referents(value: Any) -> list[Any]:
    if isinstance(value, dict):
        return [*value.keys(), *value.values()]
    if isinstance(value, list | tuple | set | frozenset):
        return list(value)
    if dataclasses.is_dataclass(value):
        return [getattr(value, f.name) for f in dataclasses.fields(value)]
    if hasattr(value, "popleft"):
        return list(value)
    return []


async def measure_message_cost_ms() -> float:
    """Return the CPU milliseconds of a message, sender and receiver together.

    Both run in this event loop, which is busy throughout, so elapsed time stands
    for CPU time.
    """
    received = [0]

    def count(event: object) -> None:
        received[0] += isinstance(event, MessageArrived)

    first = Instance("a", "1", "d", "127.0.0.1", 0)
    key = secrets.token_bytes(16)
    sender = PeerNetwork(first, key, count)
    receiver = PeerNetwork(first, key, count)
    port = await receiver.start("127.0.0.1", 0)
    target = dataclasses.replace(first, port=port)
    message = _make_ping(first)
    sender.send(target, message)
    while not received[0]:
        await asyncio.sleep(0.01)
    started = perf_counter()
    for _ in range(TIMED_MESSAGES):
        sender.send(target, message)
        # One message per turn of the event loop, as control traffic arrives.
        await asyncio.sleep(0)
    while received[0] <= TIMED_MESSAGES:
        await asyncio.sleep(0)
    cost = (perf_counter() - started) * 1000 / TIMED_MESSAGES
    sender.close()
    receiver.close()
    return cost


def _make_ping(instance: Instance) -> Any:
    return Ping(1, instance)


async def measure_inspection_cost_ms() -> float:
    """Return the CPU milliseconds of an inspection, the server's part included.

    Elapsed time of the busy event loop stands for CPU time.
    """
    standin = StandInGroup("probe", ("a",))
    settings = StandInGroupSettings(connect_delay=seconds(0))
    (server,) = await standin.start("127.0.0.1", [0], settings)
    group = Group("probe", (server,), 3, 20, GROUP_USER, GROUP_PASSWORD)
    connection = await UpstreamConnection.open(group, server)
    started = perf_counter()
    for _ in range(TIMED_INSPECTIONS):
        await run_script(build_admin_script(InspectServer()), connection)
    cost = (perf_counter() - started) * 1000 / TIMED_INSPECTIONS
    connection.close()
    await standin.close()
    return cost


def _write_records(simulator: Simulator, groups: int) -> None:
    def put(path: str, text: str) -> None:
        simulator.store.perform(PutObject(f"records/{path}", text, 0))

    put("team/team", make_team_record("team"))
    for index in range(groups):
        name = f"group-{index:04d}"
        simulator.add_group(name)
        put(
            f"group/{name}",
            make_group_record(name, simulator.describe_group(name), 3, 20),
        )
        service = f"service-{index:04d}"
        record = make_service_record(
            service, "team", {service: name}, {f"desk-{index}": "password"}
        )
        put(f"service/{service}", record)


def sweep(
    sizes: list[int], run: Callable[[int], NodeCost]
) -> tuple[list[float], list[NodeCost]]:
    """Run each size, and return the sizes as numbers and the costs."""
    return [float(size) for size in sizes], [run(size) for size in sizes]


@dataclass(slots=True)
class Slopes:
    """Results of all measurements.

    Attributes
    ----------
    lines : dict
        Fitted lines by figure and kind of size, such as ``cpu_ms/nodes``.
    message_cost_ms, inspection_cost_ms : float
        Cost of one message and of one inspection.
    store_by_kind : dict
        Store calls per second of the fleet by number of nodes and kind of call.
    """

    lines: dict[str, Line] = field(default_factory=dict)
    message_cost_ms: float = 0.0
    inspection_cost_ms: float = 0.0
    store_by_kind: dict[int, dict[str, float]] = field(default_factory=dict)


def measure_slopes() -> Slopes:
    """Run all measurements and return the fitted lines and unit costs.

    Raises
    ------
    FitError
        If one of the lines that are required to fit does not.
    """
    slopes = Slopes()
    slopes.message_cost_ms = asyncio.run(measure_message_cost_ms())
    slopes.inspection_cost_ms = asyncio.run(measure_inspection_cost_ms())
    nodes, by_nodes = sweep([9, 30, 90, 180], lambda n: run_fleet(n, 3))
    groups, by_groups = sweep([3, 18, 45, 90], lambda g: run_fleet(9, g))
    slopes.store_by_kind = {
        int(n): cost.store_by_kind for n, cost in zip(nodes, by_nodes, strict=True)
    }
    groups_led_per_node = [g / 9 for g in groups]
    for name, sizes, costs in (
        ("nodes", nodes, by_nodes),
        ("led", groups_led_per_node, by_groups),
    ):
        for figure in (
            "messages_out",
            "messages_in",
            "bytes_out",
            "cpu_ms",
            "inspections",
            "store_calls",
            "state_bytes",
        ):
            values = [getattr(cost, figure) for cost in costs]
            slopes.lines[f"{figure}/{name}"] = fit_line(sizes, values)
    for name in ("cpu_ms/led", "inspections/led", "state_bytes/nodes"):
        require_fit(name, slopes.lines[name])
    configured = [0.0, 1000.0, 2000.0, 3400.0]
    costs = [measure_configured_groups(int(count)) for count in configured]
    for figure in ("cpu_ms", "state_bytes"):
        values = [getattr(cost, figure) for cost in costs]
        slopes.lines[f"{figure}/configured"] = fit_line(configured, values)
    require_fit("state_bytes/configured", slopes.lines["state_bytes/configured"])
    sessions = [0.0, 1000.0, 3000.0]
    values = [measure_session_bytes(int(s)) for s in sessions]
    slopes.lines["session_bytes"] = require_fit(
        "session_bytes", fit_line(sessions, values)
    )
    return slopes


@dataclass(frozen=True, slots=True)
class TargetRow:
    """One figure at the target size; a `limit` of 0 stands for no limit."""

    name: str
    value: float
    limit: float
    unit: str


def bound_rumour_bytes() -> float:
    """Return an upper bound of the bytes of rumours that a node sends per second.

    A message carries at most a fixed number of rumours. In each probe interval a
    node sends one probe and on average answers one, each with that many rumours.
    """
    instance = Instance("node-0000", "0" * 12, "domain-0", "10.0.0.1", 7306)
    rumour = Rumour(instance, "alive", 1)
    full = Ping(1, instance, (rumour,) * RUMOURS_PER_MESSAGE)
    empty = Ping(1, instance)
    size = len(encode_message(full)) - len(encode_message(empty))
    return size * 2 / PROBE_INTERVAL.total_seconds()


def project_target(slopes: Slopes) -> list[TargetRow]:
    """Return a node's control costs at the target size, with their limits."""
    lines = slopes.lines
    groups_led_per_node = TARGET_GROUPS / TARGET_NODES

    def combine(figure: str) -> float:
        by_nodes = lines[f"{figure}/nodes"].extrapolate(TARGET_NODES)
        by_led = lines[f"{figure}/led"]
        # 3 groups on 9 nodes, the smallest size of the sweep over nodes.
        measured_led_per_node = 3 / 9
        return by_nodes + by_led.slope * (groups_led_per_node - measured_led_per_node)

    rumours = lines["bytes_out/nodes"]
    fleet_bytes = min(
        rumours.extrapolate(TARGET_NODES), min(rumours.values) + bound_rumour_bytes()
    )
    # 3 / 9: groups led per node at the smallest size, as in `combine`.
    bytes_out = fleet_bytes + lines["bytes_out/led"].slope * (
        groups_led_per_node - 3 / 9
    )
    messages = combine("messages_out") + combine("messages_in")
    inspections = combine("inspections")
    # The sweep over groups led also varies the number of configured groups, so
    # the cost of these is in both lines and the sum is an upper bound.
    # The last size of the sweep over configured groups is the target itself.
    configured = lines["cpu_ms/configured"].values
    cpu_ms = (
        combine("cpu_ms")
        + max(configured)
        - configured[0]
        + messages / 2 * slopes.message_cost_ms
        + inspections * slopes.inspection_cost_ms
    )
    total_state_bytes = combine("state_bytes") + lines["state_bytes/configured"].at(
        TARGET_GROUPS
    )
    state_mb = total_state_bytes / 1e6
    sessions = TARGET_SESSIONS / TARGET_NODES
    return [
        TargetRow("messages out and in", messages, 0, "1/s"),
        TargetRow("control bytes out", bytes_out / 1000, 20, "KB/s"),
        TargetRow("inspections and waits", inspections, 0, "1/s"),
        TargetRow("control CPU", cpu_ms / 10, 2.9, "% of a core"),
        TargetRow("control state", state_mb, 128, "MB"),
        TargetRow(
            "session state",
            lines["session_bytes"].slope * sessions / 1e6,
            0,
            "MB",
        ),
        TargetRow("statements", TARGET_STATEMENTS_PER_S / TARGET_NODES, 0, "1/s"),
        TargetRow(
            "store calls of the fleet",
            _project_store_calls(slopes),
            2000,
            "1/s",
        ),
    ]


def _project_store_calls(slopes: Slopes) -> float:
    """Return the store calls per second of the fleet.

    They are list calls, whose rate is bounded, one watch per failure domain, and
    the calls for changes of records.
    """
    line = slopes.lines["store_calls/nodes"]
    largest = max(line.values)
    changes = TARGET_RECORD_CHANGES_PER_DAY / SECONDS_PER_DAY
    # A change takes a put of the accepted object, a read and a put of its status,
    # and the watch of each failure domain returns once.
    return largest + changes * (3 + TARGET_DOMAINS)
