"""Take the leader's entries."""

import pathlib

from cranberryrill.replication import files, groups, member, replication_pb2


class CommittedConflict(files.StorageFailure):
    """A leader's log differs below what is committed here: stop at once."""

    def __init__(self, path: pathlib.Path, index: int) -> None:
        detail = f'entry {index} is committed, and differs at the leader'
        super().__init__(path, detail)


class Follower:
    """Store what the leader sends, and answer only for what is synced."""

    def __init__(self, local: member.Member) -> None:
        self.member = local

    async def append(
        self,
        request: replication_pb2.AppendRequest,
        now: float,
    ) -> replication_pb2.AppendAnswer:
        """Store the entries; the caller holds the disk lock."""
        local = self.member
        if not groups.may_follow(local.group, request.group_id):
            return replication_pb2.AppendAnswer()
        if not await self.accept_leader(request.term, request.leader, now):
            return replication_pb2.AppendAnswer(term=local.term)
        log = local.store.log
        known = log.term_at(request.previous_index)
        if known != request.previous_term:
            return replication_pb2.AppendAnswer(
                term=local.term,
                identity=local.identity,
                match_index=self._hint(request.previous_index),
            )
        await self._store(request)
        match_index = request.previous_index + len(request.entries)
        await local.commit_to(min(request.commit_index, match_index))
        return replication_pb2.AppendAnswer(
            term=local.term,
            identity=local.identity,
            accepted=True,
            match_index=match_index,
        )

    async def accept_leader(self, term: int, leader: str, now: float) -> bool:
        """Follow the leader of `term`, unless a newer term is known."""
        local = self.member
        if term < local.term:
            return False
        if term > local.term:
            await local.store.save_ballot(term, '')
        if local.leader != leader:
            local.step_down(leader)
        local.leader_contact_at = now
        return True

    def _hint(self, previous_index: int) -> int:
        """Return where the leader should try next."""
        log = self.member.store.log
        conflicting = log.term_at(previous_index)
        hint = min(log.last_index, previous_index - 1)
        # A leader holds all that is committed, so that much matches.
        while hint > self.member.commit_index:
            if log.term_at(hint) != conflicting:
                break
            hint -= 1
        return max(hint, self.member.commit_index)

    async def _store(self, request: replication_pb2.AppendRequest) -> None:
        local = self.member
        disk = local.store
        for position, entry in enumerate(request.entries):
            known = disk.log.term_at(entry.index)
            if known == entry.term:
                continue
            if known is not None:
                self._truncate_from(entry.index)
            disk.append(request.entries[position:])
            break
        match_index = request.previous_index + len(request.entries)
        # Entries that match may be this member's own, buffered and not yet
        # synced when it stopped leading.
        if match_index > local.synced_index:
            local.synced_index = await disk.sync()

    def _truncate_from(self, index: int) -> None:
        local = self.member
        if index <= local.commit_index:
            local.store.disk.fail(CommittedConflict(local.store.folder, index))
        local.store.truncate_from(index)
        local.synced_index = min(local.synced_index, index - 1)
