package org.guavapath.daemon.peers

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.guavapath.core.identity.Incarnation
import org.guavapath.core.identity.VmId
import org.guavapath.daemon.settings.ListenAddress
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

class FailedLinkTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)

    @AfterTest
    fun stop() = scope.cancel()

    /** Fails on the first message with [failure]. */
    private class Receiver(private val failure: () -> Throwable) : PeerReceiver {
        val received = AtomicInteger()

        override suspend fun received(from: VmId, message: PeerMessage) {
            if (received.incrementAndGet() == 1) throw failure()
        }

        override suspend fun linked(peer: VmId) = Unit
    }

    private fun task(vm: String) = PeerTask(
        ListenAddress("127.0.0.1", 0),
        PeerHandshake(VmId(vm), Incarnation(1), listOf("at least sixteen characters")),
    )

    /** Guards against a message on which a daemon fails and after which it has no links, at either end. */
    @Test
    fun linksAreOpenedAgainAfterAnyFailure() {
        val failures = listOf<Pair<String, () -> Throwable>>(
            "a fault of the program" to { IllegalStateException("a fault") },
            "an exhausted stack" to { StackOverflowError() },
        )
        failures.forEach { (name, failure) ->
            listOf(true, false).forEach { isDialler -> assertOpenedAgain(name, failure, isDialler) }
        }
    }

    private fun assertOpenedAgain(name: String, failure: () -> Throwable, isDialler: Boolean) {
        val (failing, sound) = Receiver(failure) to Receiver(failure).apply { received.set(1) }
        val (dialler, acceptor) = task("vm-1") to task("vm-2")
        val address = runBlocking { acceptor.start(scope, if (isDialler) sound else failing) }
        dialler.keepLink(scope, address, if (isDialler) failing else sound)
        val (from, to) = if (isDialler) acceptor to VmId("vm-1") else dialler to VmId("vm-2")
        val start = TimeSource.Monotonic.markNow()
        while (failing.received.get() < 2) {
            assertTrue(start.elapsedNow() < 5.seconds, "$name, at the end that dials: $isDialler")
            from.send(to, PeerMessage.RolloutInvitation)
            Thread.sleep(20)
        }
    }
}
