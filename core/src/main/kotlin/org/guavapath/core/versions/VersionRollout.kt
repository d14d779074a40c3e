package org.guavapath.core.versions

import org.guavapath.core.identity.VmId
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The replicas and gateways that a move concerns.
 *
 * @property targetSlots requests that ready replicas of the target run at a time
 * @property oldSlots requests that the other ready replicas of the service run at a time
 * @property gateways all gateways of the fleet
 */
public data class MoveSituation(
    public val targetSlots: Int,
    public val oldSlots: Int,
    public val gateways: Set<VmId>,
) {
    /** Why the target cannot take all requests, null if it can; services have reserves. */
    internal val lack: String?
        get() = when {
            targetSlots == 0 -> "no replica of it is ready"
            CAPACITY_FACTOR * targetSlots < oldSlots -> "too few replicas of it are ready"
            else -> null
        }

    private companion object {
        const val CAPACITY_FACTOR = 2
    }
}

/**
 * The order-giver's side of one order: grants requests, compares the answers and decides.
 *
 * All that was granted, less what was returned, never exceeds what the bounds allow for the requests that are known to
 * have come, nor the ceiling that the store keeps.
 *
 * @property order the order
 * @param token this order-giver's fencing token
 * @param progress what the store keeps of the order, null if nothing
 */
public class VersionRollout(
    public val order: VersionOrder,
    bounds: ExposureBounds,
    private val token: Long,
    progress: VersionProgress?,
    private val startedAt: MonotonicTime,
) {
    private val runs = GatewayRuns(token, bounds)
    private val ledger = ExposureLedger(bounds, token, runs, progress)
    private val schedule = ComparisonSchedule()
    private var grantNumber = 0L
    private var beganAt = startedAt + -(progress?.age ?: Duration.ZERO)
    private var isMoveWritten = progress?.phase is VersionPhase.Move
    private var isOutcomeWritten = false

    /** The phase that has been decided. */
    public var phase: VersionPhase = progress?.phase ?: VersionPhase.Trial
        private set

    /** The evidence that the decision to roll back rests on, null if there is none. */
    public var evidence: VersionEvidence? = null
        private set

    /** Answers of both versions that are known. */
    public val answers: AnswerCounts get() = runs.answers

    /** Requests that may have been sent to the target before the move. */
    public val spent: Long get() = ledger.spent

    /** Requests that the target may have got by now, before the move. */
    public val allowed: Long get() = ledger.allowed

    /** The phase that gateways may be told of. */
    public val toldPhase: VersionPhase
        get() = when (phase) {
            VersionPhase.Move -> if (isMoveWritten) VersionPhase.Move else VersionPhase.Trial
            VersionPhase.Done -> if (isOutcomeWritten) VersionPhase.Done else VersionPhase.Move
            VersionPhase.Trial, is VersionPhase.RolledBack -> phase
        }

    /** Returns the age of the order at [now]. */
    public fun age(now: MonotonicTime): Duration = now - beganAt

    /** Applies a [report] that the gateway [from] has sent. */
    public fun reported(from: VmId, report: VersionReport, now: MonotonicTime) {
        if (report.order != order) return
        beganAt = minOf(beganAt, now + -report.age)
        ledger.reported(report)
        val isLater = report.phase.isFinal || phase is VersionPhase.Trial
        if (!phase.isFinal && isLater) phase = report.phase.takeIf { it !is VersionPhase.Trial } ?: phase
        runs.reported(from, report, now)
    }

    /** Returns what to keep in the store at [now]; it is written whenever it differs in phase or ceiling. */
    public fun progress(now: MonotonicTime): VersionProgress {
        val ceiling = if (phase is VersionPhase.Trial) ledger.wantedCeiling(now) else ledger.ceiling
        return VersionProgress(order, ceiling, ledger.requests, age(now), phase)
    }

    /** Records that the store keeps [progress]. */
    public fun written(progress: VersionProgress) {
        ledger.written(progress.ceiling)
        if (progress.phase is VersionPhase.Move) isMoveWritten = true
    }

    /** Records that the store has the outcome [decision], of this order-giver or another. */
    public fun outcomeWritten(decision: VersionPhase) {
        phase = decision
        isOutcomeWritten = true
    }

    /** Decides at [now], and grants more requests. */
    public fun step(now: MonotonicTime, situation: MoveSituation) {
        if (!phase.isFinal) schedule.look(runs.answers, phase, now)?.let { rollBack(it) }
        val lack = situation.lack ?: "no answer of it is known".takeIf { isUnanswered }
        when {
            phase.isFinal -> Unit
            lack != null && age(now) >= order.duration -> phase = VersionPhase.RolledBack(lack)
            phase is VersionPhase.Trial -> stepTrial(now, situation, lack == null)
            isMoveWritten && lack == null && runs.areMoved(now, situation.gateways, age(now) >= order.duration) ->
                phase = VersionPhase.Done
        }
    }

    /** Returns what to tell the gateways that are heard at [now]. */
    public fun grants(now: MonotonicTime): Map<VmId, VersionGrant> {
        grantNumber += 1
        return runs.newest.filterValues { now - it.heardAt <= ExposureLedger.HEARD_TIME }.mapValues { (_, run) ->
            run.granting(grantNumber, now)
            VersionGrant(
                order,
                run.incarnation,
                grantNumber,
                run.report.number,
                token,
                age(now),
                toldPhase,
                ledger.ceiling,
                run.granted.toMap(),
            )
        }
    }

    private fun stepTrial(now: MonotonicTime, situation: MoveSituation, isReady: Boolean) {
        // The gateways need a while to tell of the highest ceiling.
        val hasHeard = now - startedAt > ExposureLedger.HEARD_TIME || runs.newest.keys.containsAll(situation.gateways)
        if (isReady && age(now) >= moveAge) {
            val found = schedule.lookBeforeMove(runs.answers)
            if (found == null) phase = VersionPhase.Move else rollBack(found)
        } else if (situation.targetSlots > 0 && hasHeard) {
            ledger.grantMore(now)
        }
    }

    private fun rollBack(found: VersionEvidence) {
        evidence = found
        phase = VersionPhase.RolledBack(found.toString())
    }

    private val isUnanswered: Boolean get() = runs.hasSent && runs.answers.targetAnswers == 0L

    /** A version may turn bad late, so that the move comes as late as its requests on old replicas allow. */
    private val moveAge: Duration
        get() = order.duration - minOf(maxOf(order.duration / MOVE_PART, MIN_MOVE), order.duration / 2)

    private companion object {
        const val MOVE_PART = 4
        val MIN_MOVE = 3.seconds
    }
}
