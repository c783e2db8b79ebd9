"""Interface through which a server is promoted to primary of its service."""

from typing import Protocol


class Promoter(Protocol):
    """Orders promotions; which server is promoted is decided elsewhere."""

    async def promote(
        self, service: str, server_id: str, holder: str, fencing_token: int
    ) -> None:
        """Order the promotion of `server_id` to primary of `service`.

        Parameters
        ----------
        holder : str
            Name of the instance that gives the order.
        fencing_token : int
            Grows with every leadership; an order with a lower token must never
            follow one with a higher token.

        Raises
        ------
        PromotionRefused
            If the order had no effect and will have none.
        PromotionUnknown
            If the order may still take effect.
        """
        ...
