"""Append the entries that the leader sends."""

import pathlib

from cranberryrill.replication import files, groups, member, replication_pb2


class CommittedConflict(files.StorageFailure):
    """An entry of the leader contradicts one that is committed here."""

    def __init__(self, path: pathlib.Path, index: int) -> None:
        detail = f'committed entry {index} differs in the log of the leader'
        super().__init__(path, detail)


class Follower:
    """Store the entries of the leader; acknowledge only synced ones."""

    def __init__(self, local: member.Member) -> None:
        self.member = local

    async def append(
        self,
        request: replication_pb2.AppendRequest,
        now: float,
    ) -> replication_pb2.AppendAnswer:
        """Store the entries of one request; the caller holds the disk lock."""
        local = self.member
        if not groups.may_follow(local.group, request.group_id):
            return replication_pb2.AppendAnswer()
        if not await self.accept_leader(request.term, request.leader, now):
            return replication_pb2.AppendAnswer(term=local.term)
        log = local.store.log
        stored_term = log.term_at(request.previous_index)
        if stored_term != request.previous_term:
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
        """Follow `leader`; return False if a newer term is known."""
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
        """Return the `previous_index` that the leader should try next."""
        log = self.member.store.log
        conflicting = log.term_at(previous_index)
        hint = min(log.last_index, previous_index - 1)
        # The leader has every committed entry, so the logs agree up to the
        # commit index.
        while hint > self.member.commit_index:
            if log.term_at(hint) != conflicting:
                break
            hint -= 1
        return max(hint, self.member.commit_index)

    async def _store(self, request: replication_pb2.AppendRequest) -> None:
        local = self.member
        disk = local.store
        for position, entry in enumerate(request.entries):
            stored_term = disk.log.term_at(entry.index)
            if stored_term == entry.term:
                continue
            if stored_term is not None:
                self._truncate_from(entry.index)
            disk.append(request.entries[position:])
            break
        match_index = request.previous_index + len(request.entries)
        # Matching entries may be unsynced: this member may have buffered them
        # as the leader, before it stopped leading.
        if match_index > local.synced_index:
            local.synced_index = await disk.sync()

    def _truncate_from(self, index: int) -> None:
        local = self.member
        if index <= local.commit_index:
            local.store.disk.fail(CommittedConflict(local.store.folder, index))
        local.store.truncate_from(index)
        local.synced_index = min(local.synced_index, index - 1)
