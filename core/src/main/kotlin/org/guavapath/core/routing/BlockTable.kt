package org.guavapath.core.routing

private const val HASH_MULTIPLIER = -0x61c8864680b583ebL

/**
 * Open-addressing hash table from block keys to sets of replicas, in primitive arrays.
 *
 * Keys are never 0, which marks a free slot. Collisions are resolved by linear probing, and removal shifts
 * later entries back, so there are no tombstones.
 */
internal class BlockTable(val capacity: Int) {
    val keys = LongArray(capacity)
    val lowReplicas = LongArray(capacity)
    val highReplicas = LongArray(capacity)

    /** Returns the slot that holds [key], or the free slot to insert it into. */
    fun slotOf(key: Long): Int {
        var slot = homeSlot(key)
        while (keys[slot] != 0L && keys[slot] != key) slot = nextSlot(slot)
        return slot
    }

    fun isUnused(slot: Int): Boolean = lowReplicas[slot] == 0L && highReplicas[slot] == 0L

    /** Copies the entry at slot [from] of [other] to slot [to]. */
    fun copy(other: BlockTable, from: Int, to: Int) {
        keys[to] = other.keys[from]
        lowReplicas[to] = other.lowReplicas[from]
        highReplicas[to] = other.highReplicas[from]
    }

    /** Frees [slot] and shifts later entries of its probe sequence back. */
    fun free(slot: Int) {
        var hole = slot
        var next = nextSlot(hole)
        while (keys[next] != 0L) {
            if (distance(homeSlot(keys[next]), next) >= distance(hole, next)) {
                copy(this, next, hole)
                hole = next
            }
            next = nextSlot(next)
        }
        keys[hole] = 0
        lowReplicas[hole] = 0
        highReplicas[hole] = 0
    }

    private fun homeSlot(key: Long): Int = ((key * HASH_MULTIPLIER) ushr Int.SIZE_BITS).toInt() and (capacity - 1)

    private fun nextSlot(slot: Int): Int = (slot + 1) and (capacity - 1)

    private fun distance(from: Int, to: Int): Int = (to - from) and (capacity - 1)
}
