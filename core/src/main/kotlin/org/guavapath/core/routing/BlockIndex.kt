package org.guavapath.core.routing

private const val MIN_CAPACITY = 1_024
private const val LOAD_FACTOR_NUMERATOR = 5
private const val LOAD_FACTOR_DENOMINATOR = 8

/** Key 0 marks free slots, so hash 0 is stored as hash 1, which adds one collision in 2^64. */
private const val EMPTY_KEY_SUBSTITUTE = 1L

/**
 * Number of a replica within one [BlockIndex].
 *
 * @property number from 0 to [BlockIndex.MAX_REPLICAS] - 1
 */
@JvmInline
public value class ReplicaNumber(public val number: Int) {
    internal val lowBit: Long get() = if (number < Long.SIZE_BITS) 1L shl number else 0
    internal val highBit: Long get() = if (number < Long.SIZE_BITS) 0 else 1L shl (number - Long.SIZE_BITS)
}

/**
 * Index of which replicas hold which blocks, as last reported.
 *
 * Takes 24 bytes per slot of its table, which is at most five eighths full. Not thread-safe.
 */
public class BlockIndex {
    private var table = BlockTable(MIN_CAPACITY)

    /** Number of blocks that at least one replica holds. */
    public var size: Int = 0
        private set

    /** Records that [replica] holds [block]. */
    public fun add(block: BlockHash, replica: ReplicaNumber) {
        if ((size + 1) * LOAD_FACTOR_DENOMINATOR > table.capacity * LOAD_FACTOR_NUMERATOR) rebuild(table.capacity * 2)
        val key = keyOf(block)
        val slot = table.slotOf(key)
        if (table.keys[slot] == 0L) {
            table.keys[slot] = key
            size += 1
        }
        table.lowReplicas[slot] = table.lowReplicas[slot] or replica.lowBit
        table.highReplicas[slot] = table.highReplicas[slot] or replica.highBit
    }

    /** Records that [replica] no longer holds [block]. */
    public fun remove(block: BlockHash, replica: ReplicaNumber) {
        val slot = table.slotOf(keyOf(block))
        if (table.keys[slot] == 0L) return
        removeFromSlot(slot, replica)
        if (table.isUnused(slot)) {
            table.free(slot)
            size -= 1
        }
    }

    /** Removes all blocks of [replica], as after a crash. Takes time linear in the size of the table. */
    public fun clear(replica: ReplicaNumber) {
        for (slot in 0 until table.capacity) removeFromSlot(slot, replica)
        rebuild(table.capacity)
    }

    /**
     * Sets each element of [depths] to the number of leading blocks of [chain] that the replica of that number holds.
     *
     * Replicas beyond the end of [depths] are ignored.
     */
    public fun depths(chain: PrefixChain, depths: IntArray) {
        depths.fill(0)
        var low = -1L
        var high = -1L
        for (position in 0 until chain.size) {
            val slot = table.slotOf(keyOf(chain[position]))
            low = low and table.lowReplicas[slot]
            high = high and table.highReplicas[slot]
            if (low == 0L && high == 0L) return
            setDepths(low, 0, position + 1, depths)
            setDepths(high, Long.SIZE_BITS, position + 1, depths)
        }
    }

    private fun setDepths(replicas: Long, offset: Int, depth: Int, depths: IntArray) {
        var remaining = replicas
        while (remaining != 0L) {
            val number = offset + remaining.countTrailingZeroBits()
            if (number < depths.size) depths[number] = depth
            remaining = remaining and (remaining - 1)
        }
    }

    private fun removeFromSlot(slot: Int, replica: ReplicaNumber) {
        table.lowReplicas[slot] = table.lowReplicas[slot] and replica.lowBit.inv()
        table.highReplicas[slot] = table.highReplicas[slot] and replica.highBit.inv()
    }

    /** Copies the entries held by at least one replica into a new table of [capacity] slots. */
    private fun rebuild(capacity: Int) {
        val next = BlockTable(capacity)
        size = 0
        for (slot in 0 until table.capacity) {
            if (table.isUnused(slot)) continue
            next.copy(table, slot, next.slotOf(table.keys[slot]))
            size += 1
        }
        table = next
    }

    private fun keyOf(block: BlockHash): Long = if (block.bits == 0L) EMPTY_KEY_SUBSTITUTE else block.bits

    /** Defines the limits of all indexes. */
    public companion object {
        /** Maximum number of replicas in one index. */
        public const val MAX_REPLICAS: Int = 2 * Long.SIZE_BITS
    }
}
