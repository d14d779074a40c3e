package org.guavapath.daemon.peers

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId
import org.guavapath.daemon.settings.ListenAddress
import java.util.HexFormat
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PeerVersionTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)

    /** A daemon that keeps what it receives. */
    private inner class Peer(name: String, highestVersion: Int) : PeerReceiver {
        val vm = VmId(name)
        val messages = Channel<PeerMessage>(Channel.UNLIMITED)
        val linkedPeers = Channel<VmId>(Channel.UNLIMITED)
        private val handshake = PeerHandshake(vm, Incarnation(1), listOf("at least sixteen characters"), highestVersion)
        val task = PeerTask(ListenAddress("127.0.0.1", 0), handshake)

        override suspend fun received(from: VmId, message: PeerMessage) {
            messages.send(message)
        }

        override suspend fun linked(peer: VmId) {
            linkedPeers.send(peer)
        }
    }

    @AfterTest
    fun stop() = scope.cancel()

    /** Returns what [receiver] gets of [messages] of [sender], up to and including the last. */
    private fun deliver(sender: Peer, receiver: Peer, messages: List<PeerMessage>): List<PeerMessage> = runBlocking {
        val address = receiver.task.start(scope, receiver)
        sender.task.keepLink(scope, address, sender)
        withTimeout(5.seconds) { sender.linkedPeers.receive() }
        delay(100.milliseconds)
        messages.forEach { sender.task.send(receiver.vm, it) }
        val received = ArrayList<PeerMessage>()
        withTimeout(5.seconds) {
            while (received.lastOrNull() != messages.last()) received += receiver.messages.receive()
        }
        received
    }

    /** Guards against messages on which a daemon of the build before closes its link. */
    @Test
    fun daemonsOfAnEarlierVersionReceiveOnlyMessagesThatTheyUnderstand() {
        val common = PeerMessage.ViewWanted("kind")
        val newer = PeerMessage.PermitDecided(number = 1, isGranted = true, retryAfterMilliseconds = 0)
        val sent = listOf(common, newer, common.copy(kind = "last"))
        val cases = listOf(
            Triple("the same build", HIGHEST_PROTOCOL_VERSION, sent),
            Triple("the build before", PROTOCOL_VERSION, sent - newer),
        )
        cases.forEach { (name, version, expected) ->
            val sender = Peer("sender", HIGHEST_PROTOCOL_VERSION)
            assertEquals(expected, deliver(sender, Peer("receiver", version), sent), name)
        }
    }

    /** Guards against changes of messages that daemons of protocol version 2 read; that build recorded the bytes. */
    @Test
    fun messagesOfVersionTwoAreUnchanged() {
        val recorded = checkNotNull(javaClass.getResource("/peers/version-2.txt")).readText().lines()
            .associate { it.substringBefore(' ') to it.substringAfter(' ') }
        SAMPLES.forEach { (name, message) ->
            assertEquals(recorded[name], HexFormat.of().formatHex(PeerFrames.encode(message)), name)
        }
    }

    private companion object {
        val SAMPLES = listOf(
            "hello" to PeerMessage.Hello(2, VmId("vm"), Incarnation(7), "challenge"),
            "status" to PeerMessage.FleetStatus(
                Incarnation(7),
                isHub = true,
                vms = 2,
                mapOf("kind" to 3),
                emptyMap(),
                mapOf("replica" to PeerMessage.SharedLoad(5, 1)),
                isServedByStore = true,
                PeerMessage.RolloutHolder(VmId("vm"), 4),
            ),
            "view" to PeerMessage.ViewContent("kind", 9, mapOf("name" to PeerMessage.SharedObject(8, "{}"))),
            "changes" to PeerMessage.ViewChanged("kind", 8, 9, listOf(PeerMessage.SharedChange("name", 9, null))),
            "crashes" to PeerMessage.PromptCrashes(emptyList(), isGreeting = true),
            "loaded" to PeerMessage.ReplicaLoaded("replica", "model", 2),
        )
    }
}
