package org.guavapath.daemon.gateway

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ResponseStreamTest {
    /** One connection, driven until it closes or all its requests have ended. */
    private class StutteringRun(seed: Int) {
        private val random = Random(seed)
        private val writer = StutteringWriter(random)
        private val driven = DrivenConnection()
        private val pieces = ArrayList<WrittenPiece>()
        private val requests = ArrayList<DrivenRequest>()

        /** How many bytes had been received when each request was sent. */
        private val sentAt = ArrayList<Int>()
        private var received = 0

        private val text get() = pieces.joinToString("") { it.text }

        fun drive() {
            while (driven.isOpen && (requests.size < REQUESTS || received < text.length)) {
                val mustSend = received == text.length
                val maySend = driven.isIdle && requests.size < REQUESTS
                if (maySend && (mustSend || random.nextInt(WAIT_SHARE) > 0)) send() else receive()
                if (received == text.length && !driven.isIdle) break
            }
            driven.close()
        }

        /** How many requests were sent before the last bytes that the replica wrote for the one before had arrived. */
        var sentAmidOthers = 0
            private set

        /** How many requests the connection has carried. */
        val carried: Int get() = requests.size

        private fun send() {
            if (received < text.length) sentAmidOthers += 1
            sentAt += received
            pieces += writer.write(requests.size)
            requests += driven.send(requestName(requests.size))
        }

        /** Has a segment arrive; every other one ends where something that the replica has written ends. */
        private fun receive() {
            val ends = pieces.runningFold(0) { at, piece -> at + piece.text.length }.filter { it > received }
            val longest = if (random.nextBoolean()) SHORT_SEGMENT else text.length
            val any = minOf(text.length - received, 1 + random.nextInt(longest))
            val length = if (random.nextBoolean()) ends.first() - received else any
            driven.receive(text.substring(received, received + length))
            received += length
        }

        fun check() {
            var endOfLast = 0
            requests.forEachIndexed { number, request ->
                val name = requestName(number)
                assertEquals(endOfLast, sentAt[number], "$name was sent although other bytes had arrived")
                val starts = pieces.runningFold(0) { at, piece -> at + piece.text.length }
                val arriving = pieces.drop(starts.indexOf(sentAt[number]))
                val expected = expectedResponse(number, arriving)
                when (val delivery = request.delivery) {
                    is Delivery.Whole ->
                        assertEquals(expected?.let { it.status to it.body }, delivery.status to delivery.body, name)
                    is Delivery.Failed -> assertEquals(null, expected?.body, "$name: ${delivery.reason}")
                    null -> assertTrue(false, "$name has no end")
                }
                if (expected != null) endOfLast = starts[pieces.indexOf(expected) + 1]
            }
        }
    }

    /** Requests got responses of others, or a success after a failure, from replicas that answer twice or break off. */
    @Test
    fun deliversTheFirstWholeResponseThatNamesTheRequestOrNone() {
        val first = Integer.getInteger("guavapath.firstSeed", 1)
        val seeds = Integer.getInteger("guavapath.seeds", SEEDS)
        val runs = (first until first + seeds).map { seed ->
            StutteringRun(seed).also { run ->
                run.drive()
                runCatching { run.check() }.onFailure { throw AssertionError("seed $seed: ${it.message}", it) }
            }
        }
        val reached = (1..REQUESTS).associateWith { count -> runs.count { it.carried >= count } }
        // A connection that has got a late response is not reused, so that few carry many requests.
        assertTrue(reached.getValue(2) > seeds / 2, "connections by requests carried: $reached")
        assertTrue(reached.getValue(REQUESTS - 1) > seeds / RARE_SHARE, "connections by requests carried: $reached")
        assertTrue(runs.sumOf { it.sentAmidOthers } > seeds / RARE_SHARE, "few requests were sent before late bytes")
    }

    private companion object {
        const val SEEDS = 5_000

        /** Part of the connections that must reach what matters most. */
        const val RARE_SHARE = 10
        const val REQUESTS = 4
        const val WAIT_SHARE = 5
        const val SHORT_SEGMENT = 40
    }
}
