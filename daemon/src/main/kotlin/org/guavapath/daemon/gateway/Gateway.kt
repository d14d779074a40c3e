/** Wires a gateway's components together and runs them from start to graceful shutdown. */
package org.guavapath.daemon.gateway

import io.netty.channel.Channel
import io.netty.channel.EventLoop
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.guavapath.core.fleet.FleetConfiguration
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.store.ObjectStore
import org.guavapath.core.store.Revision
import org.guavapath.core.store.StoreEra
import org.guavapath.core.throttling.RateArbitration
import org.guavapath.core.time.MonotonicTime
import org.guavapath.daemon.keepRunning
import org.guavapath.daemon.peers.PeerHandshake
import org.guavapath.daemon.peers.PeerMessage
import org.guavapath.daemon.peers.PeerReceiver
import org.guavapath.daemon.peers.PeerTask
import org.guavapath.daemon.settings.ListenAddress
import org.guavapath.platform.wire.StoreKinds
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One gateway. Its state is confined to one event loop. */
internal class Gateway(private val settings: GatewaySettings, objectStore: ObjectStore) :
    PeerReceiver,
    ExchangeHost,
    AutoCloseable {
    private val incarnation = Incarnation(System.currentTimeMillis())
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next() as EventLoop
    private val telemetry = GatewayTelemetry(GatewayLog(), GatewayMetrics())
    private val log = telemetry.log
    private val store = EraTrackingStore(objectStore, log)
    private val scope = CoroutineScope(SupervisorJob() + loop.asCoroutineDispatcher() + log.taskFailures())
    private val fleet =
        FleetState(settings.failureDomain, MonotonicTime.now(), settings.isFirstStart, settings.replacedWeights)
    private val operator = OperatorState(fleet, store, log)
    private val pool = ReplicaPool(loop)
    private val replicas = ReplicaList(fleet, pool, store, log)
    private val entry = MemberEntry(settings.peers, settings.failureDomain, settings.usableProcessors, incarnation)
    private val members = Members(settings.vm, entry, store, log)
    private val peers = PeerTask(
        SocketAddress.of(settings.peers).let { ListenAddress(it.host, it.port) },
        PeerHandshake(settings.vm, incarnation, settings.peerSecrets),
    )
    private val topology = PeerTopology(settings, peers, fleet, log)
    private val membersView = StoreView(Members.KIND, store, log, LIST_WATCH_DELAY) { membersChanged() }
    private val views = listOf(
        StoreView(StoreKinds.CONFIGURATIONS, store, log) { operator.updateConfiguration(it) },
        StoreView(StoreKinds.WEIGHTS, store, log) { operator.updateWeights(it) },
        StoreView(StoreKinds.REPLICAS, store, log, LIST_WATCH_DELAY) { replicasChanged(it) },
        membersView,
    )
    private val liveness = PeerLiveness()
    private val viewExchange = ViewExchange(views, peers, topology, store)
    private val lease =
        RolloutLease(settings.vm, incarnation, StoredRolloutLease(store, log), settings.isFirstStart, log)
    private val exchange = PeerExchange(viewExchange, peers, topology, liveness, lease)
    private val operatorExchange = OperatorExchange(operator, exchange, store)
    private val targetAges = TargetAgeTask(fleet, exchange, log)
    private val storedCrashes = StoredCrashReports(store, settings.isFirstStart, log)
    override val quarantine = QuarantineTask(fleet, exchange, storedCrashes, log)
    override val availability = AvailabilityTask(fleet, pool, exchange, telemetry)
    private val replicaNews = ReplicaNews(quarantine, availability)
    private val arbitration = RateArbitration(settings.vm)
    private val ratePeers = LinkedRatePeers(settings.vm, topology, exchange)
    override val namedRates = NamedRateTask(fleet, arbitration, ratePeers, log)
    override val permits = PermitTask(fleet, arbitration, namedRates, ratePeers, loop) {
        members.fleetSize.takeIf { membersView.asOf > Revision.NONE }
    }
    private val publisher = PeerPublisher(incarnation, fleet, viewExchange, peers, topology, exchange)
    private val loader = WeightsLoader(
        settings.vm.text,
        lease,
        ReplicaControlClient(pool, availability, namedRates, permits),
        settings.areOrdersFenced,
        log,
    )
    private val rolloutMessages = RolloutMessages(fleet, log)
    private val candidates = RolloutCandidates(settings.vm, exchange, viewExchange, peers, topology, liveness)
    private val rollout = RolloutTask(fleet, lease, loader, rolloutMessages, candidates, telemetry)
    private val exchanges = ExchangeContext(loop, pool, fleet, telemetry, settings, this)
    private val admission = AdmissionHandler(exchanges, operator)

    private var callerListener: Channel? = null
    private var replicasUpdate: Job? = null

    override val fleetSize: Int get() = members.fleetSize
    override val configuration: FleetConfiguration? get() = operator.configuration

    override fun requestSent() = publisher.scheduleUpdates()

    /** Starts the listeners and background tasks. */
    fun start() {
        log.stateChange(
            "started",
            "vm" to settings.vm.text,
            "incarnation" to incarnation.number,
            "settings" to settings.copy(peerSecrets = emptyList()).toString()
        )
        telemetry.metrics.registerGauges(pool, operator, fleet)
        telemetry.metrics.gauge("guavapath.gateway.replica.entries.ignored") { replicas.ignoredEntries }
        telemetry.metrics.gauge("guavapath.gateway.store.era") { store.era.value.number }
        telemetry.metrics.gauge("guavapath.gateway.store.back.off.ms") { store.backOff.current.inWholeMilliseconds }
        telemetry.metrics.gauge("guavapath.gateway.body.bytes.held") { admission.bodies.held }
        telemetry.metrics.gauge("guavapath.gateway.body.bytes.limit") { admission.bodies.bytes }
        telemetry.metrics.gauge("guavapath.gateway.bodies.waiting") { admission.bodies.waitingBodies }
        telemetry.metrics.gauge("guavapath.gateway.reading.pauses") { admission.bodies.waits }
        telemetry.metrics.gauge("guavapath.gateway.bodies.refused") { admission.bodies.refusals }
        store.backOff.onFailed = telemetry.metrics::storeCallFailed
        viewExchange.refresh()
        views.forEach { view -> scope.keepRunning("view of ${view.kind}") { view.follow() } }
        scope.keepRunning("peer listener") { peers.start(scope, this) }
        settings.peerSeeds.filter { it != settings.peers }.forEach { peers.keepLink(scope, it, this) }
        scope.keepRunning("registration") { members.keepRegistered { membersView.objects } }
        scope.keepRunning("removals") {
            members.removeSilent(liveness, topology::isResponsibleForRemovals) { membersView.objects }
        }
        scope.keepRunning("links") { topology.watchLinks(::planLinks, viewExchange::refresh) }
        scope.keepRunning("status") { publisher.publishStatusForever() }
        scope.keepRunning("prompts") { publisher.publishPromptsForever() }
        scope.keepRunning("usage") { publisher.publishUsageForever() }
        operator.onWeightsNamed = targetAges::ask
        targetAges.onLearned = { exchanges.waiting.toList().forEach { it.targetsChanged() } }
        scope.keepRunning("target ages") { targetAges.run() }
        rollout.run(scope)
        replicas.onLost = quarantine::replicaLost
        quarantine.running =
            { exchanges.running.mapNotNull { it.responding } + exchanges.crashes.unconfirmedAnswers }
        quarantine.onHeld = { exchanges.running.toList().forEach { it.endIfQuarantined() } }
        quarantine.run(scope)
        pool.onHead = availability::responded
        pool.onStray = { replica, stray -> telemetry.stray(replica.id, stray) }
        scope.keepRunning("availability") { availability.run() }
        namedRates.run(scope)
        scope.keepRunning("permits") { permits.run() }
        scope.keepRunning("operator exchange") { operatorExchange.run() }
        callerListener = CallerHttpServer(group, admission).start(SocketAddress.of(settings.callers))
        ReadinessServer(group, { isReady }, telemetry.metrics::text).start(SocketAddress.of(settings.readiness))
    }

    /** Stops accepting connections, waits for running requests up to the drain limit and leaves the fleet. */
    fun shutDown() {
        log.stateChange("stopping")
        runBlocking {
            withContext(scope.coroutineContext) {
                admission.connections.drain()
                withTimeoutOrNull(settings.drainTimeout - SHUTDOWN_MARGIN) { drainConnections() }
                admission.connections.stop()
                exchanges.running.toList().forEach { it.endForStop() }
                withTimeoutOrNull(SHUTDOWN_MARGIN) { members.leave { membersView.objects } }
                admission.connections.reportStop()
            }
        }
        log.stateChange("stopped", "connectionsLeft" to admission.connections.closeIdle())
    }

    /** Ends at once, as the end of the process would: closes all connections and frees the threads. */
    override fun close() {
        scope.cancel()
        peers.close()
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    override suspend fun received(from: VmId, message: PeerMessage) {
        when (message) {
            is PeerMessage.OfEra -> exchange.viewsReceived(from, message.message, StoreEra(message.era), fleet)
            is PeerMessage.FleetStatus, is PeerMessage.ViewContent, is PeerMessage.ViewChanged ->
                exchange.viewsReceived(from, message, era = null, fleet)
            is PeerMessage.OperatorTold -> operatorExchange.received(from, message)
            is PeerMessage.UsageTold -> {
                exchange.usageReceived(from, message, fleet)
                publisher.scheduleUpdates(isOfHub = fleet.quota.isHub)
            }
            is PeerMessage.PromptsRead -> {
                exchange.promptsReceived(message, fleet.directory)
                publisher.relayPrompts(from, message)
                publisher.scheduleUpdates(isOfHub = fleet.quota.isHub)
            }
            is PeerMessage.ViewWanted -> viewExchange.share(from, message)
            is PeerMessage.OfCrashes, is PeerMessage.ReplicasLeaving -> replicaNews.received(from, message)
            is PeerMessage.OfRates -> permits.received(from, message)
            is PeerMessage.OfTargets -> targetAges.received(from, message)
            is PeerMessage.RolloutInvitation -> rollout.invited()
            is PeerMessage.OfRollout -> {
                rolloutMessages.received(from, message)
                exchange.relay(from, message)
            }
            else -> Unit
        }
    }

    override suspend fun linked(peer: VmId) {
        log.stateChange("peer linked", "peer" to peer.text)
        replicaNews.linked(peer)
        namedRates.linked(peer)
        operatorExchange.linked(peer)
        targetAges.linked(peer)
    }

    /**
     * Waits until the platform has stopped routing callers here, which takes two failed readiness checks. Then closes
     * the listener, so that accepted requests have time to end, and closes connections as they become idle.
     */
    private suspend fun drainConnections() {
        delay(READINESS_DELAY)
        callerListener?.close()
        while (admission.connections.closeIdle() > 0) delay(DRAIN_POLL_INTERVAL)
    }

    private val isReady: Boolean
        get() = !admission.connections.isDraining && operator.configuration != null && fleet.replicas.all.isNotEmpty()

    private fun replicasChanged(view: StoreView) {
        val nextUpdate = replicas.update(view) ?: return
        replicasUpdate?.cancel()
        replicasUpdate = scope.launch {
            delay(nextUpdate)
            replicasChanged(view)
        }
    }

    private fun membersChanged() {
        val isChanged = members.update(membersView.objects, membersView.asOf)
        if (members.isRetaining) {
            scope.launch {
                delay(Members.RESTORE_GRACE_PERIOD)
                membersChanged()
            }
        }
        if (!isChanged) return
        fleet.quota.setMembers(members.others.keys)
        log.stateChange("members", "others" to members.others.keys.map { it.text })
        planLinks()
    }

    private fun planLinks() {
        topology.update(scope, members.others, this)
        liveness.track(topology.plannedLinks)
    }

    private companion object {
        /** Entries change in bursts during a rollout or start; a removed entry must take effect within two seconds. */
        val LIST_WATCH_DELAY = 300.milliseconds

        /** The platform checks readiness every second and stops routing to a VM after two failures. */
        val READINESS_DELAY = 2500.milliseconds
        val DRAIN_POLL_INTERVAL = 50.milliseconds
        val SHUTDOWN_MARGIN = 1.seconds
    }
}
