package org.guavapath.core.versions

import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration.Companion.seconds

/** Compares the versions whenever the target has given enough new answers. */
internal class ComparisonSchedule {
    private val comparison = VersionComparison()
    private var lookedAt = MonotonicTime.ZERO
    private var answersThen = 0L

    /** Returns the evidence against the target in [answers] if a look is due, null if there is none. */
    fun look(answers: AnswerCounts, phase: VersionPhase, now: MonotonicTime): VersionEvidence? {
        val ofTarget = answers.targetAnswers
        val isGrown = ofTarget >= answersThen * GROWTH
        val isTime = ofTarget >= answersThen + MIN_GROWTH && now - lookedAt >= INTERVAL
        if (ofTarget < FIRST_LOOK || !isGrown && !isTime) return null
        lookedAt = now
        answersThen = ofTarget
        return if (phase is VersionPhase.Move) comparison.lastLook(answers) else comparison.look(answers)
    }

    /** Returns the evidence in [answers] before the move, null if there is none. */
    fun lookBeforeMove(answers: AnswerCounts): VersionEvidence? = comparison.lastLook(answers)

    private companion object {
        const val FIRST_LOOK = 8
        const val GROWTH = 1.3
        const val MIN_GROWTH = 4
        val INTERVAL = 1.seconds
    }
}
