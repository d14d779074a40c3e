/** Wires the parts of a gateway together and runs them from start to graceful shutdown. */
package org.guavapath.daemon.gateway

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.guavapath.core.fleet.FleetConfiguration
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.placement.Placement
import org.guavapath.core.placement.PromptDirectory
import org.guavapath.core.placement.ReplicaBook
import org.guavapath.core.quota.FleetQuota
import org.guavapath.core.results.Invariant
import org.guavapath.core.store.ObjectKind
import org.guavapath.core.store.ObjectStore
import org.guavapath.core.time.MonotonicTime
import org.guavapath.core.weights.NamedWeights
import org.guavapath.daemon.peers.PeerHandshake
import org.guavapath.daemon.peers.PeerMessage
import org.guavapath.daemon.peers.PeerReceiver
import org.guavapath.daemon.peers.PeerTask
import org.guavapath.daemon.settings.ListenAddress
import org.guavapath.platform.wire.ConfigurationCodec
import org.guavapath.platform.wire.ReplicaCodec
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One gateway. Its state lives on one event loop. */
internal class Gateway(private val settings: GatewaySettings, private val store: ObjectStore) : PeerReceiver {
    private val incarnation = Incarnation(System.currentTimeMillis())
    private val startedAt = MonotonicTime.now()
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next() as io.netty.channel.EventLoop
    private val scope = CoroutineScope(SupervisorJob() + loop.asCoroutineDispatcher())
    private val log = GatewayLog()
    private val metrics = GatewayMetrics()
    private val pool = ReplicaPool(loop)
    private val book = ReplicaBook()
    private val directory = PromptDirectory()
    private val weights = NamedWeights()
    private val quota = FleetQuota(startedAt, settings.isFirstStart)
    private val members = Members(settings.vm, MemberEntry(settings.peers, incarnation), store, log)
    private val peers = PeerTask(
        SocketAddress.of(settings.peers).let { ListenAddress(it.host, it.port) },
        PeerHandshake(settings.vm, incarnation, settings.peerSecrets),
    )
    private val configurationView = StoreView(CONFIGURATIONS, store, CONFIGURATION_PAUSE, log) { configured() }
    private val replicasView = StoreView(REPLICAS, store, REPLICA_PAUSE, log) { replicasChanged() }
    private val weightsView = StoreView(WEIGHTS, store, CONFIGURATION_PAUSE, log) { weightsNamed() }
    private val membersView = StoreView(Members.MEMBERS, store, CONFIGURATION_PAUSE, log) { membersChanged() }
    private val views = listOf(configurationView, replicasView, weightsView, membersView)
    private val lease = RolloutLease(settings.vm, incarnation, store, log)
    private val exchange = PeerExchange(settings.vm, views, peers, members, lease)
    private val replicas = ReplicaList(book, directory, pool, log)
    private val rollout = RolloutTask(
        settings.vm,
        lease,
        book,
        weights,
        directory,
        ReplicaCalls(pool),
        log,
        peers::sendToAll,
        exchange::isRolloutCandidate,
    )
    private val reception = Reception(context()) { configuration }
    private var configuration: FleetConfiguration? = null

    /** Starts everything. */
    fun start() {
        log.belief("started", "vm" to settings.vm.text, "incarnation" to incarnation.number, "settings" to shown())
        metrics.gauge("guavapath.gateway.running") { reception.running }
        metrics.gauge("guavapath.gateway.replica.connections.opened") { pool.opened }
        metrics.gauge("guavapath.gateway.configuration.version") { configuration?.version?.number ?: 0 }
        metrics.gauge("guavapath.gateway.reachable.share") { quota.reachableShare(MonotonicTime.now()) }
        views.forEach { scope.launch { it.follow() } }
        scope.launch { peers.start(scope, this@Gateway) }
        settings.peerSeeds.filter { it != settings.peers }.forEach { peers.keepLink(scope, it, this) }
        scope.launch { members.keepRegistered { membersView.objects } }
        scope.launch { members.removeSilent { membersView.objects } }
        scope.launch { exchange.tellForever(incarnation, quota, book) }
        scope.launch { rollout.run(scope) }
        FrontServer(group, reception).start(SocketAddress.of(settings.callers))
        ReadinessServer(group, ::isReady, metrics::text).start(SocketAddress.of(settings.readiness))
    }

    /** Stops taking connections, lets requests end and leaves the fleet. */
    fun shutDown() {
        log.belief("stopping", "requests" to reception.running)
        runBlocking {
            withContext(scope.coroutineContext) {
                reception.drain()
                withTimeoutOrNull(settings.drainLimit - STOP_MARGIN) { awaitCallers() }
                withTimeoutOrNull(STOP_MARGIN) { members.leave { membersView.objects } }
            }
        }
        log.belief("stopped", "connectionsLeft" to reception.closeIdle())
    }

    override suspend fun received(from: VmId, message: PeerMessage) {
        when (message) {
            is PeerMessage.FleetStatus -> {
                members.heard(from)
                quota.report(from, message.incarnation, message.usage, MonotonicTime.now())
                exchange.heard(from, message, book)
            }
            is PeerMessage.ViewWanted -> exchange.share(from, message)
            is PeerMessage.ViewContent -> exchange.adopt(from, message)
            is PeerMessage.ReplicaLoading -> rollout.loading(message)
            is PeerMessage.ReplicaLoaded -> rollout.loaded(message)
            else -> Unit
        }
    }

    override suspend fun linked(peer: VmId) = log.belief("peer linked", "peer" to peer.text)

    /** Callers keep coming until the platform has seen twice that this VM is not ready; then idle connections end. */
    private suspend fun awaitCallers() {
        delay(LEAVING_PAUSE)
        while (reception.closeIdle() > 0) delay(DRAIN_POLL)
    }

    private fun isReady(): Boolean = !reception.isDraining && configuration != null && book.all.isNotEmpty()

    private fun configured() {
        val stored = configurationView.objects[MAIN_CONFIGURATION] ?: return
        val next = ConfigurationCodec.decode(stored.value).getOrElse {
            log.belief("configuration ignored", "revision" to stored.revision.number, "error" to it)
            return
        }
        val before = configuration
        if (before != null && next.version <= before.version) return
        Invariant.check("fleet-configuration-never-reverts", before == null || next.version > before.version) {
            "${next.version} after ${before?.version}"
        }
        configuration = next
        quota.configure(next.workspaces.orEmpty(), MonotonicTime.now())
        log.belief("configuration in force", "version" to next.version.number, "former" to before?.version?.number)
    }

    private fun replicasChanged() {
        if (replicas.update(replicasView)) {
            scope.launch {
                delay(ReplicaList.RETURN_LIMIT)
                replicas.update(replicasView)
            }
        }
    }

    private fun weightsNamed() {
        val now = MonotonicTime.now()
        weightsView.objects.values.forEach { stored ->
            ReplicaCodec.naming(stored.value).fold(
                success = { naming ->
                    if (weights.name(naming.model, naming.number, now)) {
                        log.belief("weights named", "model" to naming.model.text, "weights" to naming.number.number)
                    }
                },
                failure = { log.belief("weights naming ignored", "name" to stored.name, "error" to it) },
            )
        }
    }

    private fun membersChanged() {
        val before = members.others
        if (!members.update(membersView.objects)) return
        quota.setMembers(members.others.keys)
        members.others.values.forEach { peers.keepLink(scope, it, this) }
        (before.values - members.others.values.toSet()).forEach { peers.dropLink(it) }
        log.belief("members", "others" to members.others.keys.map { it.text })
    }

    private fun context() = ExchangeContext(
        loop,
        pool,
        book,
        directory,
        weights,
        Placement(settings.failureDomain, book, directory, weights),
        quota,
        log,
        metrics,
        settings,
    ) { members.fleetSize }

    private fun shown() = settings.copy(peerSecrets = emptyList()).toString()

    private companion object {
        val CONFIGURATIONS = ObjectKind("config")
        val REPLICAS = ObjectKind("servers")
        val WEIGHTS = ObjectKind("versions")
        const val MAIN_CONFIGURATION = "main"
        val CONFIGURATION_PAUSE = 20.milliseconds

        /** Several replicas change at once during a rollout; two seconds are allowed for one that leaves. */
        val REPLICA_PAUSE = 300.milliseconds

        /** The platform asks each second and takes a VM out after two misses. */
        val LEAVING_PAUSE = 2500.milliseconds
        val DRAIN_POLL = 50.milliseconds
        val STOP_MARGIN = 1.seconds
    }
}
