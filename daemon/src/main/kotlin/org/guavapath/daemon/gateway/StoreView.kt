package org.guavapath.daemon.gateway

import com.github.michaelbull.result.fold
import kotlinx.coroutines.delay
import org.guavapath.core.store.Change
import org.guavapath.core.store.Listing
import org.guavapath.core.store.ObjectKind
import org.guavapath.core.store.ObjectStore
import org.guavapath.core.store.Revision
import org.guavapath.core.store.StoreError
import org.guavapath.core.store.StoredObject
import org.guavapath.core.store.WatchResult
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * This VM's copy of one kind of objects at the store.
 *
 * It is listed once and watched from then on; it is listed again when the store has dropped the history.
 * Other gateways may hand in a newer copy while the store does not serve this VM. The copy never goes
 * back to an older revision.
 *
 * @param pause rest between two watches; changes in it come together with one call
 * @param onChange called on the event loop after each change of the copy
 */
internal class StoreView(
    val kind: ObjectKind,
    private val store: ObjectStore,
    private val log: GatewayLog,
    private val pause: Duration = DEFAULT_PAUSE,
    private val onChange: (StoreView) -> Unit,
) {
    private val held = LinkedHashMap<String, StoredObject>()
    private var failingSince: MonotonicTime? = null

    /** The objects by name. */
    val objects: Map<String, StoredObject> get() = held

    /** The revision at which the copy was the whole. */
    var asOf = Revision.NONE
        private set

    /** The newest change that the copy has. */
    var newestChange = Revision.NONE
        private set

    /** When the store came back after it had failed this VM for longer than a blink. */
    var recoveredAt = MonotonicTime.ZERO
        private set

    /** Whether the store serves this view; a watch that is cut and taken up again does not count. */
    val isServed: Boolean
        get() = asOf > Revision.NONE && failingSince.let { it == null || MonotonicTime.now() - it < BLINK }

    /** Keeps the copy up to date until it is cancelled. */
    suspend fun follow() {
        while (true) if (asOf == Revision.NONE) list() else watch()
    }

    /** Takes over a copy of another gateway if it is newer. */
    fun adopt(listing: Listing, from: String) {
        if (listing.asOf <= asOf) return
        log.belief("view adopted", "kind" to kind.text, "from" to from, "revision" to listing.asOf.number)
        replace(listing)
    }

    private suspend fun list() = store.list(kind).fold(
        success = {
            reached()
            if (it.asOf >= asOf) replace(it)
        },
        failure = { failed(it) },
    )

    private suspend fun watch() = store.watch(kind, asOf, LONGEST_WATCH).fold(
        success = {
            reached()
            watched(it)
        },
        failure = { failed(it) },
    )

    private suspend fun watched(result: WatchResult) {
        when (result) {
            is WatchResult.HistoryGone -> {
                log.belief("history gone", "kind" to kind.text, "revision" to asOf.number)
                list()
            }
            is WatchResult.Changes -> if (result.asOf > asOf) {
                apply(result.changes, result.asOf)
                delay(pause)
            }
        }
    }

    private fun replace(listing: Listing) {
        val isChanged = listing.objects != held || asOf == Revision.NONE
        held.clear()
        held.putAll(listing.objects)
        asOf = listing.asOf
        newestChange = listing.objects.values.maxOfOrNull { it.revision } ?: newestChange
        if (isChanged) onChange(this)
    }

    private fun apply(changes: List<Change>, next: Revision) {
        changes.forEach { change ->
            val present = change.present
            if (present == null) held.remove(change.name) else held[change.name] = present
        }
        asOf = next
        newestChange = changes.maxOfOrNull { it.revision } ?: newestChange
        if (changes.isNotEmpty()) onChange(this)
    }

    private fun reached() {
        val since = failingSince ?: return
        failingSince = null
        val now = MonotonicTime.now()
        if (now - since > BLINK) recoveredAt = now
        log.belief("store regained", "kind" to kind.text, "afterMs" to (now - since).inWholeMilliseconds)
    }

    private suspend fun failed(error: StoreError) {
        if (failingSince == null) {
            failingSince = MonotonicTime.now()
            log.belief("store lost", "kind" to kind.text, "error" to error.toString(), "revision" to asOf.number)
        }
        delay(RETRY_PAUSE)
    }

    private companion object {
        val DEFAULT_PAUSE = 20.milliseconds
        val LONGEST_WATCH = 20.seconds
        val RETRY_PAUSE = 250.milliseconds
        val BLINK = 1.seconds
    }
}
