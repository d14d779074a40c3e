package org.guavapath.daemon.gateway

import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.readLines
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class MemoryEndTest {
    /** The JVM options with which the platform runs the gateway. */
    private val options = Path.of("../deploy/system.toml").readLines().single { it.startsWith("run = ") }
        .split(' ').filter { it.startsWith("-X") && "Shared" !in it }

    /** Guards against a process that lives on without the tasks that have died of an exhausted heap. */
    @Test
    fun aProcessWhoseHeapIsExhaustedEndsWithACodeOfItsOwn() {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val command = listOf(java) + options + listOf("-cp", System.getProperty("java.class.path"), MAIN)
        val process = ProcessBuilder(command).start()
        assertTrue(process.waitFor(30, TimeUnit.SECONDS), "it lives on")
        val last = process.errorStream.bufferedReader().readLines().last()
        assertEquals(EXIT_OUT_OF_MEMORY, process.exitValue())
        assertEquals("Terminating due to java.lang.OutOfMemoryError: Java heap space", last)
    }

    @Test
    fun onlyExhaustedMemoryEndsTheProcess() {
        val cases = listOf(
            OutOfMemoryError("Cannot reserve 9 bytes of direct buffer memory") to listOf(EXIT_OUT_OF_MEMORY),
            IllegalStateException("another failure") to emptyList(),
        )
        cases.forEach { (cause, expected) ->
            val ends = ArrayList<Int>()
            endIfOutOfMemory(cause) { ends += it }
            assertEquals(expected, ends, cause.message)
        }
    }

    private companion object {
        const val MAIN = "org.guavapath.daemon.gateway.HeapExhaustionKt"
    }
}
