package org.guavapath.daemon.gateway

import com.github.michaelbull.result.fold
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.drop
import kotlinx.coroutines.flow.filter
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.guavapath.core.quarantine.CrashReport
import org.guavapath.core.store.ObjectKind
import org.guavapath.core.store.StoreError
import org.guavapath.core.store.StoredObject
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.peers.PeerMessage
import kotlin.time.Duration.Companion.seconds

/** The crash reports for which suspects are held as of [writtenAt], in Unix milliseconds. */
@Serializable
internal data class CrashReportRecord(val writtenAt: Long, val reports: List<PeerMessage.SharedCrashReport>)

/**
 * The crash reports in the store for which suspects are held, for gateways that start while no other one runs.
 *
 * A gateway writes after its own reports only, if they led to a quarantine. Those that others wrote are kept.
 *
 * @property isFirstStart whether there can be no stored reports, as the fleet starts for the first time
 */
internal class StoredCrashReports(
    private val store: EraTrackingStore,
    private val isFirstStart: Boolean,
    private val log: GatewayLog,
) {
    private val requests = Channel<Unit>(Channel.CONFLATED)

    /** Requests that the reports are saved. */
    fun save() {
        requests.trySend(Unit)
    }

    /** Calls [onRestored] each time the store has returned from an older copy, which may lack reports. */
    suspend fun watchRestores(onRestored: () -> Unit) =
        store.era.drop(1).filter { store.restoredAt != null }.collect { onRestored() }

    /** Passes the stored reports to [add], if there are any and the store responds. */
    suspend fun load(add: (List<CrashReport>) -> Unit) {
        if (isFirstStart) return
        store.read(KIND, NAME).fold(
            success = { stored -> stored?.let { add(decode(it)) } },
            failure = { error -> log.stateChange("crash reports not read", "error" to error.toString()) },
        )
    }

    /**
     * Saves reports after each call of [save]; repeats after failures.
     *
     * @param merge adds the stored reports to those of this gateway and returns all
     */
    suspend fun keepSaved(merge: (List<CrashReport>) -> Collection<CrashReport>) {
        while (true) {
            requests.receive()
            store.backOff.awaitTurn()
            if (!write(merge)) {
                save()
                delay(RETRY_INTERVAL)
            }
        }
    }

    private suspend fun write(merge: (List<CrashReport>) -> Collection<CrashReport>): Boolean {
        val present = store.read(KIND, NAME).fold(success = { it }, failure = { return failed(it) })
        val reports = merge(present?.let { decode(it) }.orEmpty())
        val now = MonotonicTime.now()
        val record = CrashReportRecord(System.currentTimeMillis(), reports.map { CrashReportCodec.encode(it, now) })
        val value = Json.encodeToJsonElement(CrashReportRecord.serializer(), record)
        val written = if (present == null) {
            store.create(KIND, NAME, value)
        } else {
            store.replace(KIND, NAME, value, present.revision)
        }
        return written.fold(success = { true }, failure = { failed(it) })
    }

    private fun failed(error: StoreError): Boolean {
        log.stateChange("crash reports not written", "error" to error.toString())
        return false
    }

    private fun decode(stored: StoredObject): List<CrashReport> = try {
        val record = Json.decodeFromJsonElement(CrashReportRecord.serializer(), stored.value)
        val now = MonotonicTime.now()
        // Clocks of VMs may differ and jump; a report is never younger than when it was written.
        val elapsed = maxOf(0, System.currentTimeMillis() - record.writtenAt)
        record.reports
            .map { it.copy(ageMilliseconds = it.ageMilliseconds + elapsed) }
            .map { CrashReportCodec.decode(it.copy(sentMillisecondsAgo = it.sentMillisecondsAgo + elapsed), now) }
    } catch (exception: IllegalArgumentException) {
        log.stateChange("crash reports ignored", "error" to exception.message)
        emptyList()
    }

    companion object {
        /** Kind of the one object that holds the reports. */
        val KIND = ObjectKind("guavapath-crash-reports")
        private const val NAME = "held"
        private val RETRY_INTERVAL = 2.seconds
    }
}
