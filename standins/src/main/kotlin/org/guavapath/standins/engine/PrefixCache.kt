package org.guavapath.standins.engine

import org.guavapath.core.routing.BlockHash
import org.guavapath.core.routing.CacheEvent
import org.guavapath.core.routing.PrefixChain

private const val INITIAL_CAPACITY = 16
private const val LOAD_FACTOR = 0.75f
private const val MAX_RETAINED_EVENTS = 100_000

/** Prefix cache of an engine: holds whole blocks and evicts the least recently used. */
internal class PrefixCache(private val capacityBlocks: Int) {
    private val blocks = LinkedHashMap<BlockHash, Unit>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private val events = ArrayDeque<CacheEvent>()
    private var lastSequence = 0L

    /** Sequence number of the latest event. */
    val sequence: Long @Synchronized get() = lastSequence

    /** Returns how many leading blocks of [chain] are cached, and marks them as recently used. */
    @Synchronized
    fun match(chain: PrefixChain): Int = chain.toList().takeWhile { blocks[it] != null }.size

    /** Stores all blocks of [chain] and evicts as many as exceed the capacity. */
    @Synchronized
    fun store(chain: PrefixChain) {
        chain.toList().forEach { block ->
            if (blocks.put(block, Unit) == null) record { CacheEvent.Stored(it, block.bits) }
        }
        while (blocks.size > capacityBlocks) {
            val leastRecent = blocks.keys.first()
            blocks.remove(leastRecent)
            record { CacheEvent.Evicted(it, leastRecent.bits) }
        }
    }

    /** Returns the retained events with sequence numbers above [sequence]. */
    @Synchronized
    fun eventsAfter(sequence: Long): List<CacheEvent> = events.filter { it.sequence > sequence }

    private fun record(event: (Long) -> CacheEvent) {
        lastSequence += 1
        events.addLast(event(lastSequence))
        if (events.size > MAX_RETAINED_EVENTS) events.removeFirst()
    }
}
