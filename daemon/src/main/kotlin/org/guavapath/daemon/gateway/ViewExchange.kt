package org.guavapath.daemon.gateway

import kotlinx.serialization.json.Json
import org.guavapath.core.identity.VmId
import org.guavapath.core.store.Listing
import org.guavapath.core.store.ObjectKind
import org.guavapath.core.store.Revision
import org.guavapath.core.store.StoredObject
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.peers.PeerMessage
import org.guavapath.daemon.peers.PeerSender
import kotlin.time.Duration.Companion.milliseconds

/**
 * Copies of the store's objects that gateways hand to each other.
 *
 * A gateway that lacks a change which another has, for longer than the store's own delay, asks for it.
 */
internal class ViewExchange(private val views: List<StoreView>, private val peers: PeerSender) {
    private val behindSince = HashMap<StoreView, MonotonicTime>()

    /** Whether the store serves all views. */
    val areServed: Boolean get() = views.all { it.isServed }

    /** Revision at which the copy of each kind last changed. */
    val changes: Map<String, Long> get() = views.associate { it.kind.text to it.newestChange.number }

    /** Whether a gateway with [theirs] has all changes of [kind] that this one has. */
    fun isUpToDate(kind: ObjectKind, theirs: Map<String, Long>): Boolean =
        views.filter { it.kind == kind }.all { (theirs[it.kind.text] ?: 0) >= it.newestChange.number }

    /** Compares with the changes that [from] has, and asks for its copy of what is missing here for too long. */
    fun heard(from: VmId, theirs: Map<String, Long>) {
        val now = MonotonicTime.now()
        views.forEach { catchUp(it, from, Revision(theirs[it.kind.text] ?: 0), now) }
    }

    /** Sends [to] this gateway's copy of a kind. */
    fun share(to: VmId, wanted: PeerMessage.ViewWanted) {
        val view = views.firstOrNull { it.kind.text == wanted.kind } ?: return
        val objects = view.objects.mapValues {
            PeerMessage.SharedObject(it.value.revision.number, it.value.value.toString())
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
