package org.guavapath.core.placement

import com.dynatrace.hash4j.hashing.Hashing
import org.guavapath.core.fleet.CacheStore
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.time.MonotonicTime

/**
 * A source from which a replica may fetch cached parts of a prompt.
 *
 * @property address host and port of a replica or of the store
 * @property tokens leading tokens of the prompt that the source holds, 0 if unknown
 */
public data class PromptSource(public val address: String, public val tokens: Int)

/**
 * Finds sources for the cached parts of one prompt; the lookup is shared by all candidate replicas.
 *
 * A replica that used the parts very recently comes first, then the store, which retains them longer, then a
 * replica that used them earlier. If no holder is known, the source is the preferred replica, which prefills them
 * first: a miss there costs only a millisecond.
 *
 * @param path the prompt's path
 * @param replicas all listed replicas
 * @param holders replicas that may serve as source
 * @param store the store of cached parts, null if there is none
 */
internal class PromptSources(
    private val replicas: ReplicaRegistry,
    private val directory: PromptDirectory,
    private val path: PromptPath,
    holders: Set<ReplicaId>,
    private val store: CacheStore?,
    private val now: MonotonicTime,
) {
    private val storedTokens = if (store == null) 0 else directory.storedTokens(path, now)
    private val sureHolders = directory.bestHolders(path, holders, Certainty.SURE, now)
    private val likelyHolders = directory.bestHolders(path, holders, Certainty.LIKELY, now)
    private val preferredReplicas = rankReplicas(holders)

    /**
     * The replica that all VMs prefer for the shared parts while no holder is known, so that they are prefilled
     * only once; null if there is no replica or no shared part.
     */
    val preferred: ReplicaId? get() = preferredReplicas.firstOrNull()

    /** Returns the best source for [replica], null if none holds enough beyond its own cache. */
    fun best(replica: ReplicaId): PromptSource? {
        val needed = directory.heldTokens(path, replica, Certainty.SURE, now) + MIN_FETCHED_TOKENS
        val sureHolder = sureHolders.firstOrNull { it.first != replica }
        val likelyHolder = likelyHolders.firstOrNull { it.first != replica }
        return when {
            sureHolder != null && sureHolder.second >= maxOf(needed, storedTokens) -> source(sureHolder)
            store != null && storedTokens >= needed -> PromptSource(store.address, storedTokens)
            likelyHolder != null && likelyHolder.second >= needed -> source(likelyHolder)
            path.sharedTokens >= needed -> preferredReplicas.firstOrNull { it != replica }?.let { source(it to 0) }
            else -> null
        }
    }

    private fun rankReplicas(candidates: Set<ReplicaId>): List<ReplicaId> {
        val prefix = path.sharedPrefixes.lastOrNull() ?: return emptyList()
        val hasher = Hashing.xxh3_64()
        val ranks = candidates.associateWith { hasher.hashLongLongToLong(prefix.bits, hasher.hashCharsToLong(it.text)) }
        val first = ranks.maxByOrNull { it.value }?.key
        val second = ranks.filterKeys { it != first }.maxByOrNull { it.value }?.key
        return listOfNotNull(first, second)
    }

    private fun source(holder: Pair<ReplicaId, Int>): PromptSource? =
        replicas[holder.first]?.let { PromptSource(it.entry.address, holder.second) }

    private companion object {
        /** A fetch has a fixed cost of about a millisecond; fewer tokens can be prefilled in that time. */
        const val MIN_FETCHED_TOKENS = 200
    }
}
