package org.guavapath.core.placement

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.routing.BlockHash
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Memory bound: about 100 bytes an entry, so 2 MB on the smallest VM. */
private const val LARGEST_DIRECTORY = 20_000

private const val FIRST_CAPACITY = 1_024
private const val LOAD_FACTOR = 0.75f

/** The store has room for several times the shared parts that are in use. */
private val STORED_FOR = 20.seconds

private typealias LastUses = HashMap<ReplicaId, MonotonicTime>

/** Stands for the store of cached parts among the holders. */
private val STORE = ReplicaId("cache-store")

/**
 * How sure it is that a replica still holds a part, by the time since its last use.
 *
 * @property age longest time since the last use
 */
public enum class Certainty(internal val age: Duration) {
    /** The part is surely still in the replica's memory. */
    SURE(4.seconds),

    /** At the usual traffic a replica's memory is written over within about eight seconds. */
    LIKELY(8.seconds),
}

/**
 * Which replicas hold which beginnings of prompts, as far as this VM knows from the requests that it sent.
 *
 * Entries are hints: a replica may have dropped a part since. The least recently used entries go first.
 */
public class PromptDirectory {
    private val news = LinkedHashMap<BlockHash, ReplicaId>()

    /** When each holder of a step used it last. */
    private val holders = object : LinkedHashMap<BlockHash, LastUses>(FIRST_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<BlockHash, LastUses>): Boolean =
            size > LARGEST_DIRECTORY
    }

    /** Records that [replica] reads all steps of [path] at [now], for a request of this VM. */
    public fun record(path: PromptPath, replica: ReplicaId, now: MonotonicTime) {
        path.steps.forEach { record(it, replica, now) }
        path.sharedSteps.forEach { news[it] = replica }
    }

    /** Records that [replica] holds [step], as another VM told. */
    public fun record(step: BlockHash, replica: ReplicaId, now: MonotonicTime) {
        holders.getOrPut(step) { HashMap(2) }[replica] = now
    }

    /** Returns the shared steps that this VM had read since the last call, with their replicas. */
    public fun takeNews(): Map<BlockHash, ReplicaId> = news.toMap().also { news.clear() }

    /** Forgets everything about [replica], after it restarted or emptied its memory. */
    public fun forget(replica: ReplicaId) {
        holders.values.forEach { it.remove(replica) }
        holders.values.removeIf { it.isEmpty() }
    }

    /** Records that the shared steps of [path] are saved to the store. */
    public fun recordStored(path: PromptPath, now: MonotonicTime) {
        path.sharedSteps.forEach { step ->
            record(step, STORE, now)
            news[step] = STORE
        }
    }

    /** Returns the tokens at the beginning of [path] that [replica] holds with [certainty]. */
    public fun heldTokens(path: PromptPath, replica: ReplicaId, certainty: Certainty, now: MonotonicTime): Int =
        tokens(path, replica, now, certainty.age)

    /** Returns the tokens at the beginning of [path] that the store holds. */
    public fun storedTokens(path: PromptPath, now: MonotonicTime): Int = tokens(path, STORE, now, STORED_FOR)

    /**
     * Returns the two of [candidates] that hold most of [path] with [certainty], each with its tokens; fewer if
     * fewer hold any. Of several that hold as much, the one that used it last is first.
     */
    internal fun bestHolders(
        path: PromptPath,
        candidates: Set<ReplicaId>,
        certainty: Certainty,
        now: MonotonicTime,
    ): List<Pair<ReplicaId, Int>> = path.steps.indices.reversed().asSequence()
        .flatMap { index ->
            holders[path.steps[index]].orEmpty().entries
                .filter { it.key in candidates && now - it.value < certainty.age }
                .sortedByDescending { it.value }
                .map { it.key to path.tokensUpTo[index] }
        }
        .distinctBy { it.first }
        .take(2)
        .toList()

    private fun tokens(path: PromptPath, holder: ReplicaId, now: MonotonicTime, age: Duration): Int {
        val deepest = path.steps.indexOfLast { step ->
            holders[step]?.get(holder)?.let { now - it < age } ?: false
        }
        return if (deepest < 0) 0 else path.tokensUpTo[deepest]
    }
}
