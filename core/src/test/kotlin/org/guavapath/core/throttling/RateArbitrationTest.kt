package org.guavapath.core.throttling

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RateArbitrationTest {
    private val now = MonotonicTime.ZERO + 10.seconds
    private val vms = (1..8).map { VmId("vm-$it") }
    private val replicas = (1..50).map { ReplicaId("replica-$it") }

    /** Exchanges ballots of [voters] until they are stable, between VMs for which [isLinked] holds. */
    private fun agree(
        voters: List<VmId>,
        weight: Int = 1,
        isLinked: (VmId, VmId) -> Boolean = { _, _ -> true },
    ): Map<VmId, RateArbitration> {
        val arbitrations = voters.associateWith { RateArbitration(it) }
        repeat(2) {
            arbitrations.forEach { (from, arbitration) ->
                val ballot = arbitration.renewBallot(weight, now)
                arbitrations.filterKeys { it != from && isLinked(from, it) }
                    .forEach { (_, receiver) -> receiver.receive(from, ballot, now) }
            }
        }
        arbitrations.forEach { (from, arbitration) ->
            val ballot = arbitration.renewBallot(weight, now)
            arbitrations.filterKeys { it != from && isLinked(from, it) }
                .forEach { (_, receiver) -> receiver.receive(from, ballot, now) }
        }
        return arbitrations
    }

    private fun shares(arbitrations: Map<VmId, RateArbitration>, replica: ReplicaId, fleetSize: Int) =
        arbitrations.mapValues { it.value.share(replica, fleetSize, now) }

    /** Guards against two VMs that hand out the same replica's rate. */
    @Test
    fun sharesNeverAddUpToMoreThanTheRate() {
        val halves = vms.chunked(4)
        val cases = listOf<Pair<String, (VmId, VmId) -> Boolean>>(
            "all linked" to { _, _ -> true },
            "none linked" to { _, _ -> false },
            "two halves" to { one, other -> halves.any { one in it && other in it } },
            "one link missing" to { one, other -> setOf(one, other) != setOf(vms[0], vms[1]) },
            "heard in one direction only" to { from, _ -> from != vms[0] },
            "a chain" to { one, other -> Math.abs(vms.indexOf(one) - vms.indexOf(other)) == 1 },
        )
        cases.forEach { (name, isLinked) ->
            val arbitrations = agree(vms, isLinked = isLinked)
            replicas.forEach { replica ->
                val sum = shares(arbitrations, replica, vms.size).values.sum()
                assertTrue(sum <= 1.0, "$name: the shares of $replica add up to $sum")
            }
        }
    }

    @Test
    fun linkedVmsChooseOneArbiterWithTheWholeRate() {
        val arbitrations = agree(vms)
        replicas.forEach { replica ->
            val arbiter = arbitrations.values.map { it.arbiter(replica) }.toSet().single()
            assertEquals(1.0, shares(arbitrations, replica, vms.size).getValue(arbiter), "$replica")
        }
        val arbiters = replicas.map { arbitrations.getValue(vms[0]).arbiter(it) }.toSet()
        assertTrue(arbiters.size > vms.size / 2, "${arbiters.size} VMs are arbiters of ${replicas.size} replicas")
    }

    @Test
    fun vmsThatAreNotHeardFromTakeTheirShareAlong() {
        val linked = vms.take(6)
        val arbitrations = agree(linked)
        val arbiter = arbitrations.getValue(linked[0]).arbiter(replicas[0])
        assertEquals(6.0 / 8, arbitrations.getValue(arbiter).share(replicas[0], vms.size, now))
    }

    @Test
    fun hubsVoteForTheirMembers() {
        val hubs = vms.take(4)
        val arbitrations = agree(hubs, weight = 20)
        val arbiter = arbitrations.getValue(hubs[0]).arbiter(replicas[0])
        assertEquals(80.0 / 85, arbitrations.getValue(arbiter).share(replicas[0], 85, now))
    }

    @Test
    fun ballotsExpire() {
        val arbitrations = agree(vms)
        val later = now + 1500.milliseconds
        val first = arbitrations.getValue(vms[0])
        assertTrue(first.isBallotOutdated(later))
        first.renewBallot(vms = 1, later)
        replicas.forEach { replica ->
            assertEquals(vms[0], first.arbiter(replica))
            assertEquals(1.0 / 8, first.share(replica, vms.size, later))
        }
    }
}
