package org.guavapath.core.versions

import org.guavapath.core.fleet.ReplicaId
import kotlin.math.log2
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Name of a route.
 *
 * @property text the name
 */
@JvmInline
public value class RouteName(public val text: String) {
    override fun toString(): String = text
}

/**
 * Requests whose answers can be compared.
 *
 * @property route their route
 * @property load how busy their replica was, by class
 * @property reading how much of a prompt their replica had to read, by class
 */
public data class Stratum(public val route: RouteName, public val load: Int, public val reading: Int) {
    /** Derives classes. */
    public companion object {
        private const val HALF_BUSY = 0.5
        private const val SHORT_PROMPT = 512L
        private const val LONG_PROMPT = 4_096L

        /** Returns the stratum of a request on a replica of [slots] that had [running] requests. */
        public fun of(route: RouteName, running: Int, slots: Int, unreadTokens: Long): Stratum {
            val load = if (running < HALF_BUSY * slots) 0 else if (running < slots) 1 else 2
            val reading = if (unreadTokens < SHORT_PROMPT) 0 else if (unreadTokens < LONG_PROMPT) 1 else 2
            return Stratum(route, load, reading)
        }
    }
}

/**
 * What is counted together.
 *
 * @property stratum the requests
 * @property replica the replica of the target that answered, null for all old replicas together
 */
public data class AnswerSource(public val stratum: Stratum, public val replica: ReplicaId?)

/** Answers of one source: how many there were, how many failed, and the times of those that did not. */
public class SourceCounts(
    answers: Long = 0,
    failures: Long = 0,
    times: Map<Int, Long> = emptyMap(),
) {
    private val byTime = HashMap(times)

    /** Number of answers, failures included. */
    public var answers: Long = answers
        private set

    /** Number of failures. */
    public var failures: Long = failures
        private set

    /** Number of successes by class of their time. */
    public val times: Map<Int, Long> get() = byTime

    /** Records a failure. */
    public fun failed() {
        answers += 1
        failures += 1
    }

    /** Records a success; its [time] is null if the replica was still warming up. */
    public fun succeeded(time: Duration?) {
        answers += 1
        if (time != null) byTime.merge(timeClass(time), 1L, Long::plus)
    }

    /** Returns the sum of both. */
    public operator fun plus(other: SourceCounts): SourceCounts = SourceCounts(
        answers + other.answers,
        failures + other.failures,
        (byTime.keys + other.byTime.keys).associateWith { (byTime[it] ?: 0) + (other.byTime[it] ?: 0) },
    )

    /** Returns what has come since [earlier]. */
    public operator fun minus(earlier: SourceCounts): SourceCounts = SourceCounts(
        maxOf(0, answers - earlier.answers),
        maxOf(0, failures - earlier.failures),
        byTime.mapValues { (timeClass, count) -> maxOf(0, count - (earlier.byTime[timeClass] ?: 0)) },
    )

    /** Returns a copy that does not change. */
    public fun copy(): SourceCounts = SourceCounts(answers, failures, byTime)

    /** Knows the classes of times. */
    public companion object {
        /** Classes by which the time doubles. */
        private const val CLASSES_PER_DOUBLING = 2

        /** Returns the class of [time]. */
        public fun timeClass(time: Duration): Int =
            (CLASSES_PER_DOUBLING * log2(1 + time.toDouble(DurationUnit.MILLISECONDS))).toInt()
    }
}

/** Answers by source. */
public typealias AnswerCounts = Map<AnswerSource, SourceCounts>

/** Returns the sum of all [counts]. */
public fun sumOf(counts: Iterable<AnswerCounts>): AnswerCounts {
    val sum = HashMap<AnswerSource, SourceCounts>()
    counts.forEach { part -> part.forEach { (source, count) -> sum.merge(source, count, SourceCounts::plus) } }
    return sum
}

/** Returns what has come since [earlier]. */
public fun AnswerCounts.since(earlier: AnswerCounts): AnswerCounts =
    mapValues { (source, count) -> earlier[source]?.let { count - it } ?: count }

/** Number of answers of the target. */
public val AnswerCounts.targetAnswers: Long
    get() = entries.filter { it.key.replica != null }.sumOf { it.value.answers }

/** Number of answers of the target that did not fail. */
public val AnswerCounts.goodTargetAnswers: Long
    get() = entries.filter { it.key.replica != null }.sumOf { it.value.answers - it.value.failures }
