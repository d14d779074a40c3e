package org.guavapath.core.weights

import org.guavapath.core.fleet.WeightsNumber
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * When a target was named, as far as one VM knows. What several VMs know is merged, in any order.
 *
 * @property number the weights
 * @property learnedAt when the first VM is known to have learned of it; it was named before
 * @property witnessedAt when the first VM learned of it as a change of the store, usually right after it was named;
 *   null if all found it there
 * @property notBefore latest time at which a response of the store showed that it was not named yet, null if unknown
 */
public data class TargetNaming(
    public val number: WeightsNumber,
    public val learnedAt: MonotonicTime,
    public val witnessedAt: MonotonicTime? = null,
    public val notBefore: MonotonicTime? = null,
) {
    /** When it was named at the earliest, null if unknown. A VM that saw the change later than another knew is late. */
    public val earliest: MonotonicTime?
        get() = if (witnessedAt != null && witnessedAt <= learnedAt + USUAL_DELAY) learnedAt else notBefore

    /** Returns what is known here and there. */
    public fun merge(other: TargetNaming): TargetNaming = copy(
        learnedAt = minOf(learnedAt, other.learnedAt),
        witnessedAt = listOfNotNull(witnessedAt, other.witnessedAt).minOrNull(),
        notBefore = listOfNotNull(notBefore, other.notBefore).maxOrNull(),
    )

    /**
     * Returns what is left of it at [now] if the clock may have stood still for [duration] since: it is known, and was
     * not named before that long.
     */
    internal fun afterSuspension(duration: Duration, now: MonotonicTime) =
        TargetNaming(number, learnedAt = now, witnessedAt = null, notBefore = earliest?.let { it + (-duration) })

    private companion object {
        /** Within this time all VMs that are not held up see a change. */
        val USUAL_DELAY = 250.milliseconds
    }
}
