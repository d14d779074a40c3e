package org.guavapath.core.weights

import org.guavapath.core.store.StoreEra

/**
 * Number that rises with each holder of a lease, also if the store returns from a copy that lacks the last holders: the
 * upper bits are the era in which the lease was taken.
 *
 * @property number the number, 0 before the first holder
 */
@JvmInline
public value class FencingToken(public val number: Long) : Comparable<FencingToken> {
    /** The era of the store in which the lease was taken; 0 for leases of builds that know of no eras. */
    public val era: StoreEra get() = StoreEra(number shr COUNT_BITS)

    /** Returns the next token, for a lease that is taken in [era]. */
    public fun next(era: StoreEra): FencingToken = FencingToken(maxOf(number, era.number shl COUNT_BITS) + 1)

    override fun compareTo(other: FencingToken): Int = number.compareTo(other.number)

    override fun toString(): String = number.toString()

    /** Holds the token that precedes all others. */
    public companion object {
        private const val COUNT_BITS = 20

        /** The token before the first holder. */
        public val NONE: FencingToken = FencingToken(0)
    }
}
