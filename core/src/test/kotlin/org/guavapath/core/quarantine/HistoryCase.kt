package org.guavapath.core.quarantine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What crashes replicas. */
internal enum class Cause { FIRST_PART, MIDDLE_PART, LAST_PART, WHOLE_REQUEST }

/** Whether the head of a response comes before the replica crashes, and its first event is then overdue. */
internal enum class Head { NONE, DRAWN, STALLED }

/** Crashes of replicas that no request causes. */
internal enum class OtherCrashes { NONE, SINGLE, DOMAIN, IN_SERIES }

/** What gateways do not know of each other. */
internal enum class Isolation { NONE, CUT_OFF, STARTS_LATE }

/**
 * A kind of history.
 *
 * @property timeToCrash time from the send of a deadly request to the crash
 * @property hasBegun whether the response to a deadly request goes on until the crash, after up to twice [timeToCrash]
 * @property others number of sound requests that a replica runs, on average
 * @property deadlyCallers number of callers that each send one deadly request at a time, again and again
 * @property deadlyCauses number of different deadly parts or requests
 * @property isFirst whether the first request of all is a deadly one
 * @property soundFor time until the part becomes deadly
 * @property hasStreams whether some of the sound requests take 20 s
 * @property hasAges whether times of reports are told as ages, so that they come late by the time on the way
 */
internal data class HistoryCase(
    val timeToCrash: Duration = Duration.ZERO,
    val cause: Cause = Cause.LAST_PART,
    val head: Head = Head.NONE,
    val hasBegun: Boolean = false,
    val others: Int = 4,
    val replicas: Int = 6,
    val gateways: Int = 2,
    val deadlyCallers: Int = 1,
    val deadlyCauses: Int = 1,
    val isFirst: Boolean = false,
    val soundFor: Duration = Duration.ZERO,
    val otherCrashes: OtherCrashes = OtherCrashes.NONE,
    val hasStreams: Boolean = false,
    val isolation: Isolation = Isolation.NONE,
    val hasAges: Boolean = false,
    val duration: Duration = 110.seconds + soundFor + timeToCrash * 5,
) {
    /** Whether each deadly request follows the one before, and all gateways have heard of its crashes. */
    val isCalm: Boolean
        get() = deadlyCallers <= 1 && otherCrashes == OtherCrashes.NONE && isolation == Isolation.NONE
    val isWholeRequest: Boolean get() = cause == Cause.WHOLE_REQUEST

    /** Crashes by one cause that a gateway may know and still send a request with it. */
    val allowedCrashes: Int get() = if (isWholeRequest && !hasBegun) ALLOWED_BY_REQUEST else ALLOWED_BY_PART

    /** Crashes by one cause of calm histories, but for those of trials. */
    val calmCrashes: Int
        get() = if (isWholeRequest || head == Head.STALLED) ALLOWED_BY_REQUEST else ALLOWED_BY_PART

    companion object {
        const val ALLOWED_BY_PART = 5
        const val ALLOWED_BY_REQUEST = 3
    }
}

/** The table of cases. */
internal object HistoryCases {
    private val timesToCrash = listOf(0, 5, 50, 300, 2_000, 20_000).map { it.milliseconds }
    private val gateways = listOf(1, 2, 8)
    private val others = listOf(1, 4, 12)

    /** All times, causes and heads, over different sizes. */
    private val calm: List<HistoryCase> = timesToCrash
        .flatMap { time -> Cause.entries.map { HistoryCase(timeToCrash = time, cause = it) } }
        .flatMap { case -> Head.entries.map { case.copy(head = it) } }
        .mapIndexed { index, case ->
            case.copy(
                gateways = gateways[index % 3],
                others = others[index / 3 % 3],
                replicas = if (index % 5 == 0) 12 else 6
            )
        }

    private val crowded = listOf(1, 8).map { HistoryCase(gateways = it, deadlyCallers = 4) }

    /** What each time to the crash is combined with. */
    private val variants: List<HistoryCase> = crowded + listOf(
        HistoryCase(cause = Cause.FIRST_PART, isFirst = true),
        HistoryCase(isFirst = true, head = Head.STALLED, others = 12),
        HistoryCase(cause = Cause.WHOLE_REQUEST, isFirst = true),
        HistoryCase(deadlyCauses = 2),
        HistoryCase(deadlyCauses = 2, deadlyCallers = 4, cause = Cause.MIDDLE_PART),
        HistoryCase(deadlyCauses = 2, deadlyCallers = 4, head = Head.DRAWN),
        HistoryCase(soundFor = 10.seconds),
        HistoryCase(soundFor = 10.seconds, head = Head.STALLED, cause = Cause.FIRST_PART),
        HistoryCase(soundFor = 10.seconds, cause = Cause.WHOLE_REQUEST),
        HistoryCase(hasStreams = true),
        HistoryCase(hasStreams = true, isFirst = true, others = 12),
        HistoryCase(hasAges = true, gateways = 8),
        HistoryCase(hasAges = true, gateways = 8, cause = Cause.WHOLE_REQUEST),
        HistoryCase(isolation = Isolation.CUT_OFF, gateways = 8),
        HistoryCase(isolation = Isolation.STARTS_LATE, gateways = 8, cause = Cause.MIDDLE_PART),
        HistoryCase(deadlyCallers = 4, cause = Cause.WHOLE_REQUEST, gateways = 8),
        HistoryCase(otherCrashes = OtherCrashes.SINGLE, gateways = 8),
        HistoryCase(otherCrashes = OtherCrashes.DOMAIN, replicas = 12, cause = Cause.FIRST_PART),
        HistoryCase(otherCrashes = OtherCrashes.IN_SERIES, replicas = 12),
        HistoryCase(otherCrashes = OtherCrashes.IN_SERIES, hasStreams = true, deadlyCallers = 4, deadlyCauses = 2),
        HistoryCase(otherCrashes = OtherCrashes.SINGLE, cause = Cause.WHOLE_REQUEST),
    )

    private val large: List<HistoryCase> = listOf(0, 300, 20_000).map { time ->
        val case = HistoryCase(timeToCrash = time.milliseconds, gateways = 85, replicas = 62, others = 12)
        case.copy(duration = 45.seconds + case.timeToCrash * 3)
    } + HistoryCase(
        timeToCrash = 300.milliseconds,
        gateways = 85,
        replicas = 62,
        otherCrashes = OtherCrashes.IN_SERIES,
        hasStreams = true,
        duration = 45.seconds,
    )

    /** Deadly responses that begin, so that one may go on while another, sent later, ends its replica. */
    private val begun = Cause.entries.map { HistoryCase(cause = it, hasBegun = true, deadlyCallers = 4, gateways = 8) }

    /** All cases with a cause. */
    val all: List<HistoryCase> = calm + large + (variants + begun).flatMap { case ->
        timesToCrash.map { case.copy(timeToCrash = it, duration = 110.seconds + case.soundFor + it * 5) }
    }
}
