package org.guavapath.daemon.gateway

import org.guavapath.core.placement.ReplicaOutcome
import org.guavapath.core.placement.ReplicaRecord
import org.guavapath.core.time.MonotonicTime

/** Accounts for one attempt in a replica's load and health records. */
internal class AttemptAccounting(private val record: ReplicaRecord, private val prefillTokens: Long) {
    private var isPrefilling = true
    private var isFinished = false
    private var finalOutcome: ReplicaOutcome? = null

    init {
        record.requestSent(prefillTokens)
    }

    /** Records the first bytes of the response, which mark the end of the prefill. */
    fun prefillEnded() {
        if (!isPrefilling) return
        isPrefilling = false
        record.prefillEnded(prefillTokens)
    }

    /**
     * Records the end of the attempt; [outcome] is null if it says nothing about the replica's health. Another call
     * only records an outcome that differs.
     */
    fun finish(outcome: ReplicaOutcome?) {
        if (!isFinished) {
            prefillEnded()
            record.requestEnded()
        }
        if (outcome != null && outcome != finalOutcome) observe(outcome)
        isFinished = true
        finalOutcome = outcome
    }

    fun observe(outcome: ReplicaOutcome) = record.health.observe(outcome, MonotonicTime.now())
}
