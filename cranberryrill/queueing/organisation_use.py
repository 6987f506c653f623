"""What each organisation has used of a service of late."""

import typing


class OrganisationUse(typing.Protocol):
    """Recent use of services by organisations."""

    def used(self, service: str, organisation: str, now: float) -> float:
        """Return what an organisation has used; comparable in one service."""
