package org.guavapath.daemon.limits

import com.github.michaelbull.result.fold
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.guavapath.core.identity.VmId
import org.guavapath.core.limits.LimitEffect
import org.guavapath.core.limits.MAX_PAUSE
import org.guavapath.core.limits.SlotKeeper
import org.guavapath.core.limits.SlotMember
import org.guavapath.core.limits.SlotTableChange
import org.guavapath.core.limits.WorkspaceLimiter
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.peers.PeerMessage
import kotlin.time.Duration.Companion.milliseconds

private val PLAN_INTERVAL = 300.milliseconds

/** Synchronizes this VM's slots with the slot table at the platform. Runs on the thread of [LimitsTask]. */
internal class SlotTableSynchronizer(
    private val self: SlotMember,
    private val table: SlotTableObject,
    private val limiter: WorkspaceLimiter,
    private val report: suspend (LimitsTaskMessage) -> Unit,
) {
    private val logger = KotlinLogging.logger("org.guavapath.daemon.limits.SlotUpkeep")
    private val keeper = SlotKeeper(self)
    private val pauseDetector = PauseDetector(MAX_PAUSE)
    private var pausedUntil = MonotonicTime.ZERO
    private var plannedAt = MonotonicTime.ZERO
    private var isWriting = false
    private var leaveCompletion: CompletableDeferred<Unit>? = null

    /**
     * Checks whether this VM was paused since the previous call.
     *
     * After a pause, slots are unusable until the table is read again, and token acquisitions in progress are
     * abandoned.
     */
    fun handlePause(now: MonotonicTime): List<LimitEffect> {
        if (!pauseDetector.detectPause(now)) return emptyList()
        logger.warn { "this VM was paused; its slots are unusable until they are confirmed at the platform" }
        pausedUntil = now
        keeper.onPause()
        updateSlots(now)
        return limiter.abandonAcquisitions(now)
    }

    fun observe(update: LimitsTaskMessage.TableUpdate, now: MonotonicTime) {
        keeper.observe(update.table, update.version, update.readStartedAt >= pausedUntil)
        updateSlots(now)
        if (update.table.member(self.vm) != self) leaveCompletion?.complete(Unit)
    }

    /** Returns a message to a peer with the latest known table, or null before the first read. */
    fun tableForPeer(): PeerMessage.SlotTableShared? =
        keeper.currentVersion?.let { PeerMessage.SlotTableShared(keeper.currentTable, it) }

    fun observeVms(vms: Set<VmId>, now: MonotonicTime) = keeper.observeVms(vms, now)

    /** Stops using all slots and schedules the removal of this VM from the table. */
    fun leave(completion: CompletableDeferred<Unit>, now: MonotonicTime) {
        leaveCompletion = completion
        keeper.leave()
        updateSlots(now)
        plannedAt = MonotonicTime.ZERO
    }

    /** Writes a change of the table if one is due and no write is in progress. */
    fun planIfDue(scope: CoroutineScope, now: MonotonicTime) {
        if (isWriting || now - plannedAt < PLAN_INTERVAL) return
        plannedAt = now
        val change = keeper.planChange(now) ?: return
        updateSlots(now)
        isWriting = true
        scope.launch { report(LimitsTaskMessage.WriteEnded(write(change))) }
    }

    fun writeEnded(update: LimitsTaskMessage.TableUpdate?, now: MonotonicTime) {
        isWriting = false
        update?.let { observe(it, now) }
    }

    private suspend fun write(change: SlotTableChange): LimitsTaskMessage.TableUpdate? {
        val startedAt = MonotonicTime.now()
        return table.write(change).fold(
            success = { LimitsTaskMessage.TableUpdate(change.table, it, startedAt) },
            failure = { table.read() },
        )
    }

    private fun updateSlots(now: MonotonicTime) = limiter.updateSlots(keeper.usableSlots(), keeper.currentTable, now)
}
