package org.guavapath.daemon.peers

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeout
import org.guavapath.core.identity.VmId
import kotlin.time.Duration.Companion.seconds

private val HEARTBEAT_INTERVAL = 1.seconds
private const val QUEUE_SIZE = 10_000

/** A link is closed when nothing came for so long. */
internal val SILENCE_LIMIT = 3.seconds

/** An open link with [peer]; messages go both ways, and the side that dialled asks for signs of life. */
internal class PeerLink(
    val peer: VmId,
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
    private val end: LinkEnd,
) {
    private val queue = Channel<PeerMessage>(QUEUE_SIZE)

    /** Queues [message]; it is dropped if the queue is full. */
    fun send(message: PeerMessage) {
        queue.trySend(message)
    }

    /** Runs the link until it fails or is silent; [receiver] gets what comes. */
    suspend fun run(receiver: PeerReceiver) = coroutineScope {
        launch { writeAll() }
        launch { readAll(receiver) }
        if (end == LinkEnd.DIALLER) {
            launch { beat() }
            receiver.linked(peer)
        }
    }

    private suspend fun writeAll() {
        for (message in queue) PeerFrames.write(output, message)
    }

    private suspend fun readAll(receiver: PeerReceiver) {
        while (true) {
            when (val message = withTimeout(SILENCE_LIMIT) { PeerFrames.read(input) }) {
                is PeerMessage.Heartbeat -> if (end == LinkEnd.ACCEPTOR) send(PeerMessage.Heartbeat)
                else -> receiver.received(peer, message)
            }
        }
    }

    private suspend fun beat() {
        while (true) {
            queue.send(PeerMessage.Heartbeat)
            delay(HEARTBEAT_INTERVAL)
        }
    }
}
