package org.guavapath.core.connections

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How soon a connection on which nothing arrives any more is given up.
 *
 * Open connections may go silent for good without a reset, while new ones work.
 *
 * @property probeInterval time after which something is sent to which the other end answers, and between two of these
 * @property probes number of unanswered probes after which the connection is given up
 */
public enum class SilencePolicy(public val probeInterval: Duration, public val probes: Int) {
    /** Between gateways, probed by heartbeats. Shorter limits would cut the links of a VM that is only slow. */
    LINK(500.milliseconds, probes = 4),

    /** To the store and to replicas, probed by the kernel, which counts whole seconds. */
    TRANSPORT(1.seconds, probes = 2),
    ;

    /** Time after which a connection is given up on which nothing has arrived. */
    public val limit: Duration get() = probeInterval * probes
}
