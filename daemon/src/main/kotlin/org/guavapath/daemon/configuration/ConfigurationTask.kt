package org.guavapath.daemon.configuration

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.launch
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.guavapath.core.config.AcceptedChange
import org.guavapath.core.config.MANIFEST_OBJECT
import org.guavapath.core.config.Manifest
import org.guavapath.core.config.PART_OBJECT_PREFIX
import org.guavapath.core.config.PartCodec
import org.guavapath.core.identity.VmId
import org.guavapath.core.platform.ObjectApi
import org.guavapath.core.platform.ObjectVersion
import org.guavapath.core.results.Invariant
import org.guavapath.daemon.peers.PeerMessage
import org.guavapath.daemon.peers.PeerSender
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val WATCH_TIMEOUT = 20.seconds
private val RETRY_DELAY = 500.milliseconds
private const val MAILBOX_CAPACITY = 1_000

/** A message to [ConfigurationTask]. */
internal sealed class ConfigurationMessage {
    /** The platform holds [change], whose content is [parts]. */
    class FromPlatform(val change: AcceptedChange, val parts: List<String>) : ConfigurationMessage()

    /** A message of the configuration protocol from [peer]. */
    class FromPeer(val peer: VmId, val message: PeerMessage.OfConfiguration) : ConfigurationMessage()

    /** A link to [peer] is up; the peer may have an older configuration than this VM. */
    class PeerLinked(val peer: VmId) : ConfigurationMessage()
}

/**
 * Owns the configuration in force on this VM.
 *
 * Accepted changes arrive from a watch on the platform and from peers. Whatever its source, a change is adopted only if
 * its version is higher than the one in force. Adopted changes are offered to all peers.
 */
internal class ConfigurationTask(private val platform: ObjectApi, private val peers: PeerSender) {
    private val logger = KotlinLogging.logger {}
    private val mailbox = Channel<ConfigurationMessage>(MAILBOX_CAPACITY)
    private val inForce = MutableStateFlow<ActiveConfiguration?>(null)
    private var parts = emptyList<String>()

    /** The configuration in force, or null before the first one is adopted. */
    val active: StateFlow<ActiveConfiguration?> get() = inForce

    fun start(scope: CoroutineScope) {
        scope.launch { watchPlatform() }
        scope.launch { for (message in mailbox) handle(message) }
    }

    suspend fun send(message: ConfigurationMessage) = mailbox.send(message)

    private suspend fun watchPlatform() {
        var fetched = ObjectVersion.ABSENT
        while (true) {
            val next = platform.watch(MANIFEST_OBJECT, fetched, WATCH_TIMEOUT).getOrElse {
                delay(RETRY_DELAY)
                null
            } ?: continue
            if (fetch(next.text.orEmpty())) fetched = next.version else delay(RETRY_DELAY)
        }
    }

    /** Reads the parts that the manifest lists; returns whether all of them could be read. */
    private suspend fun fetch(manifestText: String): Boolean {
        val change = parse(manifestText)?.current
        val texts = change?.parts.orEmpty().mapNotNull { platform.read(PART_OBJECT_PREFIX + it).get()?.text }
        val isComplete = change != null && texts.size == change.parts.size
        if (change != null && isComplete) mailbox.send(ConfigurationMessage.FromPlatform(change, texts))
        return isComplete
    }

    private fun parse(text: String): Manifest? = try {
        Json.decodeFromString(Manifest.serializer(), text)
    } catch (exception: SerializationException) {
        logger.error(exception) { "the configuration manifest is malformed" }
        null
    }

    private fun handle(message: ConfigurationMessage) {
        when (message) {
            is ConfigurationMessage.FromPlatform -> adopt(message.change, message.parts, "platform")
            is ConfigurationMessage.FromPeer -> handlePeer(message.peer, message.message)
            is ConfigurationMessage.PeerLinked -> inForce.value?.let { offerTo(message.peer, it) }
        }
    }

    private fun handlePeer(peer: VmId, message: PeerMessage.OfConfiguration) {
        val current = inForce.value
        when (message) {
            is PeerMessage.ConfigurationOffer ->
                if (current == null || message.version > current.version) {
                    peers.send(peer, PeerMessage.ConfigurationWanted(message.version))
                }
            is PeerMessage.ConfigurationWanted ->
                current?.let { peers.send(peer, PeerMessage.ConfigurationContent(it.change, parts)) }
            is PeerMessage.ConfigurationContent ->
                adopt(message.change, message.parts, "peer $peer")
        }
    }

    private fun offerTo(peer: VmId, current: ActiveConfiguration) =
        peers.send(peer, PeerMessage.ConfigurationOffer(current.version))

    private fun adopt(change: AcceptedChange, texts: List<String>, source: String) {
        val previous = inForce.value
        if (previous != null && change.version <= previous.version) return
        if (texts.map { PartCodec.hashOf(it) } != change.parts) {
            logger.error { "configuration ${change.version} from $source has parts that do not match their hashes" }
            return
        }
        val next = ActiveConfiguration(change, PartCodec.join(texts))
        Invariant.check("configuration-never-reverts", previous == null || next.version > previous.version) {
            "${next.version} after ${previous?.version}"
        }
        parts = texts
        inForce.value = next
        logger.info { "configuration ${change.version} in force, from $source" }
        peers.sendToAll(PeerMessage.ConfigurationOffer(change.version))
    }
}
