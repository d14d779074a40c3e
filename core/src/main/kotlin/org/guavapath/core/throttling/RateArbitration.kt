/**
 * Agreement of VMs on which of them hands out a replica's permits.
 *
 * Each replica has one arbiter, chosen by rendezvous hashing, so that a permit costs one question and unused capacity
 * is never tied up at a VM that has no request for it. VMs may differ on who can be reached, and then choose different
 * arbiters. Therefore each VM publishes the candidates that it chooses from, and an arbiter uses only the share of the
 * rate that belongs to the VMs whose choice it is. As each VM chooses one, the shares add up to at most the whole rate,
 * however the fleet is cut apart.
 */
package org.guavapath.core.throttling

import com.dynatrace.hash4j.hashing.Hashing
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds

/** The ballots as known to the VM [self]. */
public class RateArbitration(private val self: VmId) {
    private class Received(val ballot: ArbiterBallot, val at: MonotonicTime)

    private val received = HashMap<VmId, Received>()

    /** The last published ballot of this VM, which its choices follow. */
    public var ballot: ArbiterBallot = ArbiterBallot(setOf(self), vms = 1)
        private set

    /** Records the [ballot] of another VM. */
    public fun receive(from: VmId, ballot: ArbiterBallot, now: MonotonicTime) {
        received[from] = Received(ballot, now)
    }

    /** Whether the candidates that this VM hears from are others than those of its last ballot. */
    public fun isBallotOutdated(now: MonotonicTime): Boolean = candidates(now) != ballot.candidates

    /**
     * Returns a new ballot at [now], which has to be published to all candidates at once.
     *
     * @param vms number of VMs that ask for permits through this one, itself included
     */
    public fun renewBallot(vms: Int, now: MonotonicTime): ArbiterBallot {
        received.values.removeIf { now - it.at > BALLOT_VALIDITY }
        ballot = ArbiterBallot(candidates(now), vms)
        return ballot
    }

    /** Returns the arbiter that this VM chooses for [replica]. */
    public fun arbiter(replica: ReplicaId): VmId = arbiter(replica, ballot.candidates)

    /**
     * Returns the share of [replica]'s rate that this VM may hand out, from 0 to 1.
     *
     * @param fleetSize number of VMs in the fleet, including those that cannot be reached
     */
    public fun share(replica: ReplicaId, fleetSize: Int, now: MonotonicTime): Double {
        val ballots = received.values.filter { now - it.at <= BALLOT_VALIDITY }.map { it.ballot } + ballot
        val arbiters = HashMap<Set<VmId>, VmId>()
        val supporters = ballots
            .filter { arbiters.getOrPut(it.candidates) { arbiter(replica, it.candidates) } == self }
            .sumOf { it.vms }
        return minOf(1.0, supporters.toDouble() / fleetSize)
    }

    private fun candidates(now: MonotonicTime): Set<VmId> =
        received.filterValues { now - it.at <= BALLOT_VALIDITY }.keys + self

    private fun arbiter(replica: ReplicaId, candidates: Set<VmId>): VmId {
        val hasher = Hashing.xxh3_64()
        val seed = hasher.hashCharsToLong(replica.text)
        val rank = { vm: VmId -> hasher.hashLongLongToLong(seed, hasher.hashCharsToLong(vm.text)) }
        return candidates.maxWith(compareBy<VmId> { rank(it) }.thenBy { it })
    }

    private companion object {
        /** Ballots are repeated every 250 ms. */
        val BALLOT_VALIDITY = 1000.milliseconds
    }
}
