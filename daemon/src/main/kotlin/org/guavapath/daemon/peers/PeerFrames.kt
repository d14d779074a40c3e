package org.guavapath.daemon.peers

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.guavapath.core.results.PeerCode
import java.io.IOException

private const val MAX_FRAME_BYTES = 16_000_000

/** Thrown when a peer violates the protocol; the link is closed. */
internal class PeerProtocolException(val code: PeerCode, detail: String, cause: Exception? = null) :
    IOException("$code: $detail", cause)

/** Reads and writes messages as length-prefixed CBOR frames. */
internal object PeerFrames {
    private val cbor = Cbor { ignoreUnknownKeys = false }

    fun encode(message: PeerMessage): ByteArray = cbor.encodeToByteArray<PeerMessage>(message)

    suspend fun write(channel: ByteWriteChannel, message: PeerMessage) {
        val bytes = encode(message)
        channel.writeInt(bytes.size)
        channel.writeByteArray(bytes)
        channel.flush()
    }

    /**
     * Reads the next message.
     *
     * @throws PeerProtocolException if the frame is larger than allowed or cannot be decoded
     * @throws IOException if the connection ends
     */
    suspend fun read(channel: ByteReadChannel): PeerMessage {
        val size = channel.readInt()
        if (size !in 1..MAX_FRAME_BYTES) {
            throw PeerProtocolException(PeerCode.FrameTooLarge, "$size bytes, allowed are 1 to $MAX_FRAME_BYTES")
        }
        return decode(channel.readByteArray(size))
    }

    /** Decodes a frame; every decoder error is an [IllegalArgumentException]. */
    private fun decode(bytes: ByteArray): PeerMessage = try {
        cbor.decodeFromByteArray<PeerMessage>(bytes)
    } catch (exception: IllegalArgumentException) {
        throw PeerProtocolException(PeerCode.FrameMalformed, "${bytes.size} bytes", exception)
    }
}
