package org.guavapath.core.quarantine

import org.guavapath.core.time.MonotonicTime
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Draws the requests of callers. */
internal class HistoryRequests(private val case: HistoryCase, private val random: Random) {
    private val shared = List(PARTS) { PartKey(it + 1L) }
    private val sessions = List(random.nextInt(2, 6)) { PartKey(FIRST_SESSION + it) }
    private val repeated = List(3) { RequestKey(FIRST_REPEATED + it) }
    private val index = if (case.cause == Cause.FIRST_PART) 0 else if (case.cause == Cause.MIDDLE_PART) 2 else PARTS - 1
    private val meanTime = maxOf(100.milliseconds, 1.seconds * (case.others * case.replicas) / SOUND_PER_SECOND)
    private var last = 0

    private fun create(parts: List<PartKey>, cause: Suspect?, key: RequestKey? = null): HistoryRequest {
        last += 1
        return HistoryRequest(last, parts.toSet() + (key ?: RequestKey(FIRST_KEY + last)), cause)
    }

    /** Returns a request that never crashes replicas: most have all parts of the deadly ones but the cause. */
    fun sound(): HistoryRequest {
        val other = sessions.random(random)
        return when (random.nextInt(10)) {
            0 -> create(emptyList(), null, repeated.random(random))
            1 -> create(listOf(PartKey(FIRST_UNRELATED), PartKey(FIRST_UNRELATED + random.nextInt(1, 100))), null)
            2 -> create(shared - shared[index], null)
            else -> create(if (case.isWholeRequest) shared else shared.replaced(other), null)
        }
    }

    fun deadly(): HistoryRequest {
        val number = random.nextInt(case.deadlyCauses)
        val part = PartKey(FIRST_DEADLY + number)
        val key = RequestKey(FIRST_DEADLY + number)
        return if (case.isWholeRequest) create(shared, key, key) else create(shared.replaced(part), part)
    }

    /** Returns whether [request] crashes a replica that it is sent to at [now]. */
    fun isDeadly(request: HistoryRequest, now: MonotonicTime): Boolean =
        request.cause != null && now >= MonotonicTime.ZERO + case.soundFor

    /** Returns how long a sound response takes. */
    fun time(): Duration =
        if (case.hasStreams && random.nextInt(5) == 0) STREAM_TIME else meanTime * random.nextDouble(0.2, 1.8)

    /** Returns after how long a replica crashes by a deadly request. */
    fun timeToCrash(): Duration =
        if (case.hasBegun) case.timeToCrash * random.nextDouble(2.0) else case.timeToCrash

    /** Returns whether the first event of the deadly response is overdue. */
    fun isStalled(): Boolean = when (case.head) {
        Head.NONE -> false
        Head.DRAWN -> random.nextBoolean()
        Head.STALLED -> true
    }

    /** Returns how long a caller waits with the next deadly request. */
    fun pause(): Duration =
        if (case.isCalm) random.nextInt(600, 3_000).milliseconds else random.nextInt(50, 500).milliseconds

    private fun List<PartKey>.replaced(part: PartKey) = mapIndexed { at, own -> if (at == index) part else own }

    companion object {
        const val FIRST_SESSION = 100L
        const val FIRST_UNRELATED = 1_000L
        const val FIRST_REPEATED = 2_000L
        const val FIRST_DEADLY = 666L
        const val FIRST_KEY = 10_000L
        private const val PARTS = 4
        private const val SOUND_PER_SECOND = 60
        private val STREAM_TIME = 20.seconds

        /** Times are drawn to the microsecond. */
        fun Random.nextDuration(until: Duration): Duration = nextLong(until.inWholeMicroseconds + 1).microseconds
    }
}
