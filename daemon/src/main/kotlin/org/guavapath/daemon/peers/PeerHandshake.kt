package org.guavapath.daemon.peers

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId
import org.guavapath.core.results.PeerCode
import java.security.MessageDigest
import java.security.SecureRandom
import java.util.HexFormat
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

private const val CHALLENGE_BYTES = 32
private const val MAC_ALGORITHM = "HmacSHA256"

/** The two ends of a link. The end is part of each proof, so that a proof cannot be reflected to its sender. */
internal enum class LinkEnd { DIALLER, ACCEPTOR }

/** Opens links: both ends identify themselves and prove that they know a shared secret. */
internal class PeerHandshake(
    private val vm: VmId,
    private val incarnation: Incarnation,
    private val secrets: List<String>,
    private val highestVersion: Int = HIGHEST_PROTOCOL_VERSION,
) {
    private val random = SecureRandom()

    /**
     * Runs the handshake as [end] and returns the other end's [PeerMessage.Hello].
     *
     * @throws PeerProtocolException if the other end speaks another protocol version or its proof is missing or wrong
     */
    suspend fun open(input: ByteReadChannel, output: ByteWriteChannel, end: LinkEnd): PeerMessage.Hello {
        val challenge = PeerMessage.Hello.challenge(newChallenge(), highestVersion)
        val own = PeerMessage.Hello(PROTOCOL_VERSION, vm, incarnation, challenge)
        PeerFrames.write(output, own)
        val other = PeerFrames.read(input) as? PeerMessage.Hello ?: refuse(PeerCode.FrameMalformed, "expected Hello")
        if (other.protocolVersion != PROTOCOL_VERSION) {
            refuse(PeerCode.PeerVersion, "version ${other.protocolVersion}, expected $PROTOCOL_VERSION")
        }
        PeerFrames.write(output, PeerMessage.Proof(authenticationCode(secrets.first(), end, own, other.challenge)))
        val proof = PeerFrames.read(input) as? PeerMessage.Proof ?: refuse(PeerCode.FrameMalformed, "expected Proof")
        val otherEnd = if (end == LinkEnd.DIALLER) LinkEnd.ACCEPTOR else LinkEnd.DIALLER
        val proved = secrets.any {
            constantTimeEquals(authenticationCode(it, otherEnd, other, own.challenge), proof.code)
        }
        if (!proved) refuse(PeerCode.PeerUnproven, "from VM ${other.vm}")
        return other
    }

    private fun authenticationCode(secret: String, end: LinkEnd, sender: PeerMessage.Hello, challenge: String): String {
        val mac = Mac.getInstance(MAC_ALGORITHM)
        mac.init(SecretKeySpec(secret.toByteArray(), MAC_ALGORITHM))
        val text = listOf(end.name, sender.vm, sender.incarnation, sender.challenge, challenge).joinToString("\n")
        return HexFormat.of().formatHex(mac.doFinal(text.toByteArray()))
    }

    private fun newChallenge(): String {
        val bytes = ByteArray(CHALLENGE_BYTES)
        random.nextBytes(bytes)
        return HexFormat.of().formatHex(bytes)
    }

    private fun constantTimeEquals(first: String, second: String): Boolean =
        MessageDigest.isEqual(first.toByteArray(), second.toByteArray())

    private fun refuse(code: PeerCode, detail: String): Nothing = throw PeerProtocolException(code, detail)
}
