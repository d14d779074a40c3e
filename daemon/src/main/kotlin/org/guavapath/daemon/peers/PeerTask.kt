/**
 * The links to other daemons.
 *
 * This VM dials the addresses that it is told to. It sends on the links that it dialled, and on those
 * that others dialled where it has none of its own. A link that is silent for too long is closed and
 * dialled again.
 */
package org.guavapath.daemon.peers

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import org.guavapath.core.identity.VmId
import org.guavapath.daemon.settings.ListenAddress
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds

private val REDIAL_PAUSE = 300.milliseconds

/** Receives what other daemons send. */
internal interface PeerReceiver {
    suspend fun received(from: VmId, message: PeerMessage)

    /** A link to [peer] is up. */
    suspend fun linked(peer: VmId)
}

/** The task that owns the sockets to other daemons. */
internal class PeerTask(private val listen: ListenAddress, private val handshake: PeerHandshake) : PeerSender {
    private val logger = KotlinLogging.logger {}
    private val selector = SelectorManager(Dispatchers.IO)
    private val links = ConcurrentHashMap<VmId, PeerLink>()
    private val accepted = ConcurrentHashMap<VmId, PeerLink>()
    private val dialled = ConcurrentHashMap<String, Job>()

    /** VMs that this one dialled and is linked with now. */
    val linkedPeers: Set<VmId> get() = links.keys

    /** Starts to listen and returns the address in use; [receiver] gets all messages. */
    suspend fun start(scope: CoroutineScope, receiver: PeerReceiver): String {
        val server = aSocket(selector).tcp().bind(listen.host, listen.port)
        scope.launch { acceptAll(server, receiver) }
        return server.localAddress.toString().removePrefix("/")
    }

    /** Keeps a link to the daemon at [address], host and port; further calls change nothing. */
    fun keepLink(scope: CoroutineScope, address: String, receiver: PeerReceiver) {
        dialled.computeIfAbsent(address) { scope.launch { dialForever(it, receiver) } }
    }

    /** Ends the links to daemons at other than [addresses] and does not dial those again. */
    fun keepOnly(addresses: Set<String>) {
        (dialled.keys - addresses).forEach { dialled.remove(it)?.cancel() }
    }

    override fun send(to: VmId, message: PeerMessage) {
        (links[to] ?: accepted[to])?.send(message)
    }

    override fun sendToAll(message: PeerMessage) = links.values.forEach { it.send(message) }

    private suspend fun acceptAll(server: ServerSocket, receiver: PeerReceiver) = coroutineScope {
        while (true) {
            val socket = server.accept()
            launch { guarded("a dialling peer") { serve(socket, receiver) } }
        }
    }

    private suspend fun serve(socket: Socket, receiver: PeerReceiver) = socket.use {
        run(LinkEnd.ACCEPTOR, socket, accepted, receiver)
    }

    private suspend fun dialForever(address: String, receiver: PeerReceiver) {
        val host = address.substringBeforeLast(':')
        val port = address.substringAfterLast(':').toInt()
        while (true) {
            guarded(address) {
                withTimeout(SILENCE_LIMIT) { aSocket(selector).tcp().connect(host, port) }
                    .use { run(LinkEnd.DIALLER, it, links, receiver) }
            }
            delay(REDIAL_PAUSE)
        }
    }

    /** Opens a link on [socket] and keeps it among [present] until it ends. */
    private suspend fun run(
        end: LinkEnd,
        socket: Socket,
        present: ConcurrentHashMap<VmId, PeerLink>,
        receiver: PeerReceiver,
    ) {
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel()
        val other = withTimeout(SILENCE_LIMIT) { handshake.open(input, output, end) }
        val link = PeerLink(other.vm, input, output, end)
        present[other.vm] = link
        try {
            link.run(receiver)
        } finally {
            present.remove(other.vm, link)
        }
    }

    /** Runs [block] and logs how the link ended, so that one bad link ends only itself. */
    private suspend fun guarded(peer: String, block: suspend () -> Unit) {
        try {
            block()
        } catch (exception: PeerProtocolException) {
            logger.warn { "link with $peer refused: ${exception.message}" }
        } catch (exception: IOException) {
            logger.debug(exception) { "link with $peer ended" }
        } catch (exception: kotlinx.coroutines.TimeoutCancellationException) {
            logger.debug(exception) { "link with $peer silent" }
        } catch (exception: java.nio.channels.UnresolvedAddressException) {
            logger.warn(exception) { "address of $peer is not valid" }
        }
    }
}
