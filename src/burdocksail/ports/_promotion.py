"""Interface through which a server is promoted to primary of its service."""

from typing import Protocol


class Promoter(Protocol):
    """Orders promotions that the leader (`authority`) has decided."""

    async def promote(
        self, service: str, server_id: str, holder: str, fencing_token: int
    ) -> None:
        """Order the promotion of `server_id` to primary of `service`.

        Parameters
        ----------
        holder : str
            Name of the instance that gives the order.
        fencing_token : int
            Fencing token of the leadership that orders; all its orders carry
            it, and a later leadership has a higher one. A lower one must never
            be sent after a higher one.

        Raises
        ------
        PromotionRefused
            If the order had no effect and will have none.
        PromotionUnknown
            If the order may still take effect.
        """
        ...
