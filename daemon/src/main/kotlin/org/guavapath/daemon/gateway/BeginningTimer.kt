package org.guavapath.daemon.gateway

import org.guavapath.core.identity.ModelName
import org.guavapath.core.placement.ScoredReplica
import org.guavapath.core.time.MonotonicTime

/**
 * Calls [onLate] when a request that was sent to [choice] must have begun, as the weights there have been replaced.
 *
 * @param model the model that the request is for, null for plain requests
 */
internal class BeginningTimer(
    private val context: ExchangeContext,
    private val model: ModelName?,
    private val choice: ScoredReplica,
    onLate: () -> Unit,
) {
    private val timer = InactivityTimer(context.loop, onLate)

    /** Starts the timer if there is a limit, or there may be one later. */
    fun start() {
        choice.beginBy?.let { restart(it) }
        if (choice.weights != null) context.waiting.add(this)
    }

    /** Takes into account that other weights are wanted, or have been for longer, than was known before. */
    fun targetsChanged() {
        val weights = choice.weights
        if (model == null || weights == null) return
        context.fleet.placement.beginBy(model, weights, MonotonicTime.now())?.let { restart(it) }
    }

    /** Stops the timer, as the request has begun or ended. */
    fun stop() {
        timer.stop()
        context.waiting.remove(this)
    }

    private fun restart(beginBy: MonotonicTime) = timer.restart(beginBy - MonotonicTime.now())
}
