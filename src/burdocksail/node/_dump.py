"""Dump of a node's live state, for operators and tools.

It contains no statements, passwords or tokens.
"""

from datetime import timedelta
from typing import Any

from burdocksail.core import Instance
from burdocksail.node import _lease
from burdocksail.node._board import Blackboard, Leadership
from burdocksail.node._groups import GroupRuntime, ServerState


def dump_board(board: Blackboard) -> dict[str, Any]:
    """Return the state of a node as JSON values.

    Keys that end in ``_s`` are seconds, those that end in ``_ms``
    milliseconds. ``now_s``, ``last_answer_s`` and ``last_failure_s`` are times
    of the node's monotonic clock.
    """
    return {
        "instance": _describe_instance(board.me),
        "now_s": _in_seconds(board.now),
        "stopping": board.stop.requested_at is not None,
        "configuration": {
            "revision": board.configuration.position,
            "generations": {
                path: item.generation
                for path, item in sorted(board.configuration.items.items())
            },
            "refusals": dict(sorted(board.acceptance.refusals.items())),
        },
        "members": {
            key: {
                "health": member.health.value,
                "failure_domain": member.instance.failure_domain,
                "version": member.version,
                "witnesses": sorted(member.witnesses),
            }
            for key, member in sorted(board.membership.members.items())
        },
        "leaderships": {
            name: _describe_leadership(board, leadership)
            for name, leadership in sorted(board.authority.leaderships.items())
        },
        "promises": {
            name: {
                "epoch": promise.bound.epoch,
                "handover": promise.bound.handover,
                "holder": promise.holder.key,
                "remaining_s": _in_seconds(promise.expires_at - board.now),
            }
            for name, promise in sorted(board.authority.promises.items())
        },
        "groups": {
            name: _describe_runtime(board, runtime)
            for name, runtime in sorted(board.work.runtimes.items())
        },
        "sessions": len(board.entry.sessions),
        "pending_requests": len(board.entry.pending),
        "store": {
            "calls_in_flight": len(board.store.calls),
            "timeline": board.store.timeline,
            "last_answer_s": _in_seconds(board.store.last_answer),
            "last_failure_s": _in_seconds(board.store.last_failure),
        },
        "counters": dict(sorted(board.metrics.counters.items())),
        "latencies": board.metrics.summarise_histograms(),
    }


def _describe_instance(instance: Instance) -> dict[str, Any]:
    return {
        "name": instance.name,
        "incarnation": instance.incarnation,
        "failure_domain": instance.failure_domain,
        "address": f"{instance.host}:{instance.port}",
    }


def _describe_leadership(board: Blackboard, leadership: Leadership) -> dict[str, Any]:
    return {
        "role": leadership.role.value,
        "epoch": leadership.ballot.epoch,
        "handover": leadership.ballot.handover,
        "lease_valid": _lease.is_lease_valid(board, leadership.group),
        "members": [member.key for member in leadership.lease_members],
        "grants_remaining_s": {
            key: _in_seconds(until - board.now)
            for key, until in sorted(leadership.grants.items())
        },
    }


def _describe_runtime(board: Blackboard, runtime: GroupRuntime) -> dict[str, Any]:
    promotion = runtime.promotion
    return {
        "phase": runtime.phase.value,
        "hold": runtime.hold.value,
        "term": runtime.term,
        "primary": runtime.primary,
        "promotion_step": promotion.step.value if promotion else "",
        "parked": len(runtime.parked),
        "awaiting_replica": len(runtime.awaiting_replica),
        "awaiting_lease": len(runtime.awaiting_lease),
        "transactions": len(runtime.transactions),
        "servers": {
            name: _describe_server(state)
            for name, state in sorted(runtime.servers.items())
        },
    }


def _describe_server(state: ServerState) -> dict[str, Any]:
    return {
        "reachable": state.reachable,
        "errant": state.errant,
        "applied": state.vector.to_gtid_set(),
        "connections": len(state.connections),
        "idle_connections": len(state.idle),
        "running": len(state.running),
        "queued_short": state.short.length,
        "queued_long": state.long.length,
        "short_ms": state.short_seconds * 1000,
        "long_ms": state.long_seconds * 1000,
    }


def _in_seconds(duration: timedelta | None) -> float | None:
    return None if duration is None else duration.total_seconds()
