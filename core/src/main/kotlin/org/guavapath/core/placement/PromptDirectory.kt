package org.guavapath.core.placement

import com.dynatrace.hash4j.hashing.Hashing
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.routing.BlockHash
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration.Companion.seconds

/** Memory bound: about 100 bytes an entry, so 2 MB on the smallest VM. */
private const val LARGEST_DIRECTORY = 20_000

private const val FIRST_CAPACITY = 1_024
private const val LOAD_FACTOR = 0.75f

/** At the usual traffic a replica's memory is written over within about eight seconds. */
private val HELD_FOR = 8.seconds

/**
 * Which replicas hold which beginnings of prompts, as far as this VM knows from the requests that it sent.
 *
 * Entries are hints: a replica may have dropped a part since. The least recently used entries go first.
 */
public class PromptDirectory {
    private val news = LinkedHashMap<BlockHash, ReplicaId>()

    private class Holders {
        val usedAt = HashMap<ReplicaId, MonotonicTime>(2)
    }

    private val holders = object : LinkedHashMap<BlockHash, Holders>(FIRST_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<BlockHash, Holders>): Boolean =
            size > LARGEST_DIRECTORY
    }

    /** Records that [replica] reads all steps of [path] at [now], for a request of this VM. */
    public fun record(path: PromptPath, replica: ReplicaId, now: MonotonicTime) {
        path.steps.forEach { record(it, replica, now) }
        path.sharedSteps.forEach { news[it] = replica }
    }

    /** Records that [replica] holds [step], as another VM told. */
    public fun record(step: BlockHash, replica: ReplicaId, now: MonotonicTime) {
        holders.getOrPut(step) { Holders() }.usedAt[replica] = now
    }

    /** Returns the shared steps that this VM had read since the last call, with their replicas. */
    public fun takeNews(): Map<BlockHash, ReplicaId> = news.toMap().also { news.clear() }

    /** Forgets everything about [replica], after it restarted or emptied its memory. */
    public fun forget(replica: ReplicaId) {
        holders.values.forEach { it.usedAt.remove(replica) }
        holders.values.removeIf { it.usedAt.isEmpty() }
    }

    /** Returns the tokens at the beginning of [path] that [replica] holds. */
    public fun heldTokens(path: PromptPath, replica: ReplicaId, now: MonotonicTime): Int {
        val deepest = path.steps.indexOfLast { step ->
            holders[step]?.usedAt?.get(replica)?.let { now - it < HELD_FOR } ?: false
        }
        return if (deepest < 0) 0 else path.tokensUpTo[deepest]
    }

    /**
     * Returns the replica among [candidates] that all VMs prefer for the shared part of [path] while nobody is
     * known to hold it, so that it is read once; null if there are no candidates.
     */
    public fun home(path: PromptPath, candidates: Set<ReplicaId>): ReplicaId? {
        val step = path.sharedSteps.lastOrNull() ?: return null
        val hasher = Hashing.xxh3_64()
        return candidates.maxByOrNull { hasher.hashLongLongToLong(step.bits, hasher.hashCharsToLong(it.text)) }
    }

    /** Returns the replica among [candidates] that holds most of [path], with the tokens held; null if none does. */
    public fun bestHolder(path: PromptPath, candidates: Set<ReplicaId>, now: MonotonicTime): Pair<ReplicaId, Int>? {
        for (index in path.steps.indices.reversed()) {
            val newest = holders[path.steps[index]]?.usedAt.orEmpty()
                .filter { it.key in candidates && now - it.value < HELD_FOR }
                .maxByOrNull { it.value }
            if (newest != null) return newest.key to path.tokensUpTo[index]
        }
        return null
    }
}
