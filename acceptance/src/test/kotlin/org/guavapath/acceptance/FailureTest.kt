package org.guavapath.acceptance

import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class FailureTest {
    private val fleet = Fleet(daemons = 3, engines = 2)

    @AfterTest
    fun closeFleet() = fleet.close()

    @Test
    fun streamsSurviveFaultsOfOneEngine() {
        val expected = texts(fleet.send(fleet.completion(0, Fleet.KEY, "same prompt", stream = true, tokens = 20)).body)
        listOf(
            """{"breakAfterTokens":7}""",
            """{"silentAfterTokens":7}""",
            """{"refuse":true}""",
            """{"skipSequence":5}""",
            """{"foreignIdAt":5}""",
        ).forEach { fault ->
            fleet.put("${fleet.engine(0)}/faults", fault)
            repeat(3) { daemon ->
                val actual = fleet.send(fleet.completion(daemon, Fleet.KEY, "same prompt", stream = true, tokens = 20))
                assertEquals(expected, texts(actual.body), "$fault through daemon $daemon")
                assertTrue(actual.body.trimEnd().endsWith("data: [DONE]"), fault)
            }
            fleet.put("${fleet.engine(0)}/faults", "{}")
        }
    }

    @Test
    fun aStreamThatCannotBeResumedEndsWithAnErrorEvent() {
        repeat(2) { fleet.put("${fleet.engine(it)}/faults", """{"breakAfterTokens":5}""") }
        val once = fleet.completion(0, Fleet.KEY, "x", stream = true).newBuilder()
            .url("${fleet.caller(0)}/once/v1/completions").build()
        val body = fleet.send(once).body
        assertContains(body, "event: error")
        assertContains(body, "\"code\":5003")
        assertFalse("[DONE]" in body)
    }

    @Test
    fun aWithdrawnKeyStopsNewRequestsAndRunningStreams() {
        val response = fleet.open(fleet.completion(0, Fleet.KEY, "x", stream = true, tokens = 6_000))
        val lines = response.body.source()
        assertContains(lines.readUtf8Line().orEmpty(), "data:")
        val (status, output) = fleet.runCommand("key", "withdraw", "main")
        assertEquals(0, status, output)
        val rest = generateSequence { lines.readUtf8Line() }.joinToString("\n")
        assertContains(rest, "event: error")
        assertContains(rest, "\"code\":3005")
        repeat(3) { daemon ->
            Fleet.eventually("daemon $daemon refuses the key") {
                fleet.send(fleet.completion(daemon, Fleet.KEY, "x", stream = false)).result == "3003"
            }
            assertEquals(200, fleet.send(fleet.completion(daemon, Fleet.OTHER_KEY, "x", stream = false)).status)
        }
    }

    @Test
    fun aNonRepeatableRequestRunsAtMostOnce() {
        data class Case(val operation: String, val fault: String, val results: List<String>, val runs: Int)
        listOf(
            Case("plain", "{}", listOf("1000", "5010"), runs = 1),
            Case("retry-now", """{"refuseWithRetryNow":true}""", listOf("1000", "5010"), runs = 1),
            // A status that is none of HTTP is no answer to relay (MIXED).
            Case("no-status", """{"status":600}""", listOf("5003"), runs = 1),
        ).forEach { case ->
            fleet.put("${fleet.service()}/faults", case.fault)
            val results = case.results.indices.map { exchange(daemon = it, case.operation).result }
            assertEquals(case.results, results, case.operation)
            assertEquals(case.runs, runs(case.operation), case.operation)
        }
        fleet.put("${fleet.service()}/faults", "{}")
        fleet.put("${fleet.platform()}/faults", """{"down":true}""")
        assertEquals("5006", exchange(0, "outage").result)
        assertEquals(0, runs("outage"))
        fleet.put("${fleet.platform()}/faults", """{"lostAnswerShare":1.0}""")
        assertEquals(listOf("1000", "5010"), listOf(exchange(0, "lost").result, exchange(1, "lost").result))
        assertEquals(1, runs("lost"))
    }

    @Test
    fun anOperationOfAKilledDaemonHasAnUnknownOutcomeAndIsNotRetried() {
        fleet.put("${fleet.service()}/faults", """{"delayMilliseconds":3000}""")
        val first = Thread { runCatching { exchange(0, "midway") } }
        first.start()
        Fleet.eventually("the operation runs") { runs("midway") == 1 }
        fleet.kill(0)
        assertEquals("5005", exchange(1, "midway").result)
        assertEquals(1, runs("midway"))
        first.join()
    }

    @Test
    fun daemonsServeAndRestartWhileThePlatformIsDown() {
        fleet.put("${fleet.platform()}/faults", """{"down":true}""")
        assertEquals(200, fleet.send(fleet.completion(0, Fleet.KEY, "x", stream = false)).status)
        fleet.kill(1)
        fleet.startDaemon(1)
        Fleet.eventually("the restarted daemon has its configuration from a peer") { fleet.isReady(1) }
        Fleet.eventually("the restarted daemon serves") {
            fleet.send(fleet.completion(1, Fleet.KEY, "x", stream = false)).status == 200
        }
    }

    @Test
    fun aGracefulShutdownCompletesRunningRequests() {
        val response = fleet.open(fleet.completion(0, Fleet.KEY, "x", stream = true, tokens = 300))
        val lines = response.body.source()
        assertContains(lines.readUtf8Line().orEmpty(), "data:")
        val process = fleet.terminate(0)
        Fleet.eventually("the daemon says that it drains") { !fleet.isReady(0) }
        val rest = generateSequence { lines.readUtf8Line() }.toList()
        assertContains(rest, "data: [DONE]")
        response.close()
        process.waitFor()
    }

    @Test
    fun aDrainedEndpointGetsNoNewWork() {
        assertEquals(0, fleet.runCommand("endpoint", "drain", "opinion-0").first)
        Fleet.eventually("all daemons have the change") {
            (0 until 3).all { "guavapath_configuration_version 2.0" in fleet.get("${fleet.operator(it)}/metrics") }
        }
        val before = fleet.get("${fleet.engine(0)}/standin/counts")
        repeat(20) { number ->
            val response = fleet.send(fleet.completion(number % 3, Fleet.KEY, "prompt $number", stream = false))
            assertEquals("opinion-1", response.header("X-Guavapath-Endpoint"))
        }
        assertEquals(before, fleet.get("${fleet.engine(0)}/standin/counts"))
    }

    private fun texts(body: String): List<String> =
        Regex("\"text\":\"([^\"]*)\"").findAll(body).map { it.groupValues[1] }.toList()

    private fun exchange(daemon: Int, operation: String): BufferedResponse = fleet.send(
        Request.Builder().url("${fleet.caller(daemon)}/exchanges/$operation")
            .header("Authorization", "Bearer ${Fleet.OTHER_KEY}")
            .header("Idempotency-Key", operation)
            .header("X-Operation", operation)
            .post("{}".toRequestBody())
            .build(),
    )

    private fun runs(operation: String): Int =
        Regex("\"$operation\":([0-9]+)").find(fleet.get("${fleet.service()}/standin/runs"))
            ?.groupValues?.get(1)?.toInt() ?: 0
}
