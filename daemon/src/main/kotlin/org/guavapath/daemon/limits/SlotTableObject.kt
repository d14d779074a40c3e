package org.guavapath.daemon.limits

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onSuccess
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import org.guavapath.core.limits.SlotTable
import org.guavapath.core.limits.SlotTableChange
import org.guavapath.core.platform.ObjectApi
import org.guavapath.core.platform.ObjectVersion
import org.guavapath.core.platform.PlatformError
import org.guavapath.core.platform.VersionedText
import org.guavapath.core.time.MonotonicTime
import kotlin.time.Duration.Companion.seconds

private const val TABLE_OBJECT = "limits/slots"
private val WATCH_TIMEOUT = 10.seconds
private val RETRY_DELAY = 1.seconds

/** Reads, writes and watches the slot table, which is stored as an object at the platform. */
internal class SlotTableObject(private val platform: ObjectApi) {
    /** Writes the table of [change] on condition that the object still has the version it is based on. */
    suspend fun write(change: SlotTableChange): Result<ObjectVersion, PlatformError> =
        platform.write(TABLE_OBJECT, Json.encodeToString(SlotTable.serializer(), change.table), change.condition)

    /** Returns the table, empty if the object does not exist, or null if the read fails. */
    suspend fun read(): LimitsTaskMessage.TableUpdate? {
        val startedAt = MonotonicTime.now()
        return platform.read(TABLE_OBJECT).getOrElse { return null }.toUpdate(startedAt)
    }

    /** Reports the table and the list of VMs immediately, then on every change of the table and after each watch. */
    suspend fun watchForever(report: suspend (LimitsTaskMessage) -> Unit) {
        var version: ObjectVersion? = null
        while (true) {
            val startedAt = MonotonicTime.now()
            val update = if (version == null) read() else watch(version, startedAt)
            platform.vms().onSuccess { vms -> vms?.let { report(LimitsTaskMessage.VmListUpdate(it)) } }
            if (update == null) {
                delay(RETRY_DELAY)
            } else {
                version = update.version
                report(update)
            }
        }
    }

    /** Also reports a table that did not change during the watch, since a fresh read confirms slots after a pause. */
    private suspend fun watch(version: ObjectVersion, startedAt: MonotonicTime): LimitsTaskMessage.TableUpdate? {
        val changed = platform.watch(TABLE_OBJECT, version, WATCH_TIMEOUT).getOrElse { return null }
        return changed?.toUpdate(startedAt) ?: read()
    }

    private fun VersionedText.toUpdate(startedAt: MonotonicTime): LimitsTaskMessage.TableUpdate {
        val table = text?.let { Json.decodeFromString(SlotTable.serializer(), it) } ?: SlotTable.EMPTY
        return LimitsTaskMessage.TableUpdate(table, version, startedAt)
    }
}
