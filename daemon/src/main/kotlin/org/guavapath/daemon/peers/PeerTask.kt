/**
 * The links to other daemons.
 *
 * This VM dials the addresses passed to it. It sends on the links that it dialled, and on accepted links to VMs that it
 * has no dialled link to. A link that is silent for too long is closed and dialled again.
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
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import org.guavapath.core.identity.VmId
import org.guavapath.daemon.gateway.endIfOutOfMemory
import org.guavapath.daemon.keepRunning
import org.guavapath.daemon.settings.ListenAddress
import java.io.IOException
import java.nio.channels.UnresolvedAddressException
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration.Companion.milliseconds

private val REDIAL_DELAY = 300.milliseconds

/** Receives messages of other daemons. */
internal interface PeerReceiver {
    suspend fun received(from: VmId, message: PeerMessage)

    /** Called when a link to [peer] that this VM dialled is open. */
    suspend fun linked(peer: VmId)
}

/** The task that owns the sockets to other daemons. */
internal class PeerTask(private val listen: ListenAddress, private val handshake: PeerHandshake) : PeerSender {
    private val logger = KotlinLogging.logger {}
    private val selector = SelectorManager(Dispatchers.IO)
    private val dialledLinks = ConcurrentHashMap<VmId, PeerLink>()
    private val acceptedLinks = ConcurrentHashMap<VmId, PeerLink>()
    private val dialJobs = ConcurrentHashMap<String, Job>()

    /** VMs with an open link that this one dialled. */
    val linkedPeers: Set<VmId> get() = dialledLinks.keys

    /** Starts listening and returns the bound address; [receiver] receives all messages of accepted links. */
    suspend fun start(scope: CoroutineScope, receiver: PeerReceiver): String {
        val server = aSocket(selector).tcp().bind(listen.host, listen.port)
        scope.keepRunning("links from peers") { acceptAll(server, receiver) }
        return server.localAddress.toString().removePrefix("/")
    }

    /** Keeps a link open to the daemon at [address], given as `HOST:PORT`; does nothing if it is dialled already. */
    fun keepLink(scope: CoroutineScope, address: String, receiver: PeerReceiver) {
        dialJobs.computeIfAbsent(address) { scope.keepRunning("link with $it") { dialForever(it, receiver) } }
    }

    /** Closes the dialled links to all addresses but [addresses] and stops dialling them. */
    fun keepOnly(addresses: Set<String>) {
        (dialJobs.keys - addresses).forEach { dialJobs.remove(it)?.cancel() }
    }

    /** Closes all links and the listener, and frees the thread that waits for them. */
    fun close() = selector.close()

    override fun send(to: VmId, message: PeerMessage) {
        (dialledLinks[to] ?: acceptedLinks[to])?.send(message)
    }

    override fun sendToAll(message: PeerMessage) = dialledLinks.values.forEach { it.send(message) }

    private suspend fun acceptAll(server: ServerSocket, receiver: PeerReceiver) = coroutineScope {
        while (true) {
            val socket = server.accept()
            launch {
                guarded("an accepted peer") { socket.use { run(LinkEnd.ACCEPTOR, it, acceptedLinks, receiver) } }
            }
        }
    }

    private suspend fun dialForever(address: String, receiver: PeerReceiver) {
        val host = address.substringBeforeLast(':')
        val port = address.substringAfterLast(':').toInt()
        while (true) {
            guarded(address) {
                withTimeout(SILENCE_TIMEOUT) { aSocket(selector).tcp().connect(host, port) }
                    .use { run(LinkEnd.DIALLER, it, dialledLinks, receiver) }
            }
            delay(REDIAL_DELAY)
        }
    }

    /** Opens a link on [socket] and keeps it in [openLinks] until it ends. */
    private suspend fun run(
        end: LinkEnd,
        socket: Socket,
        openLinks: ConcurrentHashMap<VmId, PeerLink>,
        receiver: PeerReceiver,
    ) {
        val input = socket.openReadChannel()
        val output = socket.openWriteChannel()
        val other = withTimeout(SILENCE_TIMEOUT) { handshake.open(input, output, end) }
        val link = PeerLink(other.vm, other.highestVersion, input, output, end)
        openLinks[other.vm] = link
        try {
            link.run(receiver)
        } finally {
            openLinks.remove(other.vm, link)
        }
    }

    /** Runs [block] and logs how the link ended, so that a failed link does not affect the others. */
    private suspend fun guarded(peer: String, block: suspend () -> Unit) {
        val failure = runCatching { block() }.exceptionOrNull()
        currentCoroutineContext().ensureActive()
        when (failure) {
            null -> Unit
            is PeerProtocolException -> logger.warn { "link with $peer refused: ${failure.message}" }
            is IOException -> logger.debug(failure) { "link with $peer ended" }
            is TimeoutCancellationException -> logger.debug(failure) { "link with $peer timed out" }
            is UnresolvedAddressException -> logger.warn(failure) { "address $peer cannot be resolved" }
            else -> {
                endIfOutOfMemory(failure)
                logger.error(failure) { "link with $peer failed" }
            }
        }
    }
}
