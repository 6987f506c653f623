"""Work out what a watcher of the registry lacks."""

from cranberryrill.registry import registry_pb2, table


class Cursor:
    """Remember what one watcher was sent."""

    def __init__(self) -> None:
        self.sent: dict[str, registry_pb2.Registration] = {}
        self.version = -1

    def next_update(
        self, held: table.RegistrationTable
    ) -> registry_pb2.RegistryUpdate | None:
        """Return the difference since the last step, or none."""
        if held.version == self.version:
            return None
        full = self.version < 0
        self.version = held.version
        present = held.registrations()
        update = registry_pb2.RegistryUpdate(
            full=full,
            present=[
                registration
                for name, registration in present.items()
                if name not in self.sent
                or table.routing_differs(self.sent[name], registration)
            ],
            gone=[name for name in self.sent if name not in present],
        )
        self.sent = present
        return update
