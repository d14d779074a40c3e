package org.guavapath.daemon.gateway

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioChannelOption
import jdk.net.ExtendedSocketOptions
import org.guavapath.core.connections.SilencePolicy
import org.guavapath.core.connections.SilenceWatch
import org.guavapath.core.fleet.Replica
import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.identity.RequestId
import org.guavapath.core.time.MonotonicTime
import org.guavapath.platform.wire.ReplicaResponseHead
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A request handed to the pool; it can be cancelled. */
internal class PooledCall {
    private var connection: ReplicaConnection? = null

    /** Whether the call was cancelled. */
    var isCancelled = false
        private set

    /** Whether the request was handed to a connection. */
    val isConnected: Boolean get() = connection != null

    /** The local port of the connection, null if the request was not handed to one. */
    val port: Int? get() = connection?.port

    /** Number of requests that the connection has carried, null if the request was not handed to one. */
    val carried: Int? get() = connection?.carried?.count

    /** Called when nothing has arrived on a connection that was in use before. */
    internal var onSilent: () -> Unit = {}

    /** Reports that nothing has arrived since the request was sent, for longer than a response takes. */
    fun reportSilence() = onSilent()

    /** Cancels the call; its listener gets no more calls. */
    fun cancel() {
        isCancelled = true
        connection?.close()
    }

    fun setReading(isReading: Boolean) {
        connection?.isReading = isReading
    }

    /** Assigns [connection]; returns false if the call was cancelled before. */
    fun attach(connection: ReplicaConnection): Boolean {
        this.connection = connection
        return !isCancelled
    }
}

/**
 * Connection pool for all replicas; confined to one event loop.
 *
 * Callers' requests and the gateway's own calls use different connections: responses to calls name no request, so that
 * one could not be told from a late response to a request.
 */
internal class ReplicaPool(private val loop: EventLoop) {
    private class ConnectionSet(val silence: SilenceWatch) {
        val idle = ArrayDeque<ReplicaConnection>()

        /** Connections that replicas have not ended. */
        var open = 0
            private set

        fun take() = Place().also { open += 1 }

        /** The place of one connection among [open] ones. */
        inner class Place {
            private var isTaken = true

            fun release() {
                if (isTaken) open -= 1
                isTaken = false
            }
        }
    }

    /** All connections to one address of a replica. */
    private class ReplicaConnections(val address: String) {
        private val silence = SilenceWatch()
        val forRequests = ConnectionSet(silence)
        val forCalls = ConnectionSet(silence)

        operator fun contains(set: ConnectionSet): Boolean = set === forRequests || set === forCalls
    }

    private val connections = HashMap<ReplicaId, ReplicaConnections>()

    /** Called with the head of each response of a replica. */
    var onHead: (Replica, ReplicaResponseHead) -> Unit = { _, _ -> }

    /** Called with each response of a replica that belongs to another request than the pending one, or to none. */
    var onStray: (Replica, StrayResponse) -> Unit = { _, _ -> }

    /** Number of connections opened so far. */
    var opened = 0L
        private set

    /** Sends [request] on a recently used idle connection, or on a new one. */
    fun send(request: ReplicaRequest, listener: ReplicaResponseListener): PooledCall {
        val call = PooledCall()
        val connections = connectionsTo(request.replica)
        val pooled = if (request.id == null) connections.forCalls else connections.forRequests
        val idle = when (val choice = request.connection) {
            ConnectionChoice.New -> null
            is ConnectionChoice.Pooled -> takeIdle(pooled, request.id, choice.maxIdle)
        }
        when {
            idle != null -> sendOn(idle, pooled, request, listener, call)
            pooled.open >= request.maxConnections -> loop.execute {
                request.http.release()
                if (!call.isCancelled) listener.notSent("all ${pooled.open} connections to the replica are in use")
            }
            else -> connect(pooled, request, listener, call)
        }
        return call
    }

    /** Sends [request] on the used connection [idle] unless it is not wanted any more. */
    private fun sendOn(
        idle: ReplicaConnection,
        pooled: ConnectionSet,
        request: ReplicaRequest,
        listener: ReplicaResponseListener,
        call: PooledCall,
    ) {
        val refusal = request.refusal()
        if (refusal != null) {
            pooled.idle.addLast(idle)
            loop.execute {
                request.http.release()
                if (!call.isCancelled) listener.notSent(refusal, isOwnDecision = true)
            }
            return
        }
        call.attach(idle)
        val sentAt = MonotonicTime.now()
        call.onSilent = { pooled.silence.foundSilent(sentAt) }
        idle.send(request.http, request.id, listener)
    }

    /** Opens a connection to [replica] that carries no request and is not pooled; the caller closes it. */
    fun connectForProbe(replica: Replica): ChannelFuture {
        val address = SocketAddress.of(replica.address)
        opened += 1
        return bootstrap(
            ReplicaConnection(onIdle = { connection, _ -> connection.close() })
        ).connect(address.host, address.port)
    }

    /** Closes the idle connections to the removed [replica]; those in use close after their response. */
    fun drop(replica: ReplicaId) {
        val dropped = connections.remove(replica) ?: return
        (dropped.forRequests.idle + dropped.forCalls.idle).forEach { it.close() }
    }

    private fun connectionsTo(replica: Replica): ReplicaConnections {
        val pooled = connections[replica.id]
        if (pooled != null && pooled.address == replica.address) return pooled
        drop(replica.id)
        return ReplicaConnections(replica.address).also { connections[replica.id] = it }
    }

    /** Takes a connection that has not carried [id]: a late response to it would pass for a new one there. */
    private fun takeIdle(pooled: ConnectionSet, id: RequestId?, maxIdle: Duration): ReplicaConnection? {
        val now = MonotonicTime.now()
        while (pooled.idle.isNotEmpty()) {
            val newest = pooled.idle.removeLast()
            val idleFor = now - newest.idleSince
            val isRecent = idleFor <= minOf(maxIdle, newest.idleTimeout)
            val isUsable = newest.isIdle && isRecent && pooled.silence.mayUse(newest.idleSince)
            if (isUsable && (id == null || id !in newest.carried)) return newest
            newest.close()
        }
        return null
    }

    private fun connect(
        pooled: ConnectionSet,
        request: ReplicaRequest,
        listener: ReplicaResponseListener,
        call: PooledCall,
    ) {
        opened += 1
        val place = pooled.take()
        val replica = request.replica
        val isPooled = request.connection is ConnectionChoice.Pooled
        val connection = ReplicaConnection(
            onHead = { onHead(replica, it) },
            onStray = { onStray(replica, it) },
            onEnded = place::release,
            onIdle = { connection, head ->
                if (isPooled) recycle(replica.id, pooled, connection, head) else connection.close()
            },
        )
        val address = SocketAddress.of(replica.address)
        val connecting = bootstrap(connection).connect(address.host, address.port)
        connecting.channel().closeFuture().addListener {
            place.release()
            pooled.idle.remove(connection)
        }
        connecting.addListener { future ->
            when {
                future.isSuccess -> loop.afterNextPoll { sendFirst(connection, request, listener, call) }
                else -> {
                    request.http.release()
                    if (!call.isCancelled) listener.notSent("no connection: ${future.cause()?.message}")
                }
            }
        }
    }

    /** Sends [request] on the new [connection] unless it is not wanted any more. */
    private fun sendFirst(
        connection: ReplicaConnection,
        request: ReplicaRequest,
        listener: ReplicaResponseListener,
        call: PooledCall,
    ) {
        val canBeSent = call.attach(connection) && connection.isIdle
        val refusal = if (canBeSent) request.refusal() else null
        if (canBeSent && refusal == null) return connection.send(request.http, request.id, listener)
        request.http.release()
        connection.close()
        if (call.isCancelled) return
        listener.notSent(refusal ?: "the replica closed the new connection", isOwnDecision = refusal != null)
    }

    private fun recycle(
        replica: ReplicaId,
        pooled: ConnectionSet,
        connection: ReplicaConnection,
        head: ReplicaResponseHead,
    ) {
        connection.idleSince = MonotonicTime.now()
        connection.idleTimeout = head.keepAlive?.let { it - KEEP_ALIVE_MARGIN } ?: DEFAULT_IDLE_TIMEOUT
        val isCurrent = connections[replica]?.contains(pooled) ?: false
        if (isCurrent) pooled.idle.addLast(connection) else connection.close()
    }

    private fun bootstrap(connection: ReplicaConnection): Bootstrap = Bootstrap()
        .group(loop)
        .channel(ReplicaSocketChannel::class.java)
        // A reset that follows the end of a response is only seen while the connection is open.
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_SECONDS)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), SilencePolicy.TRANSPORT.probes)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT.inWholeMilliseconds.toInt())
        .handler(
            object : ChannelInitializer<SocketChannel>() {
                override fun initChannel(channel: SocketChannel) {
                    connection.install(channel.pipeline())
                }
            },
        )

    companion object {
        /** Connecting takes about 2 ms, or 200 ms and more if a lost packet must be retransmitted. */
        private val CONNECT_TIMEOUT = 350.milliseconds

        private val KEEP_ALIVE_SECONDS = SilencePolicy.TRANSPORT.probeInterval.inWholeSeconds.toInt()

        /** For replicas that do not state their idle timeout; shorter than any they may have. */
        val DEFAULT_IDLE_TIMEOUT = 2.seconds

        /** Margin before the replica's idle timeout, so that it does not close the connection as a request is sent. */
        private val KEEP_ALIVE_MARGIN = 500.milliseconds
    }
}
