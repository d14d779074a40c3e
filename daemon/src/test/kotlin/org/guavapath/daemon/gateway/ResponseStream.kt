/** Generated streams of responses on one connection to a replica that stutters, and what each request must get. */
package org.guavapath.daemon.gateway

import org.guavapath.platform.wire.SampleFleet
import kotlin.random.Random

/** One of the things that a replica writes on a connection; all are nonempty. */
internal sealed class WrittenPiece {
    abstract val text: String

    /** A whole response with [status] to the request [id]. */
    class Response(val id: String, val status: Int, val body: String, isChunked: Boolean) : WrittenPiece() {
        override val text = response(id, status, body, isChunked)
    }

    /** An informational response. */
    class Informational(override val text: String) : WrittenPiece()

    /** Anything else: it names no known request, is broken off, or is not HTTP. */
    class Invalid(override val text: String) : WrittenPiece()
}

private fun response(id: String?, status: Int, body: String, isChunked: Boolean): String {
    val framed = SampleFleet.plainResponse(id, body, "$status Some Reason")
    if (!isChunked) return framed
    return framed.replace(Regex("Content-Length: \\d+"), "Transfer-Encoding: chunked").removeSuffix(body) +
        "${body.length.toString(HEXADECIMAL)}\r\n$body\r\n0\r\n\r\n"
}

private const val HEXADECIMAL = 16

/** Writes what a replica sends upon the request with the number that is next. */
internal class StutteringWriter(private val random: Random) {
    private var bodies = 0

    /**
     * Returns what is written after the request [number] has arrived; requests are named by [requestName].
     *
     * Most requests get nothing that makes them fail, so that connections carry several.
     */
    fun write(number: Int): List<WrittenPiece> {
        val before = List(random.nextInt(MAX_BEFORE)) { if (isRare()) stray(number) else skipped(number) }
        val after = List(random.nextInt(MAX_AFTER)) { if (isRare()) stray(number) else own(number) }
        return listOfNotNull(*before.toTypedArray(), own(number), *after.toTypedArray())
    }

    private fun isRare() = random.nextInt(RARE_SHARE) == 0

    /** Returns something that does not matter to the request [number], null if there is nothing yet. */
    private fun skipped(number: Int): WrittenPiece? = when {
        isRare() -> WrittenPiece.Informational("HTTP/1.1 103 Early Hints\r\n\r\n")
        number == 0 -> null
        else -> response(requestName(random.nextInt(number)))
    }

    private fun own(number: Int) = response(requestName(number))

    private fun response(id: String) =
        WrittenPiece.Response(id, STATUSES.random(random), nextBody(), random.nextBoolean())

    private fun stray(number: Int): WrittenPiece = when (random.nextInt(KINDS_OF_STRAYS)) {
        0 -> WrittenPiece.Invalid(anonymous(id = null))
        1 -> WrittenPiece.Invalid(anonymous("unknown"))
        2 -> WrittenPiece.Invalid(anonymous(twoIds(requestName(number), "unknown")))
        3 -> WrittenPiece.Invalid(anonymous(twoIds("unknown", requestName(number))))
        4 -> WrittenPiece.Invalid("rubbish\r\n")
        5 -> brokenOff(requestName(random.nextInt(number + 1)))
        else -> brokenOff("unknown")
    }

    private fun anonymous(id: String?) = response(id, STATUSES.random(random), nextBody(), random.nextBoolean())

    private fun twoIds(first: String, second: String) = "$first\r\n${SampleFleet.attemptIdHeader("").first}: $second"

    /** Broken off within its head: the end of a body that is broken off and followed by other bytes has no mark. */
    private fun brokenOff(id: String): WrittenPiece {
        val head = response(id).text.substringBefore("\r\n\r\n") + "\r\n"
        return WrittenPiece.Invalid(head.take(1 + random.nextInt(head.length)))
    }

    private fun nextBody() = "body ${++bodies}"

    private companion object {
        val STATUSES = listOf(200, 200, 404, 500, 503)
        const val MAX_BEFORE = 3
        const val MAX_AFTER = 2
        const val RARE_SHARE = 12
        const val KINDS_OF_STRAYS = 7
    }
}

/** Returns the id of the request [number]. */
internal fun requestName(number: Int) = "request-$number"

/** What the request [number] gets of [pieces], all that arrives from its sending to the end of the connection. */
internal fun expectedResponse(number: Int, pieces: List<WrittenPiece>): WrittenPiece.Response? {
    val earlier = (0 until number).map(::requestName)
    val isSkipped = { piece: WrittenPiece ->
        piece is WrittenPiece.Informational || piece is WrittenPiece.Response && piece.id in earlier
    }
    val first = pieces.firstOrNull { !isSkipped(it) }
    return (first as? WrittenPiece.Response)?.takeIf { it.id == requestName(number) }
}
