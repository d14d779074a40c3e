package org.guavapath.daemon.gateway

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.filter
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.flow.merge
import org.guavapath.core.store.Listing
import org.guavapath.core.store.ObjectKind
import org.guavapath.core.store.ObjectStore
import org.guavapath.core.store.Revision
import org.guavapath.core.store.StoreError
import org.guavapath.core.store.StoredObject
import org.guavapath.core.store.WatchResult
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * This VM's copy of the store's objects of one kind.
 *
 * It is listed once and watched from then on. It is listed again when the store has dropped the history, has failed or
 * has returned from an older copy, as revisions of former eras tell nothing about the history of this one. While calls
 * to the store fail, all views of a process together wait for the next one.
 * A watch waits so briefly that one whose answer is lost leaves the copy behind for a few seconds at most.
 * A gateway that follows a hub makes no calls, as the hubs of its domain send the changes. Other gateways may send a
 * newer copy at any time. The copy never goes back to an older revision.
 *
 * @param delayBetweenWatches delay after a watch with changes; the next one returns all changes made meanwhile
 * @param onChange called on the event loop after each change of the copy
 */
internal class StoreView(
    val kind: ObjectKind,
    private val store: EraTrackingStore,
    private val log: GatewayLog,
    private val delayBetweenWatches: Duration = DEFAULT_DELAY,
    private val onChange: (StoreView) -> Unit,
) {
    private var held = emptyMap<String, StoredObject>()

    /** Whether [onChange] has not taken the last change, or there was none yet. */
    private var isDeliveryOwed = true

    /** Whether the store responds to this gateway or to the hub that it follows. */
    val health = StoreHealth(kind, log)

    /** Whether this gateway reads the store itself. */
    val isReading = MutableStateFlow(true)

    /** Called after each watch with its changes, and with a revision since which these are the only ones. */
    var onWatched: (Revision, WatchResult.Changes) -> Unit = { _, _ -> }

    /** The objects by name. */
    val objects: Map<String, StoredObject> get() = held

    /** The revision as of which the copy is complete. */
    var asOf = Revision.NONE
        private set

    /** The revision of the newest change in the copy. */
    var newestChange = Revision.NONE
        private set

    /** A revision from which to [asOf] nothing of the kind has changed; watches without changes leave it as it is. */
    private var unchangedSince = Revision.NONE

    /**
     * Whether the last change of the copy was a change of the store that had just been made. Otherwise the copy was
     * replaced, and what is new in it may have been written long before.
     */
    var isChangeWitnessed = false
        private set

    /** The objects that the last change concerned, oldest first; all of them if the copy was replaced. */
    var changed = emptyList<StoredObject>()
        private set

    /** Called when the copy was replaced by one of a later era. */
    var onRestored: () -> Unit = {}

    /** Whether there is a copy and the store responds. */
    val isAvailable: Boolean get() = asOf > Revision.NONE && health.isStoreAvailable

    /** Keeps the copy up to date until it is cancelled. */
    suspend fun follow() {
        while (true) {
            isReading.first { it }
            val isProbe = store.backOff.awaitTurn { if (isReading.value) health.failed(it.toString()) }
            when {
                !isReading.value -> Unit
                isProbe || isDeliveryOwed || asOf.era < store.era.value || health.isFailing -> list()
                else -> watch()
            }
        }
    }

    /**
     * Applies [changes] that a hub received after the revision [after]; returns false if earlier ones are missing.
     * Those that the copy has already are left out.
     */
    fun adopt(changes: WatchResult.Changes, after: Revision): Boolean {
        val isNext = after <= asOf
        if (isNext && changes.asOf > asOf) apply(changes.copy(changes = changes.changes.filter { it.revision > asOf }))
        return isNext
    }

    /** Replaces the copy by that of another gateway if it is newer. */
    fun adopt(listing: Listing, from: String) {
        if (listing.asOf <= asOf) return
        log.stateChange("view adopted", "kind" to kind.text, "from" to from, "revision" to listing.asOf.number)
        replace(listing)
    }

    private suspend fun list() = store.list(kind).fold(
        success = {
            health.succeeded()
            val isOutdated = it.asOf < asOf || it.asOf.era < store.era.value
            if (it.asOf >= asOf) replace(it)
            if (isOutdated) delay(OUTDATED_DELAY)
        },
        failure = { health.failed(it.toString()) },
    )

    /**
     * Watches until there are changes, the time is over, or other calls show that the store has a later era, or that it
     * may never answer this one.
     */
    private suspend fun watch() {
        val era = asOf.era
        val unanswered = store.unansweredCalls.value
        val silence: Flow<Result<WatchResult, StoreError>> = store.unansweredCalls.filter { it > unanswered }
            .map { Err(StoreError.Unknown("another call has got no answer")) }
        val laterEra: Flow<Result<WatchResult, StoreError>> =
            store.era.filter { it > era }.map { Ok(WatchResult.HistoryGone) }
        merge(flow { emit(store.watch(kind, asOf, ObjectStore.MAX_WATCH)) }, laterEra, silence).first().fold(
            success = {
                health.succeeded()
                watched(it)
            },
            failure = { health.failed(it.toString()) },
        )
    }

    private suspend fun watched(result: WatchResult) {
        when (result) {
            is WatchResult.HistoryGone -> {
                log.stateChange(
                    "history gone",
                    "kind" to kind.text,
                    "revision" to asOf.number,
                    "era" to asOf.era.number,
                )
                list()
            }
            is WatchResult.Changes -> if (result.asOf > asOf && result.asOf.era == asOf.era) {
                val before = unchangedSince
                apply(result)
                onWatched(before, result)
                delay(if (result.changes.isEmpty()) DEFAULT_DELAY else delayBetweenWatches)
            }
        }
    }

    private fun replace(listing: Listing) {
        val isRestored = listing.asOf.era != asOf.era && asOf != Revision.NONE
        if (isRestored) {
            log.stateChange(
                "view replaced",
                "kind" to kind.text,
                "revision" to listing.asOf.number,
                "era" to listing.asOf.era.number,
                "formerRevision" to asOf.number,
                "formerEra" to asOf.era.number,
            )
        }
        // An object that is newer than the listing stays, so that it does not go back to an earlier revision.
        val next = listing.objects + held.filterValues { it.revision > listing.asOf }
        val isChanged = next != held || isDeliveryOwed
        isChangeWitnessed = false
        changed = next.values.toList()
        held = next
        asOf = listing.asOf
        unchangedSince = listing.asOf
        newestChange = next.values.maxOfOrNull { it.revision } ?: newestChange
        if (isChanged) deliver()
        if (isRestored) onRestored()
    }

    private fun apply(result: WatchResult.Changes) {
        isChangeWitnessed = true
        changed = result.changes.mapNotNull { it.present }
        held = Listing(held, asOf).after(result).objects
        asOf = result.asOf
        newestChange = result.changes.maxOfOrNull { it.revision } ?: newestChange
        unchangedSince = maxOf(unchangedSince, newestChange)
        if (result.changes.isNotEmpty()) deliver()
    }

    private fun deliver() {
        isDeliveryOwed = true
        onChange(this)
        isDeliveryOwed = false
    }

    private companion object {
        val DEFAULT_DELAY = 20.milliseconds

        /** Delay after a listing of an earlier era than is known. */
        val OUTDATED_DELAY = 250.milliseconds
    }
}
