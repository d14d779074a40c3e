/** What a replica that stutters does with a request; the request's id is the seed of all choices. */
package org.guavapath.standins.service

import org.guavapath.platform.wire.SampleResponse
import kotlin.random.Random

/** What a replica sends beside the first response to a request. */
internal sealed class Stutter {
    /** Nothing. */
    data object Absent : Stutter()

    /** [text] follows the response after a pause, whatever the connection is used for by then. */
    class Late(val text: String, val milliseconds: Long) : Stutter()

    /** [text] is sent in front of the next response on the connection. */
    class BeforeNext(val text: String) : Stutter()
}

/**
 * How the request [id] is answered by the replica [replica].
 *
 * @param run number of the request at the replica
 */
internal class StutteringPlan(private val id: String, private val replica: Int, private val run: Int) {
    private val random = Random(id.hashCode() + replica)

    /** The replica's response to the request. */
    val response: SampleResponse = response(
        when {
            isOneIn(FAILURE_SHARE) -> FAILURE
            isOneIn(REFUSAL_SHARE) -> REFUSAL
            else -> SUCCESS
        },
        "first",
    )

    /** Time until the response; some are later than gateways wait before they try another replica. */
    val milliseconds: Long = if (isOneIn(SLOW_SHARE)) random.nextLong(SLOW_FROM, SLOW_TO) else random.nextLong(USUAL_TO)

    /** The response as it is sent. */
    val text: String = if (isOneIn(UNNAMED_SHARE)) response.copy(request = null).text else response.text

    val stutter: Stutter = if (isOneIn(STUTTER_SHARE)) stutter() else Stutter.Absent

    private fun stutter(): Stutter {
        val status = listOf(response.status, SUCCESS, FAILURE, REFUSAL).random(random)
        val hasSameBody = random.nextBoolean() && status != REFUSAL
        val repeated = response(status, "again").let { if (hasSameBody) it.copy(body = response.body) else it }
        val text = if (isOneIn(CUT_SHARE)) cut(repeated.text) else repeated.text
        return if (random.nextBoolean()) Stutter.BeforeNext(text) else Stutter.Late(text, random.nextLong(LATE_TO))
    }

    /** Cuts the status line, the headers and the body alike often. */
    private fun cut(text: String): String {
        val firstLine = text.indexOf('\r')
        val head = text.indexOf("\r\n\r\n")
        val (from, until) = listOf(1 to firstLine + 1, firstLine to head, head to text.length).random(random)
        return text.take(if (from < until) random.nextInt(from, until) else from)
    }

    private fun response(status: Int, name: String): SampleResponse {
        val body = if (status == REFUSAL) "" else """{"replica":$replica,"run":$run,"request":"$id","is":"$name"}"""
        return SampleResponse(id, status, "$replica.$run.$name".takeIf { status != REFUSAL }, body, status == REFUSAL)
    }

    private fun isOneIn(share: Int) = random.nextInt(share) == 0

    private companion object {
        const val SUCCESS = 200
        const val FAILURE = 500
        const val REFUSAL = 503
        const val FAILURE_SHARE = 7
        const val REFUSAL_SHARE = 20
        const val SLOW_SHARE = 60
        const val UNNAMED_SHARE = 25
        const val STUTTER_SHARE = 3
        const val CUT_SHARE = 2
        const val SLOW_FROM = 350L
        const val SLOW_TO = 700L
        const val USUAL_TO = 30L
        const val LATE_TO = 60L
    }
}
