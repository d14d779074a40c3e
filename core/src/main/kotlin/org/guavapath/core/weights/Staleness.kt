package org.guavapath.core.weights

import kotlin.time.Duration

/** How outdated weights are: what is known of when the first target that replaced them was named. */
public sealed class Staleness {
    /** No newer target is known. */
    public data object Current : Staleness()

    /**
     * A newer target is known, and when it was named.
     *
     * @property age time since then, never less than the true time
     */
    public data class Replaced(public val age: Duration) : Staleness()

    /**
     * A newer target is known, but it may have been named long before any VM that has told of it learned of it.
     *
     * @property atLeast time for which it is known
     */
    public data class Unknown(public val atLeast: Duration) : Staleness()
}
