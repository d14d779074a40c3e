package org.guavapath.core.results

/**
 * Thrown if an internal invariant is violated.
 *
 * @property name the stable name of the invariant, as listed in docs/PROMISES.md
 */
public class InvariantViolation(public val name: String, detail: String) :
    IllegalStateException("invariant $name does not hold: $detail")

/** Checks internal invariants. */
public object Invariant {
    /**
     * Checks the invariant [name], given whether it [holds].
     *
     * @throws InvariantViolation if [holds] is false, with [detail] in the message
     */
    public inline fun check(name: String, holds: Boolean, detail: () -> String) {
        if (!holds) throw InvariantViolation(name, detail())
    }
}
