package org.guavapath.daemon.peers

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.guavapath.core.connections.SilencePolicy
import org.guavapath.core.identity.VmId
import java.io.IOException

private const val QUEUE_CAPACITY = 10_000

/** A link is closed when nothing was received for this long. */
internal val SILENCE_TIMEOUT = SilencePolicy.LINK.limit

/**
 * An open link with [peer], which understands protocol versions up to [version].
 *
 * Both ends send messages; the accepting end returns the dialling end's heartbeats.
 */
internal class PeerLink(
    val peer: VmId,
    private val version: Int,
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
    private val end: LinkEnd,
) {
    private val queue = Channel<PeerMessage>(QUEUE_CAPACITY)

    /** Queues [message]; it is dropped if the queue is full or the peer does not understand it. */
    fun send(message: PeerMessage) {
        message.forVersion(version)?.let { queue.trySend(it) }
    }

    /** Runs the link until it fails or times out; passes messages other than heartbeats to [receiver]. */
    suspend fun run(receiver: PeerReceiver) = coroutineScope {
        launch { writeAll() }
        launch { readAll(receiver) }
        if (end == LinkEnd.DIALLER) {
            launch { sendHeartbeats() }
            receiver.linked(peer)
        }
    }

    private suspend fun writeAll() {
        for (message in queue) PeerFrames.write(output, message)
    }

    private suspend fun readAll(receiver: PeerReceiver) {
        while (true) {
            // A timeout exception would end this coroutine only, and leave the link open.
            val received = withTimeoutOrNull(SILENCE_TIMEOUT) { PeerFrames.read(input) }
            when (val message = received ?: throw IOException("nothing was received for $SILENCE_TIMEOUT")) {
                is PeerMessage.Heartbeat -> if (end == LinkEnd.ACCEPTOR) send(PeerMessage.Heartbeat)
                else -> receiver.received(peer, message)
            }
        }
    }

    private suspend fun sendHeartbeats() {
        while (true) {
            queue.send(PeerMessage.Heartbeat)
            delay(SilencePolicy.LINK.probeInterval)
        }
    }
}
