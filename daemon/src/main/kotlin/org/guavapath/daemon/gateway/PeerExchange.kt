package org.guavapath.daemon.gateway

import kotlinx.serialization.json.Json
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.identity.VmId
import org.guavapath.core.placement.PromptDirectory
import org.guavapath.core.placement.ReplicaBook
import org.guavapath.core.placement.ReplicaLoad
import org.guavapath.core.routing.BlockHash
import org.guavapath.core.store.Listing
import org.guavapath.core.store.Revision
import org.guavapath.core.store.StoredObject
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.peers.PeerMessage
import org.guavapath.daemon.peers.PeerSender
import org.guavapath.platform.wire.StoreKinds
import kotlin.time.Duration.Companion.milliseconds

/**
 * What gateways tell each other: usage of limits, work at replicas, and what they have of the store.
 *
 * A gateway that lacks a change which another has, for longer than the store's own delay, asks for it.
 */
internal class PeerExchange(
    private val self: VmId,
    private val views: List<StoreView>,
    private val peers: PeerSender,
    private val members: Members,
    private val lease: RolloutLease,
) : RolloutPeers {
    private val statuses = HashMap<VmId, PeerMessage.FleetStatus>()
    private val behindSince = HashMap<StoreView, MonotonicTime>()

    /** Takes over what [from] tells about itself. */
    fun heard(from: VmId, status: PeerMessage.FleetStatus, book: ReplicaBook) {
        val now = MonotonicTime.now()
        statuses[from] = status
        lease.heard(status.rollout)
        status.loads.forEach { (replica, load) ->
            book[ReplicaId(replica)]?.report(from, ReplicaLoad(load.promptTokens, load.requests), now)
        }
        views.forEach { catchUp(it, from, Revision(status.views[it.kind.text] ?: 0), now) }
    }

    /** Takes over which replicas read which shared parts of prompts. */
    fun promptsRead(message: PeerMessage.PromptsRead, directory: PromptDirectory) {
        val now = MonotonicTime.now()
        message.steps.forEach { (replica, steps) ->
            steps.forEach { directory.record(BlockHash(it), ReplicaId(replica), now) }
        }
    }

    /** Sends [to] this gateway's copy of a kind. */
    fun share(to: VmId, wanted: PeerMessage.ViewWanted) {
        val view = views.firstOrNull { it.kind.text == wanted.kind } ?: return
        val objects = view.objects.mapValues {
            PeerMessage.SharedObject(
                it.value.revision.number,
                it.value.value.toString()
            )
        }
        peers.send(to, PeerMessage.ViewContent(wanted.kind, view.asOf.number, objects))
    }

    /** Takes over another gateway's copy of a kind. */
    fun adopt(from: VmId, content: PeerMessage.ViewContent) {
        val view = views.firstOrNull { it.kind.text == content.kind } ?: return
        val objects = content.objects.mapValues { (name, shared) ->
            StoredObject(name, Revision(shared.revision), Json.parseToJsonElement(shared.json))
        }
        view.adopt(Listing(objects, Revision(content.asOf)), from.text)
    }

    /** The present holder is the candidate while it is fit, otherwise the first gateway that the store serves. */
    override fun isRolloutCandidate(): Boolean {
        val holder = lease.known?.vm
        val isServedHere = isServed()
        return isServedHere && when {
            holder == self -> true
            holder != null && isFit(holder) -> false
            else -> members.others.keys.filter { isFit(it) }.all { self < it }
        }
    }

    override fun tellAll(message: PeerMessage) = peers.sendToAll(message)

    /** A gateway that lacks a change which this one has may be cut off from the store without knowing it yet. */
    private fun isFit(vm: VmId): Boolean {
        val status = statuses[vm]
        return members.isAlive(vm) && status != null && status.isServedByStore &&
            views.filter { it.kind == StoreKinds.WEIGHTS }
                .all { (status.views[it.kind.text] ?: 0) >= it.newestChange.number }
    }

    /** Whether the store serves this gateway. */
    fun isServed() = views.all { it.isServed } && !lease.isFailing

    private fun catchUp(view: StoreView, from: VmId, theirs: Revision, now: MonotonicTime) {
        if (theirs <= view.asOf) {
            behindSince.remove(view)
            return
        }
        val since = behindSince.getOrPut(view) { now }
        if (view.isServed && now - since < USUAL_DELAY) return
        behindSince[view] = now
        peers.send(from, PeerMessage.ViewWanted(view.kind.text))
    }

    private companion object {
        /** Watches bring a change within this time while the store serves this gateway. */
        val USUAL_DELAY = 600.milliseconds
    }
}
