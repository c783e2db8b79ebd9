"""The order that makes a server the primary of its service."""

from typing import Protocol


class Promoter(Protocol):
    """Carries out the decision to promote; decides nothing itself."""

    async def promote(
        self, service: str, server_id: str, holder: str, fence: int
    ) -> None:
        """Order that `server_id` becomes the primary of `service`.

        Parameters
        ----------
        holder : str
            Name of the instance that orders it.
        fence : int
            Grows with every order; a lower one must never follow a higher one.

        Raises
        ------
        PromotionRefused
            If the order had no effect and will have none.
        PromotionUnknown
            If the order may still take effect.
        """
        ...
