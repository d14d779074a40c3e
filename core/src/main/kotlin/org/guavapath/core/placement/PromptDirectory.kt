package org.guavapath.core.placement

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.routing.BlockHash
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Bounds memory to about 2 MB, at about 100 bytes per entry, to fit the smallest VM. */
private const val MAX_ENTRIES = 20_000

private const val INITIAL_CAPACITY = 1_024
private const val LOAD_FACTOR = 0.75f

/** How long a saved part is assumed to be stored; the store has room for several times the shared parts in use. */
private val STORE_RETENTION = 20.seconds

private typealias LastUses = HashMap<ReplicaId, MonotonicTime>

/** Represents the store of cached parts among the holders. */
private val STORE = ReplicaId("cache-store")

/**
 * Certainty that a replica still holds a prompt part, derived from the time since its last use there.
 *
 * @property age time since the last use below which this certainty applies
 */
public enum class Certainty(internal val age: Duration) {
    /** The part is practically certain to be still in the replica's memory. */
    SURE(4.seconds),

    /** Under usual traffic a replica's cache is overwritten within about eight seconds. */
    LIKELY(8.seconds),
}

/**
 * Directory of which replicas hold which prompt prefixes, from requests sent by this VM and updates from other VMs.
 *
 * Entries are hints: a replica may have evicted a part since. The least recently used entries are evicted first.
 */
public class PromptDirectory {
    /** Shared prefixes recorded since the last call of [takeUnpublished]. */
    private val unpublished = LinkedHashMap<BlockHash, ReplicaId>()

    /** Last use of each prefix by holder, in access order. */
    private val holders = object : LinkedHashMap<BlockHash, LastUses>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<BlockHash, LastUses>): Boolean =
            size > MAX_ENTRIES
    }

    /** Records that [replica] prefills [path] at [now] for a request of this VM. */
    public fun record(path: PromptPath, replica: ReplicaId, now: MonotonicTime) {
        path.prefixes.forEach { record(it, replica, now) }
        path.sharedPrefixes.forEach { unpublished[it] = replica }
    }

    /** Records that [replica] holds [prefix], as reported by another VM. */
    public fun record(prefix: BlockHash, replica: ReplicaId, now: MonotonicTime) {
        holders.getOrPut(prefix) { HashMap(2) }[replica] = now
    }

    /** Returns the shared prefixes recorded by this VM since the last call, each with its holder, and clears them. */
    public fun takeUnpublished(): Map<BlockHash, ReplicaId> = unpublished.toMap().also { unpublished.clear() }

    /** Removes all entries of [replica], after it restarted or cleared its cache. */
    public fun forget(replica: ReplicaId) {
        holders.values.forEach { it.remove(replica) }
        holders.values.removeIf { it.isEmpty() }
    }

    /** Records that the shared prefixes of [path] are saved to the store. */
    public fun recordStored(path: PromptPath, now: MonotonicTime) {
        path.sharedPrefixes.forEach { prefix ->
            record(prefix, STORE, now)
            unpublished[prefix] = STORE
        }
    }

    /** Returns how many leading tokens of [path] the [replica] holds with [certainty]. */
    public fun heldTokens(path: PromptPath, replica: ReplicaId, certainty: Certainty, now: MonotonicTime): Int =
        tokens(path, replica, now, certainty.age)

    /** Returns how many leading tokens of [path] the store holds. */
    public fun storedTokens(path: PromptPath, now: MonotonicTime): Int = tokens(path, STORE, now, STORE_RETENTION)

    /**
     * Returns up to two of [candidates] that hold most of [path] with [certainty], each with its held tokens.
     *
     * Ties are ordered by last use, most recent first.
     */
    internal fun bestHolders(
        path: PromptPath,
        candidates: Set<ReplicaId>,
        certainty: Certainty,
        now: MonotonicTime,
    ): List<Pair<ReplicaId, Int>> = path.prefixes.indices.reversed().asSequence()
        .flatMap { index ->
            holders[path.prefixes[index]].orEmpty().entries
                .filter { it.key in candidates && now - it.value < certainty.age }
                .sortedByDescending { it.value }
                .map { it.key to path.tokensUpTo[index] }
        }
        .distinctBy { it.first }
        .take(2)
        .toList()

    private fun tokens(path: PromptPath, holder: ReplicaId, now: MonotonicTime, age: Duration): Int {
        val deepest = path.prefixes.indexOfLast { prefix ->
            holders[prefix]?.get(holder)?.let { now - it < age } ?: false
        }
        return if (deepest < 0) 0 else path.tokensUpTo[deepest]
    }
}
