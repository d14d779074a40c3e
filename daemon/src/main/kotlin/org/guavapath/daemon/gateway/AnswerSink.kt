package org.guavapath.daemon.gateway

import org.guavapath.core.identity.RequestId
import org.guavapath.core.results.ResultCode
import org.guavapath.daemon.pipeline.Refusal

/** The head of an answer to a caller: its status and the headers that do not concern the connection. */
internal class AnswerHead(val status: Int, val headers: List<Pair<String, String>>)

/** Where the answer to one request goes. All calls are on the event loop; none blocks. */
internal interface AnswerSink {
    /** Whether more can be written without piling up. */
    val isWritable: Boolean

    /** Writes a whole answer. */
    fun whole(head: AnswerHead, body: ByteArray)

    /** Begins an answer of unknown length. */
    fun begin(head: AnswerHead)

    /** Writes the next bytes of an answer that was begun. */
    fun piece(bytes: ByteArray)

    /** Ends an answer that was begun; it is whole. */
    fun end()

    /** Ends an answer that was begun so that it does not look whole. */
    fun abort()

    /** Writes an answer of the gateway's own. */
    fun refuse(refusal: Refusal, id: RequestId?)
}

/** How a request ended, for the log line and the counters. */
internal class Ending(val code: ResultCode, val detail: String, val status: Int)
