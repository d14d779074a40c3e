package org.guavapath.daemon.limits

import kotlinx.coroutines.CompletableDeferred
import org.guavapath.core.config.Configuration
import org.guavapath.core.identity.RequestId
import org.guavapath.core.identity.VmId
import org.guavapath.core.limits.AdmissionRequest
import org.guavapath.core.limits.AdmissionVerdict
import org.guavapath.core.limits.LimitMessage
import org.guavapath.core.limits.SlotTable
import org.guavapath.core.platform.ObjectVersion
import org.guavapath.core.time.MonotonicTime

/** A message to [LimitsTask]. */
internal sealed class LimitsTaskMessage {
    /** Asks for the admission of [request]; [verdict] is completed with the decision. */
    class Admit(
        val request: AdmissionRequest,
        val verdict: CompletableDeferred<AdmissionVerdict>,
    ) : LimitsTaskMessage()

    /** Refunds the tokens that [request] was charged beyond [usedTokens]. */
    class Settle(val request: RequestId, val usedTokens: Long) : LimitsTaskMessage()

    class FromPeer(val peer: VmId, val message: LimitMessage) : LimitsTaskMessage()

    class Configured(val configuration: Configuration) : LimitsTaskMessage()

    /**
     * The slot table as the platform or a peer holds it.
     *
     * @property readStartedAt when the read at the platform started; [MonotonicTime.ZERO] for a table from a peer,
     *   which cannot confirm slots after a pause
     */
    class TableUpdate(
        val table: SlotTable,
        val version: ObjectVersion,
        val readStartedAt: MonotonicTime,
    ) : LimitsTaskMessage()

    /** A write of the slot table ended; [update] is the table that the platform holds now, or null if unknown. */
    class WriteEnded(val update: TableUpdate?) : LimitsTaskMessage()

    /** A link to [peer] is up; the peer may not have the slot table yet. */
    class PeerLinked(val peer: VmId) : LimitsTaskMessage()

    /** The platform lists [vms] as present. */
    class VmListUpdate(val vms: Set<VmId>) : LimitsTaskMessage()

    /** Asks to release all slots; [completion] is completed when the slot table no longer lists this VM. */
    class Leave(val completion: CompletableDeferred<Unit>) : LimitsTaskMessage()

    class ReadLevels(val levels: CompletableDeferred<List<WorkspaceLevel>>) : LimitsTaskMessage()

    data object Tick : LimitsTaskMessage()
}
