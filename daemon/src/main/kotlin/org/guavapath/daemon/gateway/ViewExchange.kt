package org.guavapath.daemon.gateway

import org.guavapath.core.identity.VmId
import org.guavapath.core.store.ObjectKind
import org.guavapath.core.store.Revision
import org.guavapath.core.store.StoreEra
import org.guavapath.core.store.WatchResult
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.peers.PeerMessage
import org.guavapath.daemon.peers.PeerSender
import kotlin.time.Duration.Companion.milliseconds

/**
 * Exchanges copies of the store's objects between gateways.
 *
 * Hubs send the changes that they read to all members of their domain. A gateway that lacks a change which another has,
 * for longer than a watch usually takes, requests that copy.
 *
 * Revisions are compared across eras of the store. Gateways of the build before tell no era; theirs is taken to be that
 * of the copy here, unless the store has been seen to return from an older copy and this gateway reads it.
 */
internal class ViewExchange(
    private val views: List<StoreView>,
    private val peers: PeerSender,
    private val topology: PeerTopology,
    private val store: EraTrackingStore,
) {
    /** A change at [revision] that another gateway's copy has; it is missing here since [since]. */
    private class MissingChange(val revision: Revision, val since: MonotonicTime)

    private val missingChanges = HashMap<StoreView, MissingChange>()

    init {
        views.forEach { view ->
            view.onWatched = { after, changes -> push(view, after, changes) }
            view.onRestored = { topology.members.forEach { peers.send(it, SharedViewCodec.encode(view)) } }
        }
    }

    /** Whether there is a copy for each view and the store responds. */
    val areAvailable: Boolean get() = views.all { it.isAvailable }

    /** The era of the copies that [newestChanges] speaks of. */
    val era: StoreEra get() = views.maxOf { it.asOf }.era

    /** Revision at which the copy of each kind last changed, without copies of former eras. */
    val newestChanges: Map<String, Long>
        get() = views.filter { it.asOf.era == era }.associate { it.kind.text to it.newestChange.number }

    /**
     * Whether a gateway with [peerRevisions] has all changes of [kind] that this one has.
     *
     * @param peerEra the era of these revisions, null if it is not known
     */
    fun isUpToDate(kind: ObjectKind, peerRevisions: Map<String, Long>, peerEra: StoreEra?): Boolean =
        views.filter { it.kind == kind }
            .all { Revision(peerRevisions[it.kind.text] ?: 0, peerEra ?: it.asOf.era) >= it.newestChange }

    /** Switches between reading the store and following a hub; a follower requests its first copies from a peer. */
    fun refresh() {
        views.forEach { it.isReading.value = topology.isStoreReader }
        if (topology.isStoreReader) return
        val first = topology.linkedPeers.firstOrNull() ?: return
        views.filter { it.asOf == Revision.NONE }.forEach { peers.send(first, PeerMessage.ViewWanted(it.kind.text)) }
    }

    /**
     * Compares the copies here with those of [from], and requests each one that has been behind for too long.
     *
     * @param peerEra the era of [peerRevisions], null if it is not known
     * @param isAvailable whether the store responds to [from]
     */
    fun statusReceived(from: VmId, peerRevisions: Map<String, Long>, peerEra: StoreEra?, isAvailable: Boolean) {
        val now = MonotonicTime.now()
        peerEra?.let { store.told(it, from) }
        views.filter { !it.isReading.value }.forEach {
            if (isAvailable) it.health.succeeded() else it.health.failed("store does not respond to hub ${from.text}")
        }
        views.filter { isComparable(it, peerEra) }
            .forEach { catchUp(it, from, Revision(peerRevisions[it.kind.text] ?: 0, peerEra ?: it.asOf.era), now) }
    }

    /** Sends [to] the copy that it requested, if there is one here. */
    fun share(to: VmId, wanted: PeerMessage.ViewWanted) {
        val view = views.firstOrNull { it.kind.text == wanted.kind && it.asOf > Revision.NONE } ?: return
        peers.send(to, SharedViewCodec.encode(view))
    }

    /** Applies another gateway's copy of a kind, read in [peerEra], if it is newer. */
    fun adopt(from: VmId, content: PeerMessage.ViewContent, peerEra: StoreEra?) {
        peerEra?.let { store.told(it, from) }
        val view = comparableView(content.kind, peerEra) ?: return
        view.adopt(SharedViewCodec.decode(content, peerEra ?: view.asOf.era), from.text)
    }

    /** Applies changes that [from] received from the store; requests a whole copy if earlier changes are missing. */
    fun adopt(from: VmId, message: PeerMessage.ViewChanged, peerEra: StoreEra?) {
        peerEra?.let { store.told(it, from) }
        val view = comparableView(message.kind, peerEra) ?: return
        val era = peerEra ?: view.asOf.era
        if (Revision(message.asOf, era) <= view.asOf) return
        val isNext = view.adopt(SharedViewCodec.decode(message, era), Revision(message.after, era))
        if (!isNext) peers.send(from, PeerMessage.ViewWanted(message.kind))
    }

    private fun comparableView(kind: String, peerEra: StoreEra?) =
        views.firstOrNull { it.kind.text == kind }?.takeIf { isComparable(it, peerEra) }

    /** Whether revisions of [peerEra] can be told from those of [view]. */
    private fun isComparable(view: StoreView, peerEra: StoreEra?) =
        peerEra != null || store.restoredAt == null || !view.isReading.value

    private fun push(view: StoreView, after: Revision, result: WatchResult.Changes) {
        val followers = topology.followers
        if (followers.isEmpty() || result.changes.isEmpty()) return
        val message = SharedViewCodec.encode(view.kind, after, result)
        followers.forEach { peers.send(it, message) }
    }

    private fun catchUp(view: StoreView, from: VmId, peerRevision: Revision, now: MonotonicTime) {
        if (peerRevision <= view.asOf) return
        // Only the copy's own progress ends the wait: a gateway that lacks the change as well says nothing about it.
        val missing = missingChanges[view]?.takeIf { it.revision > view.asOf } ?: MissingChange(peerRevision, now)
        val isDue = !view.isAvailable || now - missing.since >= EXPECTED_WATCH_DELAY
        missingChanges[view] = if (isDue) MissingChange(peerRevision, now) else missing
        if (isDue) peers.send(from, PeerMessage.ViewWanted(view.kind.text))
    }

    private companion object {
        /** Time within which a watch delivers a change while the store responds. */
        val EXPECTED_WATCH_DELAY = 600.milliseconds
    }
}
