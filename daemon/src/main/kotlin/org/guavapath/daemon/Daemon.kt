package org.guavapath.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.limits.SlotMember
import org.guavapath.core.platform.ObjectApi
import org.guavapath.core.routing.RoutingPolicy
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.configuration.ActiveConfiguration
import org.guavapath.daemon.configuration.ConfigurationMessage
import org.guavapath.daemon.configuration.ConfigurationTask
import org.guavapath.daemon.engine.EngineClient
import org.guavapath.daemon.http.CallerServer
import org.guavapath.daemon.http.DaemonStatus
import org.guavapath.daemon.http.OperatorServer
import org.guavapath.daemon.http.WorkspaceStatus
import org.guavapath.daemon.limits.LimitsTask
import org.guavapath.daemon.limits.LimitsTaskMessage
import org.guavapath.daemon.limits.SlotTableObject
import org.guavapath.daemon.limits.WorkspaceLevel
import org.guavapath.daemon.observe.DecisionLog
import org.guavapath.daemon.observe.RequestMetrics
import org.guavapath.daemon.operations.ClaimStore
import org.guavapath.daemon.peers.PeerHandshake
import org.guavapath.daemon.peers.PeerMessage
import org.guavapath.daemon.peers.PeerReceiver
import org.guavapath.daemon.peers.PeerTask
import org.guavapath.daemon.pipeline.AdmissionFilter
import org.guavapath.daemon.pipeline.AuthenticateFilter
import org.guavapath.daemon.pipeline.ClaimStep
import org.guavapath.daemon.pipeline.ModelDispatch
import org.guavapath.daemon.pipeline.ModelRequestFilter
import org.guavapath.daemon.pipeline.RequestPipeline
import org.guavapath.daemon.pipeline.RouteFilter
import org.guavapath.daemon.pipeline.RunningRequests
import org.guavapath.daemon.pipeline.ServiceDispatch
import org.guavapath.daemon.pipeline.ServicePipeline
import org.guavapath.daemon.pipeline.then
import org.guavapath.daemon.routing.EngineMonitor
import org.guavapath.daemon.routing.RoutingMessage
import org.guavapath.daemon.routing.RoutingTask
import org.guavapath.daemon.settings.DaemonSettings
import java.util.concurrent.Executors
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

private val DRAIN_POLL_INTERVAL = 50.milliseconds

/** The ports on which a daemon serves callers and operators. */
internal data class DaemonPorts(val callers: Int, val operators: Int)

/** Creates the tasks of a daemon, connects them and runs them from startup to graceful shutdown. */
internal class Daemon(private val settings: DaemonSettings, private val platform: ObjectApi) : PeerReceiver {
    private val logger = KotlinLogging.logger {}
    private val incarnation = Incarnation(System.currentTimeMillis())
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val stateThread = Executors.newSingleThreadExecutor().asCoroutineDispatcher()
    private val stateScope = CoroutineScope(SupervisorJob() + stateThread)
    private val metrics = RequestMetrics()
    private val running = RunningRequests(settings.limits.requests)
    private val peers = PeerTask(settings.peers, PeerHandshake(settings.vm, incarnation, settings.peerSecrets))
    private val configuration = ConfigurationTask(platform, peers)
    private val limits = LimitsTask(
        SlotMember(settings.vm, settings.peers.toString(), incarnation),
        SlotTableObject(platform),
        peers,
        settings.limits.admissionWaitMilliseconds.milliseconds,
    )
    private val routing = RoutingTask(RoutingPolicy.ExpectedFirstToken(), Random(incarnation.number))
    private val engines = EngineClient(settings.limits.firstTokenMilliseconds.milliseconds)
    private val engineMonitor = EngineMonitor(routing, engines)
    private val callers = CallerServer(settings, incarnation.number, pipeline(), running) { isDraining }
    private val operators = OperatorServer(settings.operators, metrics, ::isReady, ::status)

    @Volatile
    private var isDraining = false

    /** Starts all tasks and servers and returns the ports in use. */
    fun start(): DaemonPorts {
        metrics.gauge("guavapath.requests.running") { running.size }
        metrics.gauge("guavapath.peers.linked") { peers.linkedPeers.size }
        metrics.gauge("guavapath.configuration.version") { configuration.active.value?.version?.number ?: 0 }
        routing.start(stateScope)
        limits.start(stateScope)
        configuration.start(scope)
        runBlocking { peers.start(scope, this@Daemon) }
        settings.peerAddresses.filter { it != settings.peers.toString() }
            .forEach { peers.keepLink(scope, it, this) }
        scope.launch { configuration.active.filterNotNull().collect { applyConfiguration(it) } }
        val ports = DaemonPorts(callers.start(), operators.start())
        logger.info { "daemon ${settings.vm}, incarnation $incarnation, serves callers on port ${ports.callers}" }
        return ports
    }

    /** Stops accepting requests, waits for running requests, releases this VM's slots and cancels all tasks. */
    fun shutDown() {
        isDraining = true
        runBlocking {
            awaitRequests()
            limits.leave()
        }
        callers.stop()
        operators.stop()
        scope.cancel()
        stateScope.cancel()
    }

    override suspend fun received(from: VmId, message: PeerMessage) {
        when (message) {
            is PeerMessage.OfLimits -> limits.send(LimitsTaskMessage.FromPeer(from, message.message))
            is PeerMessage.OfConfiguration -> configuration.send(ConfigurationMessage.FromPeer(from, message))
            is PeerMessage.SlotTableShared ->
                limits.send(LimitsTaskMessage.TableUpdate(message.table, message.version, MonotonicTime.ZERO))
            is PeerMessage.Hello, is PeerMessage.Proof, is PeerMessage.OfFleet, PeerMessage.Heartbeat -> Unit
        }
    }

    override suspend fun linked(peer: VmId) {
        configuration.send(ConfigurationMessage.PeerLinked(peer))
        limits.send(LimitsTaskMessage.PeerLinked(peer))
    }

    private suspend fun awaitRequests() {
        val timeout = settings.drainMilliseconds.milliseconds
        var waited = 0.milliseconds
        while (running.size > 0 && (settings.drainMilliseconds == 0L || waited < timeout)) {
            delay(DRAIN_POLL_INTERVAL)
            waited += DRAIN_POLL_INTERVAL
        }
    }

    private suspend fun applyConfiguration(active: ActiveConfiguration) {
        limits.send(LimitsTaskMessage.Configured(active.configuration))
        routing.send(RoutingMessage.Configured(active.configuration))
        engineMonitor.configure(scope, active.configuration)
        running.cancelUnaccepted { active.key(it) != null }
    }

    private fun isReady(): Boolean = !isDraining && configuration.active.value != null

    private suspend fun status(): DaemonStatus {
        val levels = CompletableDeferred<List<WorkspaceLevel>>()
        limits.send(LimitsTaskMessage.ReadLevels(levels))
        return DaemonStatus(
            vm = settings.vm.text,
            failureDomain = settings.failureDomain.text,
            configurationVersion = configuration.active.value?.version?.number ?: 0,
            draining = isDraining,
            requests = running.size,
            linkedPeers = peers.linkedPeers.map { it.text }.sorted(),
            workspaces = levels.await().map { WorkspaceStatus(it.workspace.text, it.tokens) },
        )
    }

    private fun pipeline(): RequestPipeline {
        val decisions = DecisionLog()
        return RequestPipeline(
            entry = RouteFilter { configuration.active.value } then AuthenticateFilter(),
            readModelRequest = ModelRequestFilter(settings.limits.promptTokens),
            admission = AdmissionFilter(limits),
            models = ModelDispatch(routing, engines, running, settings, decisions),
            services = ServicePipeline(ClaimStep(ClaimStore(platform)), ServiceDispatch(running, decisions)),
            metrics = metrics,
        )
    }
}
