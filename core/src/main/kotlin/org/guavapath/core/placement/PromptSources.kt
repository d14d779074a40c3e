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
 * Finds sources of the cached parts of one prompt, looked up once for all replicas that are compared.
 *
 * A replica that used the parts a moment ago is best; then the store, which keeps them for longer; then a
 * replica that used them earlier. If nobody is known to hold them, the replica that reads them first is asked:
 * a miss there costs a millisecond.
 *
 * @param path the prompt's path
 * @param holders replicas that may be asked
 * @param store the store of cached parts, null if there is none
 */
internal class PromptSources(
    private val book: ReplicaBook,
    private val directory: PromptDirectory,
    private val path: PromptPath,
    holders: Set<ReplicaId>,
    private val store: CacheStore?,
    private val now: MonotonicTime,
) {
    private val stored = if (store == null) 0 else directory.storedTokens(path, now)
    private val sure = directory.bestHolders(path, holders, Certainty.SURE, now)
    private val likely = directory.bestHolders(path, holders, Certainty.LIKELY, now)
    private val homes = rankedHomes(holders)

    /**
     * The replica that all VMs prefer for the shared part while nobody is known to hold it, so that it is read
     * once; null if there is no replica or no shared part.
     */
    val home: ReplicaId? get() = homes.firstOrNull()

    /** Returns the best source for the replica [own], null if none adds to what it holds. */
    fun best(own: ReplicaId): PromptSource? {
        val needed = directory.heldTokens(path, own, Certainty.SURE, now) + FEWEST_FETCHED
        val sureHolder = sure.firstOrNull { it.first != own }
        val likelyHolder = likely.firstOrNull { it.first != own }
        return when {
            sureHolder != null && sureHolder.second >= maxOf(needed, stored) -> source(sureHolder)
            store != null && stored >= needed -> PromptSource(store.address, stored)
            likelyHolder != null && likelyHolder.second >= needed -> source(likelyHolder)
            path.sharedTokens >= needed -> homes.firstOrNull { it != own }?.let { source(it to 0) }
            else -> null
        }
    }

    private fun rankedHomes(candidates: Set<ReplicaId>): List<ReplicaId> {
        val step = path.sharedSteps.lastOrNull() ?: return emptyList()
        val hasher = Hashing.xxh3_64()
        val ranks = candidates.associateWith { hasher.hashLongLongToLong(step.bits, hasher.hashCharsToLong(it.text)) }
        val first = ranks.maxByOrNull { it.value }?.key
        val second = ranks.filterKeys { it != first }.maxByOrNull { it.value }?.key
        return listOfNotNull(first, second)
    }

    private fun source(holder: Pair<ReplicaId, Int>): PromptSource? =
        book[holder.first]?.let { PromptSource(it.entry.address, holder.second) }

    private companion object {
        /** A fetch has a fixed cost of about a millisecond; fewer tokens are read as fast. */
        const val FEWEST_FETCHED = 200
    }
}
