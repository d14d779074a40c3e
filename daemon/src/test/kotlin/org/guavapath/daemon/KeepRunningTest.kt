package org.guavapath.daemon

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class KeepRunningTest {
    /** Guards against a task that others rely on and that ends for good by a failure that nobody named. */
    @Test
    fun aTaskGoesOnAfterAnyFailure() {
        val failures = listOf(
            "an I/O failure" to IOException("lost"),
            "a fault of the program" to IllegalStateException("a fault"),
            "an exhausted stack" to StackOverflowError(),
            "a timeout of its own" to CancellationException("not of this task"),
        )
        failures.forEach { (name, failure) ->
            runBlocking {
                val begins = Channel<Int>(Channel.UNLIMITED)
                var count = 0
                val job = keepRunning(name) {
                    begins.send(++count)
                    if (count < 3) throw failure
                    awaitCancellation()
                }
                val seen = withTimeoutOrNull(5.seconds) { List(3) { begins.receive() } }
                assertEquals(listOf(1, 2, 3), assertNotNull(seen, name), name)
                withTimeout(1.seconds) { job.cancelAndJoin() }
            }
        }
    }

    @Test
    fun aTaskThatReturnsIsNotBegunAgain() = runBlocking {
        var count = 0
        val job = keepRunning("a short task") { count += 1 }
        assertNotNull(withTimeoutOrNull(100.milliseconds) { job.join() })
        assertEquals(1, count)
    }
}
