package org.guavapath.core.placement

import com.dynatrace.hash4j.hashing.Hashing
import org.guavapath.core.fleet.CacheStore
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.time.MonotonicTime

/**
 * Where a replica may fetch cached parts of a prompt from.
 *
 * @property address host and port of a replica or of the store
 * @property tokens tokens at the prompt's beginning that the source holds, 0 if that is not known
 */
public data class PromptSource(public val address: String, public val tokens: Int)

/**
 * Finds sources of cached parts.
 *
 * A replica that used the parts a moment ago is best; then the store, which keeps them for longer; then a
 * replica that used them earlier. If nobody is known to hold them, the replica that reads them first is asked:
 * a miss there costs a millisecond.
 */
public class PromptSources(private val book: ReplicaBook, private val directory: PromptDirectory) {
    /** Returns the best source of [path] for the replica [own] among [holders] and [store], null if none adds to it. */
    public fun best(
        path: PromptPath,
        own: ReplicaId,
        holders: Set<ReplicaId>,
        store: CacheStore?,
        now: MonotonicTime,
    ): PromptSource? {
        val others = holders - own
        val needed = directory.heldTokens(path, own, Certainty.SURE, now) + FEWEST_FETCHED
        val stored = if (store == null) 0 else directory.storedTokens(path, now)
        val sure = directory.bestHolder(path, others, Certainty.SURE, now)
        val likely = directory.bestHolder(path, others, Certainty.LIKELY, now)
        return when {
            sure != null && sure.second >= maxOf(needed, stored) -> source(sure.first, sure.second)
            store != null && stored >= needed -> PromptSource(store.address, stored)
            likely != null && likely.second >= needed -> source(likely.first, likely.second)
            path.sharedTokens >= needed -> home(path, others)?.let { source(it, tokens = 0) }
            else -> null
        }
    }

    /**
     * Returns the replica among [candidates] that all VMs prefer for the shared part of [path] while nobody is
     * known to hold it, so that it is read once; null if there are no candidates or no shared part.
     */
    public fun home(path: PromptPath, candidates: Set<ReplicaId>): ReplicaId? {
        val step = path.sharedSteps.lastOrNull() ?: return null
        val hasher = Hashing.xxh3_64()
        return candidates.maxByOrNull { hasher.hashLongLongToLong(step.bits, hasher.hashCharsToLong(it.text)) }
    }

    private fun source(replica: ReplicaId, tokens: Int): PromptSource? =
        book[replica]?.let { PromptSource(it.entry.address, tokens) }

    private companion object {
        /** A fetch has a fixed cost of about a millisecond; fewer tokens are read as fast. */
        const val FEWEST_FETCHED = 200
    }
}
