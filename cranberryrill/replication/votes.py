"""Grant or refuse the vote requests of candidates."""

from cranberryrill.replication import member, replication_pb2, timing


def slow_disk_seconds(local: member.Member) -> float:
    """Return by how much the disk of a member delays an election."""
    ballot_seconds = min(local.store.ballot_seconds, timing.MAX_BALLOT_SECONDS)
    return timing.BALLOTS_PER_VOTE * ballot_seconds


def awaits_election(local: member.Member, now: float) -> bool:
    """Return whether the candidate voted for may be about to lead."""
    patience = timing.START_SILENCE_SECONDS + slow_disk_seconds(local)
    return now < local.voted_at + patience


class Voter:
    """Grant at most one vote per term, and none during a leader's lease."""

    def __init__(self, local: member.Member) -> None:
        self.member = local

    async def vote(
        self,
        request: replication_pb2.VoteRequest,
        now: float,
    ) -> bool:
        """Return whether the vote is granted, once it is stored.

        A trial request changes nothing. The caller holds the disk lock.
        """
        local = self.member
        if not request.identity or request.group_id != local.group.id:
            return False
        if request.term < local.term or not local.may_vote(now):
            return False
        if request.trial:
            # Another candidate would depose the one that got the last vote.
            is_free = not awaits_election(local, now)
            return is_free and local.has_current_log(request)
        is_newer = request.term > local.term
        if is_newer:
            local.step_down('')
        voted_for = '' if is_newer else local.store.ballot.voted_for
        grants = voted_for in {'', request.identity}
        grants = grants and local.has_current_log(request)
        # One write for the term and the vote, since the candidate waits for it.
        if grants and voted_for != request.identity:
            await local.store.save_ballot(request.term, request.identity)
        elif is_newer:
            await local.store.save_ballot(request.term, '')
        if grants:
            local.voted_at = now
        return grants
