package org.guavapath.core.weights

import org.guavapath.core.identity.VmId
import org.guavapath.core.store.ObjectStore
import org.guavapath.core.store.Revision
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A gateway's copy of the store's objects of one kind: the daemon's `StoreView` and `ViewExchange`. */
internal class FleetView(
    val kind: FleetKind,
    private val self: VmId,
    private val store: FleetStore,
    private val lease: FleetLease,
    private val process: FleetProcess,
    private val onChange: (listing: FleetListing, isWitnessed: Boolean) -> Unit,
) {
    private val now: MonotonicTime get() = process.clock.now
    private var failingSince: MonotonicTime? = null
    private var behindSince: MonotonicTime? = null
    private var watching: (StoreAnswer<FleetListing?>) -> Unit = {}
    private var held = emptyMap<String, StoredTarget>()

    /** The last listing or change. */
    var last: FleetListing? = null
        private set
    var asOf = Revision.NONE
        private set
    var newestChange = Revision.NONE
        private set
    val isAvailable: Boolean
        get() = asOf > Revision.NONE && failingSince.let { it == null || now - it < OUTAGE_THRESHOLD }

    /** The whole copy, as other gateways receive it. */
    val content: FleetListing?
        get() = last?.copy(asOf = asOf, newestChange = newestChange, targets = held.values.toList())

    suspend fun follow() {
        while (true) {
            if (asOf == Revision.NONE || asOf.era < lease.era || failingSince != null) list() else watch()
        }
    }

    /** Replaces the copy by that of another gateway if it is newer. */
    fun adopt(listing: FleetListing) {
        lease.eraSeen(listing.asOf.era)
        if (listing.asOf > asOf) apply(listing, isWitnessed = false)
    }

    /** Returns whether to ask a gateway for its copy, whose last change is [revision]. */
    fun isWanted(revision: Revision): Boolean {
        if (revision <= asOf) {
            behindSince = null
            return false
        }
        val since = behindSince ?: now.also { behindSince = it }
        val isWanted = !isAvailable || now - since >= EXPECTED_WATCH_DELAY
        if (isWanted) behindSince = now
        return isWanted
    }

    private suspend fun list() {
        val answer = process.call<StoreAnswer<FleetListing>>(CALL_TIMEOUT) { store.list(self, kind, it) }
        if (answer !is StoreAnswer.Success) return failed()
        succeeded(answer)
        if (answer.value.asOf >= asOf) apply(answer.value, isWitnessed = false) else process.delay(RETRY_DELAY)
    }

    private suspend fun watch() {
        val after = asOf
        val answer = process.call<StoreAnswer<FleetListing?>>(WATCH_TIMEOUT) {
            watching = it
            store.watch(self, kind, after, it)
        }
        if (answer !is StoreAnswer.Success) return failed()
        succeeded(answer)
        val changes = answer.value
        if (changes == null) {
            list()
        } else if (changes.asOf > asOf && changes.asOf.era == asOf.era) {
            if (changes.newestChange <= asOf) {
                asOf = changes.asOf
                return
            }
            apply(changes, isWitnessed = true)
            process.delay(if (kind == FleetKind.REPLICAS) LIST_WATCH_DELAY else DEFAULT_DELAY)
        }
    }

    /** Gives up the watch that is waiting; the objects are listed instead. */
    fun giveUpWatch() = watching(StoreAnswer.Failure)

    private fun apply(listing: FleetListing, isWitnessed: Boolean) {
        last = listing
        asOf = listing.asOf
        newestChange = listing.newestChange
        val kept = if (isWitnessed) held else emptyMap()
        held = kept + listing.targets.associateBy { it.model.text }
        onChange(listing, isWitnessed)
    }

    private fun succeeded(result: StoreAnswer.Success<*>) {
        failingSince = null
        lease.eraSeen(result.era)
    }

    private suspend fun failed() {
        if (failingSince == null) failingSince = now
        process.delay(RETRY_DELAY)
    }

    private companion object {
        val RETRY_DELAY: Duration = 250.milliseconds
        val OUTAGE_THRESHOLD = 1.seconds
        val CALL_TIMEOUT = 2.seconds
        val WATCH_TIMEOUT = ObjectStore.MAX_WATCH + ObjectStore.WATCH_MARGIN
        val DEFAULT_DELAY = 20.milliseconds
        val LIST_WATCH_DELAY = 300.milliseconds
        val EXPECTED_WATCH_DELAY = 600.milliseconds
    }
}
