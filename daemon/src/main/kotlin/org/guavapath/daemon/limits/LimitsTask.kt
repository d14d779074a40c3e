package org.guavapath.daemon.limits

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.guavapath.core.config.Configuration
import org.guavapath.core.identity.RequestId
import org.guavapath.core.identity.WorkspaceName
import org.guavapath.core.limits.AdmissionRequest
import org.guavapath.core.limits.AdmissionVerdict
import org.guavapath.core.limits.LimitEffect
import org.guavapath.core.limits.SlotKeeper
import org.guavapath.core.limits.SlotMember
import org.guavapath.core.limits.WorkspaceLimit
import org.guavapath.core.limits.WorkspaceLimiter
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.peers.PeerMessage
import org.guavapath.daemon.peers.PeerSender
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val WAITING_TICK_INTERVAL = 5.milliseconds
private val IDLE_TICK_INTERVAL = 50.milliseconds
private val LEAVE_TIMEOUT = 3.seconds
private const val MAILBOX_CAPACITY = 20_000

/** Tokens available in this VM's bucket for [workspace]. */
internal data class WorkspaceLevel(val workspace: WorkspaceName, val tokens: Long)

/**
 * Owns the workspace limits of this VM and decides on admissions.
 *
 * The task runs the state machines [WorkspaceLimiter] and [SlotKeeper] and keeps the slot table at the platform up to
 * date. All state changes go through its mailbox.
 */
internal class LimitsTask(
    private val self: SlotMember,
    private val table: SlotTableObject,
    private val peers: PeerSender,
    maxWait: Duration,
) {
    private val mailbox = Channel<LimitsTaskMessage>(MAILBOX_CAPACITY)
    private val limiter = WorkspaceLimiter(self.vm, self.incarnation, maxWait)
    private val waiting = HashMap<RequestId, CompletableDeferred<AdmissionVerdict>>()
    private var workspaces = emptyList<WorkspaceName>()

    /** Starts the task in [scope], which must run on a single thread because the state is not synchronized. */
    fun start(scope: CoroutineScope) {
        val synchronizer = SlotTableSynchronizer(self, table, limiter) { mailbox.send(it) }
        scope.launch { for (message in mailbox) handle(scope, synchronizer, message) }
        scope.launch { tickForever() }
        scope.launch { table.watchForever { mailbox.send(it) } }
    }

    /** Charges [request] to its workspace, waiting for tokens if necessary, and returns the verdict. */
    suspend fun admit(request: AdmissionRequest): AdmissionVerdict {
        val verdict = CompletableDeferred<AdmissionVerdict>()
        mailbox.send(LimitsTaskMessage.Admit(request, verdict))
        return verdict.await()
    }

    suspend fun send(message: LimitsTaskMessage) = mailbox.send(message)

    /**
     * Releases this VM's slots.
     *
     * Returns when the slot table at the platform no longer lists this VM, at the latest after [LEAVE_TIMEOUT].
     */
    suspend fun leave() {
        val completion = CompletableDeferred<Unit>()
        mailbox.send(LimitsTaskMessage.Leave(completion))
        withTimeoutOrNull(LEAVE_TIMEOUT) { completion.await() }
    }

    private suspend fun tickForever() {
        while (true) {
            delay(if (limiter.hasWaiting) WAITING_TICK_INTERVAL else IDLE_TICK_INTERVAL)
            mailbox.send(LimitsTaskMessage.Tick)
        }
    }

    private fun handle(scope: CoroutineScope, synchronizer: SlotTableSynchronizer, message: LimitsTaskMessage) {
        val now = MonotonicTime.now()
        perform(synchronizer.handlePause(now))
        when (message) {
            is LimitsTaskMessage.Admit -> {
                waiting[message.request.id] = message.verdict
                perform(limiter.admit(message.request, now))
            }
            is LimitsTaskMessage.Settle -> perform(limiter.settle(message.request, message.usedTokens, now))
            is LimitsTaskMessage.FromPeer -> perform(limiter.receive(message.peer, message.message, now))
            is LimitsTaskMessage.Configured -> configure(message.configuration, now)
            is LimitsTaskMessage.TableUpdate -> synchronizer.observe(message, now)
            is LimitsTaskMessage.VmListUpdate -> synchronizer.observeVms(message.vms, now)
            is LimitsTaskMessage.PeerLinked -> synchronizer.tableForPeer()?.let { peers.send(message.peer, it) }
            is LimitsTaskMessage.Leave -> synchronizer.leave(message.completion, now)
            is LimitsTaskMessage.WriteEnded -> synchronizer.writeEnded(message.update, now)
            is LimitsTaskMessage.ReadLevels ->
                message.levels.complete(workspaces.map { WorkspaceLevel(it, limiter.level(it, now)) })
            LimitsTaskMessage.Tick -> {
                perform(limiter.tick(now))
                synchronizer.planIfDue(scope, now)
            }
        }
    }

    private fun configure(configuration: Configuration, now: MonotonicTime) {
        workspaces = configuration.workspaces.map { it.name }
        val limits = configuration.workspaces.associate { it.name to WorkspaceLimit(it.rate, it.burst) }
        perform(limiter.configure(limits, now))
    }

    private fun perform(effects: List<LimitEffect>) = effects.forEach { effect ->
        when (effect) {
            is LimitEffect.Send -> peers.send(effect.to, PeerMessage.OfLimits(effect.message))
            is LimitEffect.Decide -> waiting.remove(effect.request)?.complete(effect.verdict)
        }
    }
}
