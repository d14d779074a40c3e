package org.guavapath.core.throttling

/**
 * A number of requests per second.
 *
 * @property perSecond finite and not negative; 0 allows no requests
 * @throws IllegalArgumentException if [perSecond] is infinite, not a number or negative
 */
@JvmInline
public value class RequestRate(public val perSecond: Double) {
    init {
        require(perSecond.isFinite() && perSecond >= 0) { "rate is $perSecond requests per second" }
    }

    override fun toString(): String = perSecond.toString()
}
