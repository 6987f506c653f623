"""Replicated state of the configuration, the keys and the traffic document."""

import collections
import typing
from collections import abc as collection_types

from google.protobuf import message

from cranberryrill.configuration import accepted_traffic, active, document
from cranberryrill.membership import membership_pb2
from cranberryrill.state import commands_pb2

# Outcomes kept by change id, so that a resent change gets its first outcome.
MAX_REMEMBERED_CHANGES = 20_000
# A watcher that is further behind receives the full configuration.
MAX_HISTORY_REVISIONS = 1_000
# Accepted changes that operators can list.
MAX_CHANGE_RECORDS = 500
# Changed objects that a change record names; the others are only counted.
MAX_NAMED_OBJECTS = 8
Verdict = commands_pb2.ChangeOutcome


class ConfigurationState:
    """State machine that accepts or refuses changes on every control member.

    A change of the configuration is accepted only when the configuration of
    its base revision is still in force. `encoded` holds the JSON of each
    object by kind and name, `memory` the outcomes by change id, `history` the
    latest updates for watchers and `records` the accepted changes for
    operators.
    """

    # Stored in snapshots: a new name would make existing ones unreadable.
    name = 'serving'
    kinds = ('apply_configuration', 'put_key', 'put_traffic')

    def __init__(self) -> None:
        self.configuration = active.ActiveConfiguration()
        self.encoded: dict[tuple[str, str], bytes] = {}
        self.memory: collections.OrderedDict[
            str,
            commands_pb2.ChangeMemory,
        ] = collections.OrderedDict()
        self.history: collections.deque[membership_pb2.StateUpdate] = (
            collections.deque(maxlen=MAX_HISTORY_REVISIONS)
        )
        # Newest revision that changed the configuration; changes of keys and of
        # the traffic document don't count.
        self.configured_revision = 0
        self.records: collections.deque[commands_pb2.ChangeRecord] = (
            collections.deque(maxlen=MAX_CHANGE_RECORDS)
        )
        self.accepted_traffic = accepted_traffic.AcceptedTraffic()

    def apply(
        self, command: commands_pb2.Command, index: int, unix_ms: int
    ) -> message.Message:
        """Apply a committed command and return its `ChangeOutcome`.

        A change of the configuration or of a key whose id was used before has
        no effect. It returns the first outcome, or `CHANGE_ID_REUSED` when
        the request differs from the first one.
        """
        if command.WhichOneof('kind') == 'put_traffic':
            return self._put_traffic(command.put_traffic)
        if command.WhichOneof('kind') == 'apply_configuration':
            change = command.apply_configuration
            known = self.find_outcome(change.change_id, change.request_digest)
            return known or self._apply_configuration(change, unix_ms)
        put = command.put_key
        known = self.find_outcome(put.change_id, put.request_digest)
        return known or self._put_key(put, unix_ms)

    def update_since(self, revision: int) -> membership_pb2.StateUpdate:
        """Return the update from `revision` to the current revision.

        The update is full when the history doesn't reach back to `revision`.
        """
        oldest = self.history[0].revision if self.history else 0
        if not oldest or revision + 1 < oldest:
            return self._full_update()
        update = membership_pb2.StateUpdate(
            revision=self.configuration.revision
        )
        for past in self.history:
            if past.revision > revision:
                update.objects.extend(past.objects)
                update.keys.extend(past.keys)
        return update

    def changes_to(
        self, new_document: document.Document
    ) -> list[commands_pb2.ObjectChange]:
        """Return the changes from the configuration in force to a new one."""
        changes = []
        removed = {
            identity
            for identity in self.encoded
            if identity[0] in document.KINDS
        }
        for kind in document.KINDS:
            for config_object in getattr(new_document, kind):
                removed.discard((kind, config_object.name))
                content = document.encode(kind, config_object)
                if self.encoded.get((kind, config_object.name)) != content:
                    changes.append(
                        commands_pb2.ObjectChange(
                            kind=kind,
                            name=config_object.name,
                            json=content,
                        ),
                    )
        for kind, name in sorted(removed):
            changes.append(
                commands_pb2.ObjectChange(kind=kind, name=name, removed=True),
            )
        return changes

    def document(self) -> document.Document:
        """Return the configuration in force, with objects sorted by name."""
        parts: dict[str, typing.Any] = {
            kind: tuple(by_name[name] for name in sorted(by_name))
            for kind, by_name in self.configuration.objects.items()
        }
        return document.Document(**parts)

    def dump(self) -> bytes:
        """Return the encoded state for a snapshot."""
        full = self._full_update()
        dump = commands_pb2.ServingDump(
            revision=full.revision,
            objects=full.objects,
            keys=full.keys,
            memory=self.memory.values(),
            records=self.records,
            configured_revision=self.configured_revision,
            accepted_traffic=self.accepted_traffic.latest,
        )
        return dump.SerializeToString()

    def load(self, content: bytes) -> None:
        """Replace the state with the one that `dump` encoded.

        The history isn't part of a snapshot and starts empty.
        """
        dump = commands_pb2.ServingDump.FromString(content)
        self.configuration.clear()
        self.encoded.clear()
        self.memory.clear()
        self._commit_revision(dump.revision, dump.objects, dump.keys)
        self.history.clear()
        self.records.clear()
        self.records.extend(dump.records)
        self.configured_revision = dump.configured_revision
        for remembered in dump.memory:
            self.memory[remembered.change_id] = remembered
        self.accepted_traffic.load(
            dump.accepted_traffic, self.configuration.traffic
        )

    def find_outcome(
        self, change_id: str, digest: bytes
    ) -> commands_pb2.ChangeOutcome | None:
        """Return the outcome of a change that was applied, or None."""
        known = self.memory.get(change_id)
        if known is None:
            return None
        if known.digest == digest:
            return known.outcome
        return self._outcome(Verdict.CHANGE_ID_REUSED)

    def _remember_outcome(
        self, change_id: str, digest: bytes, verdict: Verdict.Verdict
    ) -> commands_pb2.ChangeOutcome:
        outcome = self._outcome(verdict)
        self.memory[change_id] = commands_pb2.ChangeMemory(
            change_id=change_id,
            digest=digest,
            outcome=outcome,
        )
        if len(self.memory) > MAX_REMEMBERED_CHANGES:
            self.memory.popitem(last=False)
        return outcome

    def _apply_configuration(
        self, change: commands_pb2.ApplyConfiguration, unix_ms: int
    ) -> commands_pb2.ChangeOutcome:
        verdict = Verdict.STALE_REVISION
        if self._is_current_base(change.base_revision):
            verdict = Verdict.ACCEPTED
            self.configured_revision = self.configuration.revision + 1
            # Otherwise a removed organisation's keys would work again once an
            # organisation of the same name is configured.
            orphaned_keys = self._valid_keys_of(
                {
                    removal.name
                    for removal in change.changes
                    if removal.removed and removal.kind == 'organisations'
                },
            )
            self._commit_revision(
                self.configuration.revision + 1,
                change.changes,
                [_withdrawn_copy(key) for key in orphaned_keys],
            )
            self._add_change_record(change, unix_ms)
        return self._remember_outcome(
            change.change_id, change.request_digest, verdict
        )

    def _put_key(
        self, change: commands_pb2.PutKey, unix_ms: int
    ) -> commands_pb2.ChangeOutcome:
        verdict = self._check_key(change.key)
        if verdict == Verdict.ACCEPTED:
            self._commit_revision(
                self.configuration.revision + 1, (), (change.key,)
            )
            self._add_change_record(change, unix_ms)
        return self._remember_outcome(
            change.change_id, change.request_digest, verdict
        )

    def _put_traffic(
        self, put: commands_pb2.PutTraffic
    ) -> commands_pb2.ChangeOutcome:
        if put.version <= self.configuration.traffic.version:
            return self._outcome(Verdict.SUPERSEDED)
        self._drop_old_traffic()
        traffic_change = commands_pb2.ObjectChange(
            kind=active.TRAFFIC_KIND,
            json=put.content,
        )
        self._commit_revision(
            self.configuration.revision + 1, (traffic_change,), ()
        )
        self.accepted_traffic.remember(self.configuration.traffic)
        return self._outcome(Verdict.ACCEPTED)

    def _drop_old_traffic(self) -> None:
        """Remove older traffic documents from the history.

        Each document replaces the previous one, so watchers need only the
        newest.
        """
        for past in self.history:
            other_changes = [
                change
                for change in past.objects
                if change.kind != active.TRAFFIC_KIND
            ]
            if len(other_changes) < len(past.objects):
                past.ClearField('objects')
                past.objects.extend(other_changes)

    def _is_current_base(self, revision: int) -> bool:
        """Return whether the configuration of `revision` is still in force."""
        return (
            self.configured_revision <= revision <= self.configuration.revision
        )

    def _check_key(self, key: commands_pb2.KeyRecord) -> Verdict.Verdict:
        known = self.configuration.keys.get(key.digest)
        if known is not None:
            is_same = (known.name, known.organisation) == (
                key.name,
                key.organisation,
            )
            is_revived = known.withdrawn and not key.withdrawn
            is_valid = is_same and not is_revived
            return Verdict.ACCEPTED if is_valid else Verdict.KEY_DIFFERS
        if key.organisation not in self.configuration.objects['organisations']:
            return Verdict.UNKNOWN_ORGANISATION
        if self.configuration.find_key(key.name) is not None:
            return Verdict.KEY_NAME_TAKEN
        return Verdict.ACCEPTED

    def _valid_keys_of(
        self, organisations: collection_types.Container[str]
    ) -> list[commands_pb2.KeyRecord]:
        return [
            key
            for key in self.configuration.keys.values()
            if key.organisation in organisations and not key.withdrawn
        ]

    def _add_change_record(
        self,
        change: commands_pb2.ApplyConfiguration | commands_pb2.PutKey,
        unix_ms: int,
    ) -> None:
        newest = self.history[-1]
        changed = [f'{one.kind}/{one.name}' for one in newest.objects]
        changed.extend(f'keys/{key.name}' for key in newest.keys)
        self.records.append(
            commands_pb2.ChangeRecord(
                revision=newest.revision,
                change_id=change.change_id,
                operator=change.operator,
                unix_ms=unix_ms,
                changed=changed[:MAX_NAMED_OBJECTS],
                changed_count=len(changed),
            ),
        )

    def _outcome(self, verdict: Verdict.Verdict) -> commands_pb2.ChangeOutcome:
        return commands_pb2.ChangeOutcome(
            verdict=verdict,
            revision=self.configuration.revision,
        )

    def _commit_revision(
        self,
        revision: int,
        objects: collection_types.Sequence[commands_pb2.ObjectChange],
        keys: collection_types.Sequence[commands_pb2.KeyRecord],
    ) -> None:
        for change in objects:
            identity = (change.kind, change.name)
            if change.removed:
                self.encoded.pop(identity, None)
            else:
                self.encoded[identity] = change.json
        self.configuration.update(revision, objects, keys)
        self.history.append(
            membership_pb2.StateUpdate(
                revision=revision,
                objects=objects,
                keys=keys,
            ),
        )

    def _full_update(self) -> membership_pb2.StateUpdate:
        return membership_pb2.StateUpdate(
            full=True,
            revision=self.configuration.revision,
            objects=[
                commands_pb2.ObjectChange(kind=kind, name=name, json=content)
                for (kind, name), content in self.encoded.items()
            ],
            keys=self.configuration.keys.values(),
        )


def _withdrawn_copy(key: commands_pb2.KeyRecord) -> commands_pb2.KeyRecord:
    withdrawn = commands_pb2.KeyRecord()
    withdrawn.CopyFrom(key)
    withdrawn.withdrawn = True
    return withdrawn
