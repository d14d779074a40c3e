package org.guavapath.core.quarantine

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.time.MonotonicTime
import org.guavapath.core.weights.FleetClock
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A request that a gateway sends for a caller.
 *
 * @property isRepeated whether it was sent before, to a replica that crashed
 * @property end tells the caller whether it was answered
 */
internal data class HistoryAttempt(
    val request: HistoryRequest,
    val gateway: HistoryGateway,
    val isRepeated: Boolean = false,
    val end: (isServed: Boolean) -> Unit,
)

/**
 * Times of a run.
 *
 * @property toEnd until the response is complete, or the replica crashes by the request
 * @property toBegin until the first bytes of the response arrive
 */
internal class HistoryTimes(val sentAt: MonotonicTime, val toEnd: Duration, val toBegin: Duration)

/** An attempt that was sent to a replica. */
internal class HistoryRun(
    val attempt: HistoryAttempt,
    val incarnation: ReplicaIncarnation,
    val times: HistoryTimes,
    val isTrial: Boolean,
    val isDeadly: Boolean,
) {
    val request get() = attempt.request
    val sentAt get() = times.sentAt

    fun hasBegun(now: MonotonicTime) = now - sentAt >= times.toBegin
}

/** A replica, which may crash and then comes back as another incarnation. */
internal class HistoryReplica(private val id: ReplicaId) {
    val runs = LinkedHashSet<HistoryRun>()
    var incarnation = ReplicaIncarnation(id, 1)
        private set
    var isUp = true

    fun restart(now: MonotonicTime) {
        incarnation = ReplicaIncarnation(id, now.microseconds)
        isUp = true
    }
}

/** The replicas, and crashes of them that no request causes. */
internal class HistoryReplicas(
    private val case: HistoryCase,
    private val clock: FleetClock,
    private val random: Random,
    private val crash: (HistoryReplica) -> Unit,
) {
    val all = List(case.replicas) { HistoryReplica(ReplicaId("replica-$it")) }

    /** Returns one of the replicas that are up and run little, null if none is up. */
    fun any(): HistoryReplica? {
        val up = all.filter { it.isUp }
        return if (up.isEmpty()) null else minOf(up.random(random), up.random(random), compareBy { it.runs.size })
    }

    fun start(): Unit = when (case.otherCrashes) {
        OtherCrashes.NONE -> Unit
        OtherCrashes.SINGLE -> single()
        OtherCrashes.DOMAIN -> domain(random.nextInt(DOMAINS))
        OtherCrashes.IN_SERIES -> series()
    }

    private fun single(): Unit = clock.schedule(clock.now + random.nextInt(500, 8_000).milliseconds) {
        end(all.random(random))
        single()
    }

    private fun domain(number: Int): Unit = clock.schedule(clock.now + random.nextInt(4_000, 12_000).milliseconds) {
        all.filterIndexed { index, _ -> index % DOMAINS == number }.forEach { replica ->
            clock.schedule(clock.now + random.nextInt(50).milliseconds) { end(replica) }
        }
        domain((number + 1) % DOMAINS)
    }

    private fun series() {
        val begin = clock.now + random.nextInt(3_000, 10_000).milliseconds
        all.forEachIndexed { index, replica -> clock.schedule(begin + 800.milliseconds * index) { end(replica) } }
        clock.schedule(begin + 800.milliseconds * all.size + 10.seconds) { series() }
    }

    private fun end(replica: HistoryReplica) {
        if (replica.isUp) crash(replica)
    }

    private companion object {
        const val DOMAINS = 3
    }
}
