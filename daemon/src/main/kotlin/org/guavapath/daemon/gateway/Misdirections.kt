package org.guavapath.daemon.gateway

import org.guavapath.core.identity.ModelName
import org.guavapath.core.time.MonotonicTime
import org.guavapath.platform.wire.ReplicaResponseHead
import kotlin.time.Duration.Companion.milliseconds

/** Learns from replicas that reject a request because it expected another replica or other weights. */
internal class Misdirections(private val context: ExchangeContext, private val admitted: AdmittedRequest) {
    /** Updates the replica's record if [head] says that it has other weights, or is another replica at its address. */
    fun record(attempt: Attempt, head: ReplicaResponseHead) {
        if (!head.isMisdirected) return
        val record = attempt.choice.record
        val now = MonotonicTime.now()
        if (head.replica != null && head.replica != record.entry.id) {
            record.avoidedUntil = now + MISDIRECTION_BACKOFF
        } else {
            admitted.request.prompt?.model?.let { recordOtherWeights(attempt, it, now) }
        }
    }

    /** The replica most likely has loaded the newest weights; if it has rejected these, its weights are not known. */
    private fun recordOtherWeights(attempt: Attempt, model: ModelName, now: MonotonicTime) {
        val newest = context.fleet.weights.newest(model)
        val record = attempt.choice.record
        if (newest == null || attempt.choice.weights == newest) {
            record.avoidedUntil = maxOf(record.avoidedUntil, now + UNKNOWN_WEIGHTS_BACKOFF)
        } else {
            record.assumeWeights(model, newest, now + MISDIRECTION_BACKOFF)
        }
    }

    private companion object {
        /** The replica list is up to date within two seconds of an address change. */
        val MISDIRECTION_BACKOFF = 2000.milliseconds

        /** Orders to load weights, which ask a replica for those that it has, are sent several times a second. */
        val UNKNOWN_WEIGHTS_BACKOFF = 300.milliseconds
    }
}
