package org.guavapath.core.limits

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private const val MILLISECONDS_PER_SECOND = 1_000L

/** Maximum time from the first debit or ask for a request to its admission. */
public val ADMISSION_SPAN: Duration = 200.milliseconds

/**
 * The fleet-wide limit of one workspace.
 *
 * @property rate the rate in tokens per second
 * @property burst the tokens that may be used at once after an idle period
 * @throws IllegalArgumentException if [rate] is not positive or [burst] is below [rate]
 */
public data class WorkspaceLimit(public val rate: Long, public val burst: Long) {
    init {
        require(rate > 0) { "rate is $rate tokens/s, but must be positive" }
        require(burst >= rate) { "burst is $burst tokens, but must be at least the rate of one second, $rate" }
    }

    /**
     * The burst that is divided among the VMs.
     *
     * Tokens are debited up to [ADMISSION_SPAN] before their request is admitted, so the amount that the buckets can
     * refill in that time is withheld from the burst.
     */
    public val sharedBurst: Long
        get() {
            val held = rate * ADMISSION_SPAN.inWholeMilliseconds
            return burst - (held + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND
        }
}
