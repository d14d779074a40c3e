package org.guavapath.core.quarantine

import org.guavapath.core.fleet.ReplicaId
import org.guavapath.core.fleet.ReplicaIncarnation
import org.guavapath.core.identity.RequestId
import org.guavapath.core.time.MonotonicTime
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val deadly = RequestKey(1)
private val start = MonotonicTime.ZERO + 1.hours

private fun crash(
    key: RequestKey,
    number: Int,
    at: MonotonicTime,
    sentAt: MonotonicTime = at + -RUN_TIME,
    replica: Int = number,
): CrashReport {
    val incarnation = ReplicaIncarnation(ReplicaId("replica-$replica"), 1)
    return CrashReport(incarnation, RequestId("request-$number"), sentAt, at, setOf(key))
}

private val RUN_TIME = 10.milliseconds

/** Requests of one key that arrive at [gateways] gateways, which hear of each other's news after [delay]. */
private class Repeats(private val gateways: Int, private val delay: Duration, private val timeToCrash: Duration) {
    private class Event(val at: MonotonicTime, val apply: () -> Unit)

    private val views = List(gateways) { CrashQuarantine() }
    private val events = ArrayList<Event>()
    private val thirdCrashes = ArrayList<MonotonicTime>()
    var sends = 0
        private set

    /** Sends more than three seconds after the third crash. */
    var lateSends = 0
        private set

    /** Sends after all views could know of the third crash. */
    var informedSends = 0
        private set
    val crashes: Int get() = thirdCrashes.size

    fun play(interval: Duration, duration: Duration) {
        var now = start
        var arrival = 0
        while (now < start + duration) {
            events.filter { it.at <= now }.sortedBy { it.at }.forEach {
                events.remove(it)
                it.apply()
            }
            if ((now - start) >= interval * arrival) arrive(arrival++ % gateways, now)
            now += 10.milliseconds
        }
    }

    private fun arrive(gateway: Int, now: MonotonicTime) {
        val verdict = views[gateway].verdict(setOf(deadly), now)
        if (verdict is QuarantineVerdict.Held) return
        if (verdict is QuarantineVerdict.Trial) share(gateway, now, views[gateway].trialStarted(setOf(deadly), now))
        sends += 1
        val third = thirdCrashes.getOrNull(2)
        if (third != null && now - third > 3.seconds) lateSends += 1
        if (third != null && now - third > delay) informedSends += 1
        val number = sends
        events += Event(now + timeToCrash) {
            val crash = crash(deadly, number, at = now + timeToCrash, sentAt = now)
            thirdCrashes += crash.at
            share(gateway, crash.at, views[gateway].add(listOf(crash), crash.at))
        }
    }

    private fun share(gateway: Int, now: MonotonicTime, reports: List<CrashReport>) =
        (views - views[gateway]).forEach { view -> events += Event(now + delay) { view.add(reports, now + delay) } }
}

class RepeatedRequestTest {
    /** @property isHeld whether the request is held after [history], ten seconds after the start */
    private class Case(val name: String, val isHeld: Boolean, val history: CrashQuarantine.() -> Unit)

    private fun CrashQuarantine.add(report: CrashReport) = add(listOf(report), report.at)

    private fun CrashQuarantine.answered(key: RequestKey, at: MonotonicTime) = answered(setOf(key), at, at)

    private fun CrashQuarantine.crashed(number: Int, after: Duration) = add(crash(deadly, number, start + after))

    /** Adds the crash of the replica [number] that had a request sent right after the start. */
    private fun CrashQuarantine.crashedOf(number: Int, after: Duration, replica: Int = number) =
        add(crash(deadly, number, at = start + after, sentAt = start, replica = replica))

    /** Adds the crashes of the replicas 1 to [count], a second apart, while [running] goes on for as long as it can. */
    private fun CrashQuarantine.crashedBeside(running: RunningRequest, count: Int = 3) = (1..count).forEach {
        val report = crash(deadly, it, start + 1.seconds * it)
        add(listOf(report), report.at, listOf(running))
    }

    /** A request like the deadly one whose response has begun. */
    private fun running(sentAt: MonotonicTime, replica: String = "elsewhere") =
        RunningRequest(ReplicaIncarnation(ReplicaId(replica), 1), setOf(deadly), sentAt)

    private val casesBesideRunning = listOf(
        Case("three crashes beside one that was sent before", false) { crashedBeside(running(start)) },
        Case("a fourth one", false) { crashedBeside(running(start), count = 4) },
        Case("a fifth one", true) { crashedBeside(running(start), count = 5) },
        Case("three beside one that was sent later", true) { crashedBeside(running(start + 10.seconds)) },
        Case("beside one that was sent before the last crash", false) {
            crashedBeside(running(start + 2500.milliseconds))
        },
        Case("beside one on the first of the replicas", true) { crashedBeside(running(start, "replica-1"), count = 3) },
        Case("beside another request", true) { crashedBeside(running(start).copy(suspects = setOf(RequestKey(2)))) },
        Case("beside one that an earlier run of the replica had", true) {
            (1..3).forEach { number ->
                val report = crash(deadly, number, at = start + 1.seconds * number)
                val earlier = running(start, replica = report.incarnation.id.text)
                add(
                    listOf(report),
                    report.at,
                    listOf(earlier.copy(incarnation = earlier.incarnation.copy(startedAt = 0)))
                )
            }
        },
    )

    /** Adds crashes of two replicas, and one of the second, listed as before, on what was sent [sentAfter] that. */
    private fun CrashQuarantine.crashedAgain(sentAfter: Duration) {
        val sentAt = start + 2.seconds + sentAfter
        (1..2).forEach { crashed(it, 1.seconds * it) }
        add(crash(deadly, number = 3, at = sentAt + RUN_TIME, sentAt = sentAt, replica = 2))
    }

    private val cases = listOf(
        Case("nothing has crashed", false) {},
        Case("two crashes in a row", false) { (1..2).forEach { crashed(it, 1.seconds * it) } },
        Case("three crashes in a row", true) { (1..3).forEach { crashed(it, 1.seconds * it) } },
        Case("in another order", true) { listOf(3, 1, 2).forEach { crashed(it, 1.seconds * it) } },
        Case("three replicas at one moment", false) { (1..3).forEach { crashed(it, 1.seconds) } },
        Case("three replicas that ran copies at the same time", true) {
            (1..3).forEach { crashedOf(it, 250.milliseconds * it) }
        },
        Case("in another order, as heard from other VMs", true) {
            listOf(1, 3, 2).forEach { crashedOf(it, 250.milliseconds * it) }
        },
        Case("eight replicas with copies that are lost within 80 ms", false) {
            (1..8).forEach { crashedOf(it, 10.milliseconds * it) }
        },
        Case("copies that were sent after the crash before, within 80 ms", true) {
            (1..3).forEach {
                val sentAt = start + 20.milliseconds * it
                add(crash(deadly, it, at = sentAt + 10.milliseconds, sentAt = sentAt))
            }
        },
        Case("two replicas, of which three VMs hear at different times", false) {
            (1..6).forEach { crashedOf(it, 250.milliseconds * it, replica = it % 2) }
        },
        Case("three runs of a replica that is listed with the first one", true) {
            (1..3).forEach { add(crash(deadly, it, at = start + 1.seconds * it, replica = 1)) }
        },
        Case("what is sent 500 ms after a crash has reached the next run, which is not listed yet", true) {
            crashedAgain(500.milliseconds)
        },
        Case("what is sent 50 ms after a crash has reached the closing port of the same run", false) {
            crashedAgain(50.milliseconds)
        },
        Case("copies that were answered between the crashes", false) {
            (1..3).forEach {
                crashedOf(it, 250.milliseconds * it)
                answered(deadly, start + 250.milliseconds * it + 10.milliseconds)
            }
        },
        Case("answered before the last one", false) {
            (1..2).forEach { crashed(it, 1.seconds * it) }
            answered(deadly, start + 2500.milliseconds)
            crashed(3, 3.seconds)
        },
        Case("answered after all", false) {
            (1..3).forEach { crashed(it, 1.seconds * it) }
            answered(deadly, start + 4.seconds)
        },
        Case("answered before, as heard later", true) {
            (1..3).forEach { crashed(it, 1.seconds * it) }
            answered(deadly, start)
        },
        Case("another request", false) { (1..3).forEach { add(crash(RequestKey(2), it, start + 1.seconds * it)) } },
    )

    /** Guards against sending a request on that crashes each replica that runs it, and against holding others. */
    @Test
    fun aRequestIsHeldAtTheThirdCrashInARow() = (cases + casesBesideRunning).forEach { case ->
        val quarantine = CrashQuarantine().apply { case.history(this) }
        val verdict = quarantine.verdict(setOf(deadly), start + 10.seconds)
        assertEquals(case.isHeld, verdict is QuarantineVerdict.Held, "${case.name}: $verdict")
    }

    /** Guards against more crashes, and more sends after the third one, than are allowed, over an hour. */
    @Test
    fun repeatsAtAnyGatewayAreContained() {
        val delays = listOf(0, 100, 500)
        val timesToCrash = listOf(10, 100, 1_000)
        val times = delays.flatMap { delay -> timesToCrash.map { delay.milliseconds to it.milliseconds } }
        listOf(1, 2, 8, 85).forEach { gateways ->
            times.forEach { (delay, timeToCrash) ->
                val repeats = Repeats(gateways, delay, timeToCrash)
                repeats.play(timeToCrash + delay + 50.milliseconds, if (gateways == 2) 1.hours else 1.minutes)
                val name = "$gateways gateways, delay $delay, crash after $timeToCrash"
                if (gateways != 2) assertEquals(3, repeats.crashes, name)
                assertTrue(repeats.lateSends <= 3, "$name: ${repeats.lateSends} late sends")
            }
        }
    }

    /** Guards against crashes that count once because copies of the request run at the same time. */
    @Test
    fun repeatsThatOverlapAreContained() = listOf(50, 250, 800).map { it.milliseconds }.forEach { interval ->
        listOf(0, 100, 500).map { it.milliseconds }.forEach { delay ->
            val repeats = Repeats(gateways = 8, delay, timeToCrash = 1.seconds)
            repeats.play(interval, 1.minutes)
            val name = "every $interval, delay $delay"
            assertTrue(repeats.informedSends <= 3, "$name: ${repeats.informedSends} sends after the third crash")
        }
    }

    /** Guards against holding sound requests that other crashes hit once or twice while callers repeat them. */
    @Test
    fun soundRequestsThatOtherCrashesHitAreNotHeld() {
        repeat(1_000) { seed ->
            val random = Random(seed)
            val quarantine = CrashQuarantine()
            var now = start
            repeat(random.nextInt(1, 4)) { round ->
                val copies = random.nextInt(1, 4)
                val sentAt = now
                now += random.nextInt(1, 5_000).milliseconds
                repeat(copies) { copy -> quarantine.add(crash(deadly, 10 * round + copy, now, sentAt)) }
                if (round % 2 == 1) quarantine.answered(deadly, now + random.nextInt(1, 500).milliseconds)
                now += 500.milliseconds
            }
            assertIs<QuarantineVerdict.Allowed>(quarantine.verdict(setOf(deadly), now), "seed $seed")
        }
    }

    /** Guards against memory that grows with different requests, and against forgetting the one that repeats. */
    @Test
    fun aFloodOfDifferentRequestsCostsBoundedMemory() {
        val quarantine = CrashQuarantine()
        for (number in 1..10_000) {
            val now = start + 1.milliseconds * number
            quarantine.add(crash(RequestKey(1_000L + number), number, now))
            if (number % 1_000 == 0) quarantine.add(crash(deadly, -number, now))
            if (number % 100 == 0) quarantine.verdict(setOf(deadly), now)
        }
        assertTrue(quarantine.reports.size <= 1_200, "${quarantine.reports.size} reports")
        assertIs<QuarantineVerdict.Held>(quarantine.verdict(setOf(deadly), start + 10.seconds))
        quarantine.expire(start + 1.hours)
        assertEquals(setOf<Set<Suspect>>(setOf(deadly)), quarantine.reports.map { it.suspects }.toSet())
    }
}
