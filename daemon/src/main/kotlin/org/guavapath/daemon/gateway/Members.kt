package org.guavapath.daemon.gateway

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.guavapath.core.identity.FailureDomainName
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.store.ObjectKind
import org.guavapath.core.store.Revision
import org.guavapath.core.store.StoreEra
import org.guavapath.core.store.StoreError
import org.guavapath.core.store.StoredObject
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A gateway's registration in the store, under its VM's name.
 *
 * @property peers address where it listens for other gateways
 * @property domain its failure domain
 * @property processors processor cores that it may use
 */
@Serializable
internal data class MemberEntry(
    val peers: String,
    val domain: FailureDomainName,
    val processors: Double,
    val incarnation: Incarnation,
)

/**
 * The gateways of the fleet. Each registers itself in the store.
 *
 * An entry stays until its gateway shuts down gracefully, or until another gateway removes it after a long silence.
 * A gateway whose own entry is missing writes it again; where the store has returned from an older copy, entries that
 * are missing are retained until their gateways have had time to do so.
 */
internal class Members(
    private val self: VmId,
    private val entry: MemberEntry,
    private val store: EraTrackingStore,
    private val log: GatewayLog,
) {
    private var isRegistered = false
    private var registeredAt = Revision.NONE
    private var isLeaving = false
    private var era = StoreEra.UNKNOWN
    private var restoredAt: MonotonicTime? = null

    /** The other registered gateways. */
    var others = emptyMap<VmId, MemberEntry>()
        private set

    /** Whether missing entries are retained, so that another update is due after [RESTORE_GRACE_PERIOD]. */
    val isRetaining: Boolean get() = restoredAt?.let { MonotonicTime.now() - it < RESTORE_GRACE_PERIOD } ?: false

    /** Gateways in the fleet, this one included. */
    val fleetSize: Int get() = others.size + 1

    /** Applies the entries as of [revision]; returns whether the other gateways have changed. */
    fun update(objects: Map<String, StoredObject>, revision: Revision): Boolean {
        val ownEntry = objects[self.text]?.let { decode(it) }
        if (revision >= registeredAt) isRegistered = ownEntry == entry
        if (era != StoreEra.UNKNOWN && revision.era > era) restoredAt = MonotonicTime.now()
        era = revision.era
        val listed = objects.filterKeys { it != self.text }
            .mapNotNull { (name, stored) -> decode(stored)?.let { VmId(name) to it } }
            .toMap()
        val next = if (isRetaining) others + listed else listed
        val isChanged = next != others
        others = next
        return isChanged
    }

    /** Keeps this gateway registered. */
    suspend fun keepRegistered(current: () -> Map<String, StoredObject>) {
        while (true) {
            if (!isRegistered) store.backOff.awaitTurn()
            if (!isRegistered && !isLeaving) register(current()[self.text])
            delay(REGISTRATION_INTERVAL)
        }
    }

    /**
     * Removes the entries of gateways that have been silent for too long, one per interval.
     *
     * @param isResponsible whether this gateway removes entries rather than another one
     */
    suspend fun removeSilent(
        liveness: PeerLiveness,
        isResponsible: () -> Boolean,
        current: () -> Map<String, StoredObject>,
    ) {
        while (true) {
            delay(REMOVAL_INTERVAL)
            val silent = liveness.silentFor(REMOVAL_TIMEOUT).firstOrNull()
            if (isResponsible()) current()[silent?.text]?.let { remove(it) }
        }
    }

    private suspend fun remove(stored: StoredObject) {
        val error = store.remove(KIND, stored.name, stored.revision).fold(success = { null }, failure = { it })
        log.stateChange("member removed", "vm" to stored.name, "error" to error?.toString())
    }

    /** Removes this gateway's entry before shutdown. */
    suspend fun leave(current: () -> Map<String, StoredObject>) {
        isLeaving = true
        val stored = current()[self.text] ?: return
        store.remove(KIND, self.text, stored.revision).getOrElse { error ->
            val present = (error as? StoreError.Conflict)?.present
            if (present == null || store.remove(KIND, self.text, present.revision).isErr) {
                log.stateChange("member entry not removed", "error" to error.toString())
            }
        }
    }

    private suspend fun register(present: StoredObject?) {
        val value = Json.encodeToJsonElement(MemberEntry.serializer(), entry)
        val written = if (present == null) {
            store.create(KIND, self.text, value)
        } else {
            store.replace(KIND, self.text, value, present.revision)
        }
        written.fold(
            success = { registered(it) },
            failure = { error -> retryAfterConflict(error) },
        )
    }

    /** Replaces an entry of an earlier incarnation; other failures are retried later. */
    private suspend fun retryAfterConflict(error: StoreError) {
        val present = (error as? StoreError.Conflict)?.present
        if (present != null && decode(present) == entry) return registered(present)
        log.stateChange("member entry not written", "error" to error.toString())
        if (present != null) register(present)
    }

    private fun registered(stored: StoredObject) {
        isRegistered = true
        registeredAt = stored.revision
    }

    private fun decode(stored: StoredObject): MemberEntry? = try {
        Json.decodeFromJsonElement(MemberEntry.serializer(), stored.value)
    } catch (exception: IllegalArgumentException) {
        log.stateChange("member entry ignored", "vm" to stored.name, "error" to exception.message)
        null
    }

    companion object {
        /** Kind of the gateways' entries. */
        val KIND = ObjectKind("guavapath-gateways")

        /** Gateways notice within a second that their entries are missing. */
        val RESTORE_GRACE_PERIOD = 3.seconds
        private val REGISTRATION_INTERVAL = 500.milliseconds
        private val REMOVAL_INTERVAL = 5.seconds

        /** Longer than any restart; a gateway that was only partitioned registers again. */
        private val REMOVAL_TIMEOUT = 25.seconds
    }
}
