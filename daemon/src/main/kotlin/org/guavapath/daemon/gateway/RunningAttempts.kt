package org.guavapath.daemon.gateway

/**
 * The attempts of one request that have not ended: one, or two while the replica of the first is silent within its
 * response.
 *
 * A silent replica may go on. Its attempt is given up only when another replica continues the response, so that an
 * answer is not broken off for want of a replacement.
 *
 * @param onGivenUp called with an attempt that is cancelled and the reason
 */
internal class RunningAttempts(private val onGivenUp: (Attempt, String) -> Unit) {
    /** The newest attempt, or the last one. */
    var current: Attempt? = null
        private set

    /** The attempt on which nothing arrives, while a replacement is sought or has not begun to respond. */
    var silent: Attempt? = null
        private set

    /** Whether a replacement of [silent] was sent. */
    val isReplacing: Boolean get() = silent?.isRunning == true && silent !== current

    /** The newest attempt if a successful response has begun and goes on. */
    val responding: Attempt? get() = current?.takeIf { it !== silent && it.isResponding }

    /** Whether [attempt] is one of these. */
    operator fun contains(attempt: Attempt): Boolean = attempt === current || attempt === silent

    /** Records that [attempt] is sent; [silent] is kept beside it if [keepsSilent], and given up otherwise. */
    fun sent(attempt: Attempt, keepsSilent: Boolean) {
        if (!keepsSilent) {
            silent?.let { giveUp(it, "no data within the time limit") }
            silent = null
        }
        current = attempt
    }

    /** Records that nothing arrives on [attempt], the newest one, and that a replacement is sought. */
    fun fellSilent(attempt: Attempt) {
        silent = attempt
    }

    /** Records that the response has advanced by [attempt], and gives up the other attempt. */
    fun advanced(attempt: Attempt) {
        val other = if (attempt === current) silent else current
        if (other !== attempt && other?.isRunning == true) giveUp(other, "another attempt continues the response")
        current = attempt
        silent = null
    }

    /** Ends [attempt], which gives no whole response. */
    fun end(attempt: Attempt, reason: String) {
        giveUp(attempt, reason)
        if (attempt === silent) silent = null
    }

    /** Waits for [silent] to go on, as there is no replacement; returns false if there is no such attempt. */
    fun fallBack(): Boolean {
        val kept = silent?.takeIf { it.isRunning } ?: return false
        current = kept
        silent = null
        kept.silence.awaitMore()
        return true
    }

    /** Cancels [attempt] and records the [reason]. */
    fun giveUp(attempt: Attempt, reason: String) {
        attempt.cancel()
        onGivenUp(attempt, reason)
    }

    /** Cancels all attempts without a record; calls [each] with each. */
    fun cancel(each: (Attempt) -> Unit = {}) = setOfNotNull(silent, current).forEach {
        it.cancel()
        each(it)
    }
}
