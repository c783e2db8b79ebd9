"""What the statements of a session need to know."""

from dataclasses import dataclass, field

from burdocksail.board import Blackboard
from burdocksail.catalog import Route
from burdocksail.serving._decisions import DecisionLog
from burdocksail.serving._freshness import SessionFloors
from burdocksail.serving._pools import Pools


@dataclass(frozen=True, slots=True)
class PreparedShape:
    """What a caller's name of a prepared statement stands for."""

    shape: str
    writes: bool


@dataclass(slots=True)
class SessionValues:
    """What a caller has set in its session."""

    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedShape] = field(default_factory=dict)
    floors: SessionFloors = field(default_factory=SessionFloors)


class Serving:
    """What sessions share."""

    def __init__(self, board: Blackboard, pools: Pools):
        self.board = board
        self.pools = pools
        self.decisions = DecisionLog(board)
        self.open_transactions = 0

    def find_route(self, database: str) -> Route | None:
        """Return the route of a database in the configuration in force."""
        catalog = self.board.catalog.catalog
        return None if catalog is None else catalog.routes.get(database)
