package org.guavapath.daemon.gateway

import org.guavapath.core.placement.ScoredReplica
import org.guavapath.core.time.MonotonicTime
import org.guavapath.platform.wire.ReplicaInstructions

/** Composes what a replica is told together with a forwarded request. */
internal class InstructionsFactory(private val context: ExchangeContext, private val admitted: AdmittedRequest) {
    /** Returns the instructions for [chosen]; [resumeAfter] is the last event that the caller has received. */
    fun of(chosen: ScoredReplica, resumeAfter: Long?) = ReplicaInstructions(
        timeLeft = admitted.dueAt - MonotonicTime.now(),
        workspace = admitted.workspace?.name,
        replica = chosen.record.entry.id,
        priority = admitted.workspace?.priority ?: admitted.route.priority,
        weights = chosen.weights,
        salt = chosen.path?.salt,
        fetchFrom = chosen.source?.address,
        saveTo = saveTarget(chosen),
        resumeAfter = resumeAfter,
    )

    /** Long shared parts are saved once, so that they outlive the memory of the replica that prefilled them. */
    private fun saveTarget(chosen: ScoredReplica): String? {
        val path = chosen.path ?: return null
        val now = MonotonicTime.now()
        val isStored = context.fleet.directory.storedTokens(path, now) >= path.sharedTokens
        val store = admitted.destination.cacheStore?.takeIf { path.sharedTokens >= MIN_SAVED_TOKENS && !isStored }
        if (store != null) context.fleet.directory.recordStored(path, now)
        return store?.address
    }

    private companion object {
        /** The store saves whole prompts, so saving a short shared part would evict longer ones. */
        const val MIN_SAVED_TOKENS = 1_000
    }
}
