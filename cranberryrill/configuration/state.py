"""Replicate the configuration and the keys."""

import collections
import typing
from collections import abc as collection_types

from google.protobuf import message

from cranberryrill.configuration import active, document
from cranberryrill.membership import membership_pb2
from cranberryrill.state import commands_pb2

# A resent change finds its first answer among this many.
REMEMBERED_CHANGES = 20_000
# A watcher that is further behind gets everything anew.
HISTORY_REVISIONS = 1_000
# Operators are told of this many accepted changes.
RECORDED_CHANGES = 500
# A record names this many of the objects that its change touched.
NAMED_OBJECTS = 8
Verdict = commands_pb2.ChangeOutcome


class ConfigurationState:
    """Accept each change against the revision that it was made for."""

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
            collections.deque(maxlen=HISTORY_REVISIONS)
        )
        # The last revision that changed the configuration, not only keys.
        self.configured_revision = 0
        self.records: collections.deque[commands_pb2.ChangeRecord] = (
            collections.deque(maxlen=RECORDED_CHANGES)
        )

    def apply(
        self,
        command: commands_pb2.Command,
        index: int,
        unix_ms: int,
    ) -> message.Message:
        """Apply a change of configuration or of a key."""
        if command.WhichOneof('kind') == 'put_traffic':
            return self._put_traffic(command.put_traffic)
        if command.WhichOneof('kind') == 'apply_configuration':
            change = command.apply_configuration
            known = self._known(change.change_id, change.request_digest)
            return known or self._configure(change, unix_ms)
        put = command.put_key
        known = self._known(put.change_id, put.request_digest)
        return known or self._put_key(put, unix_ms)

    def update_since(self, revision: int) -> membership_pb2.StateUpdate:
        """Return what a watcher at `revision` lacks."""
        oldest = self.history[0].revision if self.history else 0
        if not oldest or revision + 1 < oldest:
            return self._full()
        update = membership_pb2.StateUpdate(
            revision=self.configuration.revision
        )
        for step in self.history:
            if step.revision > revision:
                update.objects.extend(step.objects)
                update.keys.extend(step.keys)
        return update

    def changes_to(
        self,
        wanted: document.Document,
    ) -> list[commands_pb2.ObjectChange]:
        """Return the changes that lead from here to `wanted`."""
        changes = []
        missing = {
            place for place in self.encoded if place[0] in document.KINDS
        }
        for kind in document.KINDS:
            for named in getattr(wanted, kind):
                missing.discard((kind, named.name))
                content = document.encode(kind, named)
                if self.encoded.get((kind, named.name)) != content:
                    changes.append(
                        commands_pb2.ObjectChange(
                            kind=kind,
                            name=named.name,
                            json=content,
                        ),
                    )
        for kind, name in sorted(missing):
            changes.append(
                commands_pb2.ObjectChange(kind=kind, name=name, removed=True),
            )
        return changes

    def document(self) -> document.Document:
        """Return the configuration in force."""
        parts: dict[str, typing.Any] = {
            kind: tuple(named[name] for name in sorted(named))
            for kind, named in self.configuration.objects.items()
        }
        return document.Document(**parts)

    def dump(self) -> bytes:
        """Return the state for a snapshot."""
        full = self._full()
        dump = commands_pb2.ServingDump(
            revision=full.revision,
            objects=full.objects,
            keys=full.keys,
            memory=self.memory.values(),
            records=self.records,
            configured_revision=self.configured_revision,
        )
        return dump.SerializeToString()

    def load(self, content: bytes) -> None:
        """Replace the state by that of a snapshot."""
        dump = commands_pb2.ServingDump.FromString(content)
        self.configuration.clear()
        self.encoded.clear()
        self.memory.clear()
        self._record(dump.revision, dump.objects, dump.keys)
        self.history.clear()
        self.records.clear()
        self.records.extend(dump.records)
        self.configured_revision = dump.configured_revision
        for known in dump.memory:
            self.memory[known.change_id] = known

    def _known(
        self,
        change_id: str,
        digest: bytes,
    ) -> commands_pb2.ChangeOutcome | None:
        known = self.memory.get(change_id)
        if known is None:
            return None
        if known.digest == digest:
            return known.outcome
        return self._outcome(Verdict.CHANGE_ID_REUSED)

    def _remember(
        self,
        change_id: str,
        digest: bytes,
        verdict: Verdict.Verdict,
    ) -> commands_pb2.ChangeOutcome:
        outcome = self._outcome(verdict)
        self.memory[change_id] = commands_pb2.ChangeMemory(
            change_id=change_id,
            digest=digest,
            outcome=outcome,
        )
        if len(self.memory) > REMEMBERED_CHANGES:
            self.memory.popitem(last=False)
        return outcome

    def _configure(
        self,
        change: commands_pb2.ApplyConfiguration,
        unix_ms: int,
    ) -> commands_pb2.ChangeOutcome:
        verdict = Verdict.STALE_REVISION
        if self._is_based(change.base_revision):
            verdict = Verdict.ACCEPTED
            self.configured_revision = self.configuration.revision + 1
            # A key must not come back to life with its organisation's name.
            orphans = self._keys_of(
                {
                    removal.name
                    for removal in change.changes
                    if removal.removed and removal.kind == 'organisations'
                },
            )
            self._record(
                self.configuration.revision + 1,
                change.changes,
                [_withdrawn(key) for key in orphans],
            )
            self._note(change, unix_ms)
        return self._remember(
            change.change_id,
            change.request_digest,
            verdict,
        )

    def _put_key(
        self,
        change: commands_pb2.PutKey,
        unix_ms: int,
    ) -> commands_pb2.ChangeOutcome:
        verdict = self._judge_key(change.key)
        if verdict == Verdict.ACCEPTED:
            self._record(self.configuration.revision + 1, (), (change.key,))
            self._note(change, unix_ms)
        return self._remember(
            change.change_id,
            change.request_digest,
            verdict,
        )

    def _put_traffic(
        self,
        put: commands_pb2.PutTraffic,
    ) -> commands_pb2.ChangeOutcome:
        if put.version <= self.configuration.traffic.version:
            return self._outcome(Verdict.SUPERSEDED)
        self._forget_old_traffic()
        whole = commands_pb2.ObjectChange(
            kind=active.TRAFFIC_KIND,
            json=put.content,
        )
        self._record(self.configuration.revision + 1, (whole,), ())
        return self._outcome(Verdict.ACCEPTED)

    def _forget_old_traffic(self) -> None:
        """Keep only the newest document: each replaces the one before."""
        for step in self.history:
            kept = [
                change
                for change in step.objects
                if change.kind != active.TRAFFIC_KIND
            ]
            if len(kept) < len(step.objects):
                step.ClearField('objects')
                step.objects.extend(kept)

    def _is_based(self, revision: int) -> bool:
        """Say whether the configuration of `revision` is still in force."""
        return (
            self.configured_revision <= revision <= self.configuration.revision
        )

    def _judge_key(self, key: commands_pb2.KeyRecord) -> Verdict.Verdict:
        known = self.configuration.keys.get(key.digest)
        if known is not None:
            same = (known.name, known.organisation) == (
                key.name,
                key.organisation,
            )
            revived = known.withdrawn and not key.withdrawn
            kept = same and not revived
            return Verdict.ACCEPTED if kept else Verdict.KEY_DIFFERS
        if key.organisation not in self.configuration.objects['organisations']:
            return Verdict.UNKNOWN_ORGANISATION
        if self.configuration.find_key(key.name) is not None:
            return Verdict.KEY_NAME_TAKEN
        return Verdict.ACCEPTED

    def _keys_of(
        self,
        organisations: collection_types.Container[str],
    ) -> list[commands_pb2.KeyRecord]:
        return [
            key
            for key in self.configuration.keys.values()
            if key.organisation in organisations and not key.withdrawn
        ]

    def _note(
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
                changed=changed[:NAMED_OBJECTS],
                changed_count=len(changed),
            ),
        )

    def _outcome(
        self,
        verdict: Verdict.Verdict,
    ) -> commands_pb2.ChangeOutcome:
        return commands_pb2.ChangeOutcome(
            verdict=verdict,
            revision=self.configuration.revision,
        )

    def _record(
        self,
        revision: int,
        objects: collection_types.Sequence[commands_pb2.ObjectChange],
        keys: collection_types.Sequence[commands_pb2.KeyRecord],
    ) -> None:
        for change in objects:
            place = (change.kind, change.name)
            if change.removed:
                self.encoded.pop(place, None)
            else:
                self.encoded[place] = change.json
        self.configuration.update(revision, objects, keys)
        self.history.append(
            membership_pb2.StateUpdate(
                revision=revision,
                objects=objects,
                keys=keys,
            ),
        )

    def _full(self) -> membership_pb2.StateUpdate:
        return membership_pb2.StateUpdate(
            full=True,
            revision=self.configuration.revision,
            objects=[
                commands_pb2.ObjectChange(kind=kind, name=name, json=content)
                for (kind, name), content in self.encoded.items()
            ],
            keys=self.configuration.keys.values(),
        )


def _withdrawn(key: commands_pb2.KeyRecord) -> commands_pb2.KeyRecord:
    withdrawn = commands_pb2.KeyRecord()
    withdrawn.CopyFrom(key)
    withdrawn.withdrawn = True
    return withdrawn
