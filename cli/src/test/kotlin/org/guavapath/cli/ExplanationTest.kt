package org.guavapath.cli

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

class ExplanationTest {
    private fun line(second: Int, message: String, fields: String, vm: String = "front-1"): LogLine {
        val time = "2026-11-02T10:00:${"%02d".format(second)}Z"
        val text = """$second.0 $vm {"@timestamp":"$time","message":"$message",$fields}"""
        return LogLine.of(text, "file") ?: error("not a log line: $text")
    }

    private val log = listOf(
        line(1, "weights ordered", """"replica":"i-1","weights":2"""),
        line(2, "members", """"others":["front-2"]"""),
        line(2, "members", """"others":["front-1"]""", vm = "front-2"),
        line(
            3,
            "refused",
            """"requestId":"limit","code":4001,"workspace":"w","tokensLeft":-50,"burst":900,""" +
                """"ratePerSecond":100,"rateShare":0.25""",
        ),
        line(3, "dispatched", """"requestId":"broken","replica":"i-1","costMs":40"""),
        line(4, "ended", """"requestId":"broken","code":5004,"detail":"the connection was closed","firstEventMs":22"""),
        line(5, "dispatched", """"requestId":"late","replica":"i-1","costMs":46"""),
        line(6, "attempt ended", """"requestId":"late","replica":"i-1","afterMs":426,"reason":"refused with 503""""),
        line(6, "dispatched", """"requestId":"late","replica":"i-2","costMs":108"""),
        line(7, "ended", """"requestId":"late","code":1000,"result":"served","status":200,"firstEventMs":671"""),
        line(8, "dispatched", """"requestId":"open","replica":"i-1","costMs":40"""),
        line(
            9,
            "attempt cut off by crash",
            """"replica":"i-3","suspectId":"other","partKeys":["7c","7d"]""",
            vm = "front-2",
        ),
        line(9, "quarantine begun", """"parts":["7d"]"""),
        line(9, "quarantine begun", """"parts":["7d"]""", vm = "front-2"),
        line(39, "ended", """"requestId":"held","code":5013,"status":503,"detail":"7d: i-3 1 with other""""),
        line(39, "replica paused", """"replica":"i-4","forMs":2000"""),
        line(39, "replica paused", """"replica":"i-4","forMs":2000""", vm = "front-2"),
        line(
            40,
            "ended",
            """"requestId":"paused","code":5012,"status":503,"detail":"no replica takes requests for 900 ms"""",
        ),
        line(40, "quarantine ended", """"parts":["7d"]"""),
    )

    @Test
    fun causeDescribesTheOutcome() {
        listOf(
            "limit" to listOf("workspace w", "-50 of 900 tokens left", "used 0.25 of the rate"),
            "broken" to listOf("broke off after it had begun", "the connection was closed", "1 send"),
            "late" to
                listOf("served (200) after 2 sends", "671.0 ms where 46.0 ms", "i-1 after 426 ms: refused with 503"),
            "open" to listOf("not ended"),
            "paused" to listOf("took no request: no replica takes requests for 900 ms", "0 sends"),
            "held" to listOf("replicas crashed on prompts with a part of this one: 7d: i-3 1 with other"),
        ).forEach { (id, parts) ->
            val cause = Explanation.of(id, log)?.cause.orEmpty()
            parts.forEach { assertTrue(it in cause, "$id: '$it' is not in '$cause'") }
        }
    }

    @Test
    fun circumstancesAreLimitedToTheGatewayAndReplicasOfTheRequest() {
        val circumstances = Explanation.of("broken", log)?.circumstances.orEmpty()
        assertEquals(2, circumstances.size, circumstances.toString())
        assertTrue("front-1 weights ordered replica=i-1" in circumstances[0], circumstances[0])
        assertTrue("front-1 members" in circumstances[1], circumstances[1])
    }

    @Test
    fun circumstancesOfAQuarantinedRequestNameTheCrashes() {
        val circumstances = Explanation.of("held", log)?.circumstances.orEmpty()
        assertEquals(2, circumstances.size, circumstances.toString())
        assertTrue("front-2 attempt cut off by crash replica=i-3" in circumstances[0], circumstances[0])
        assertTrue("front-1 quarantine begun" in circumstances[1], circumstances[1])
    }

    @Test
    fun circumstancesOfARequestThatNoReplicaTookNameThePauses() {
        val circumstances = Explanation.of("paused", log)?.circumstances.orEmpty()
        assertEquals(1, circumstances.count { "front-1 replica paused replica=i-4" in it }, circumstances.toString())
        assertEquals(0, circumstances.count { "front-2 replica paused" in it }, circumstances.toString())
    }

    @Test
    fun textThatIsNoLogLineIsSkipped() {
        listOf("", "at java.base/java.lang.Thread.run", "{\"no\": \"message\"}", "{broken").forEach {
            assertNull(LogLine.of(it, "file"), it)
        }
        assertEquals("file", LogLine.of("""{"message":"started"}""", "file")?.source)
        assertNull(Explanation.of("unknown", log))
    }
}
