package org.guavapath.daemon.gateway

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.placement.ReplicaRegistry

/** The texts that replicas state, so that each is logged once as long as the replica repeats it. */
internal class RepeatedTexts(private val listed: ReplicaRegistry) {
    private val last = HashMap<ReplicaId, String>()

    /** Returns whether the last text of [replica] was another one than [text]. */
    fun isNew(replica: ReplicaId, text: String): Boolean {
        last.keys.removeIf { listed[it] == null }
        return last.put(replica, text) != text
    }
}
