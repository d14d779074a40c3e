package org.guavapath.daemon.gateway

import org.guavapath.core.fleet.Replica
import org.guavapath.core.placement.ReplicaRegistry

/**
 * What the list of replicas shows about the end of [replica], from now on.
 *
 * A replica that drains, or has said that it leaves, ends in order; that the list changes says nothing then.
 */
internal class ListedEnd(private val replica: Replica, private val listed: ReplicaRegistry) {
    private val wasListed = isListed
    private val formerNeighbours = neighbours.map { it.id }.toSet()

    /** Whether the replica leaves in order, as far as was looked at. */
    var isLeaving = replica.isDraining
        private set

    /**
     * Returns whether the list shows that the replica has ended without leaving.
     *
     * @param isReached whether connections to its address are accepted; an entry also expires if the replica is cut off
     */
    fun showsEnd(isReached: Boolean): Boolean {
        val record = listed[replica.id]?.takeIf { it.entry.incarnation == replica.incarnation }
        isLeaving = isLeaving || record?.isWithdrawn == true || replica.incarnation in listed.leaving
        if (isLeaving) return false
        return isReplaced || isSucceeded || isReached && wasListed && !isListed
    }

    private val isReplaced get() = listed[replica.id]?.let { it.entry.startedAt > replica.startedAt } ?: false

    /** Whether another replica has come to its address; the entry of one that was there before may be listed still. */
    private val isSucceeded
        get() = neighbours.any { it.startedAt > replica.startedAt || it.id !in formerNeighbours }

    /** Whether the replica is listed as it was. */
    val isListed: Boolean
        get() = listed.at(replica.address).any { it.entry.incarnation == replica.incarnation }

    private val neighbours
        get() = listed.at(replica.address).map { it.entry }.filter { it.id != replica.id }
}
