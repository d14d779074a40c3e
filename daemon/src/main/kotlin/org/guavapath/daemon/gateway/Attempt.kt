package org.guavapath.daemon.gateway

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.concurrent.ScheduledFuture
import org.guavapath.core.placement.ReplicaOutcome
import org.guavapath.core.placement.ScoredReplica
import org.guavapath.core.time.MonotonicTime
import org.guavapath.platform.wire.ReplicaInstructions
import org.guavapath.platform.wire.ReplyHead
import org.guavapath.platform.wire.RequestCodec
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What happens to an attempt, as its exchange hears it. */
internal interface AttemptOwner {
    /** No byte reached the replica. */
    fun notSent(attempt: Attempt, reason: String)

    /** The answer begins; it is for this request. */
    fun head(attempt: Attempt, head: ReplyHead, headers: HttpHeaders)

    fun body(attempt: Attempt, bytes: ByteArray)

    fun complete(attempt: Attempt)

    fun broken(attempt: Attempt, reason: String)

    /** The replica has been silent for longer than expected. */
    fun silent(attempt: Attempt)
}

/**
 * One request to one replica.
 *
 * Keeps the replica's load and health records, and watches for silence: before the first bytes against
 * the expected time, later against the longest pause that a sound replica makes.
 */
internal class Attempt(
    private val context: ExchangeContext,
    private val admitted: AdmittedRequest,
    val choice: ScoredReplica,
    private val resumeAfter: Long?,
    private val owner: AttemptOwner,
) : ReplyListener {
    private val record = choice.record
    private val unread = choice.missingTokens(admitted.request.prompt)
    private var call: PooledCall? = null
    private var isReading = true
    private var isOver = false
    private var silence: ScheduledFuture<*>? = null

    /** The head of the answer, null before it came. */
    var head: ReplyHead? = null
        private set
    var headers: HttpHeaders = EmptyHttpHeaders.INSTANCE
        private set

    /** Whether the exchange counted this attempt among those that may have run. */
    var isCountedAsRun = false
    val startedAt = MonotonicTime.now()

    /** Sends the request; [timeLeft] is how long the replica may work on it. */
    fun start(timeLeft: Duration, saveTo: String?) {
        record.began(unread)
        choice.path?.let { context.directory.record(it, record.entry.id, startedAt) }
        watchSilence(firstBytesLimit())
        call = context.pool.send(
            record.entry,
            request(timeLeft, saveTo),
            admitted.request.id,
            freshness(),
            context.connectionsFor(admitted.service),
            this,
        )
        if (isOver) call?.abandon()
    }

    /** Ends the attempt; the replica stops its work. */
    fun cancel() {
        if (isOver) return
        over()
        call?.abandon()
    }

    fun setReading(isReading: Boolean) {
        call?.setReading(isReading)
    }

    override fun notSent(reason: String) = ending(ReplicaOutcome.SILENT) { owner.notSent(this, reason) }

    override fun head(head: ReplyHead, headers: HttpHeaders) {
        if (isOver) return
        this.head = head
        this.headers = headers.copy()
        val model = admitted.request.prompt?.model
        if (model != null) head.weights?.let { record.sawWeights(model, it) }
        owner.head(this, head, headers)
    }

    override fun body(bytes: ByteArray) {
        if (isOver) return
        read()
        watchSilence(PAUSE_LIMIT)
        owner.body(this, bytes)
    }

    override fun complete() = ending(if (isFault()) ReplicaOutcome.FAILED else ReplicaOutcome.ANSWERED) {
        owner.complete(this)
    }

    override fun broken(reason: String) = ending(ReplicaOutcome.FAILED) { owner.broken(this, reason) }

    private inline fun ending(outcome: ReplicaOutcome, tell: () -> Unit) {
        if (isOver) return
        over()
        if (head?.isNotRun != true) record.health.observe(outcome, MonotonicTime.now())
        tell()
    }

    private fun isFault() = head?.let { it.status >= FIRST_FAULT_STATUS && !it.isNotRun } ?: true

    private fun read() {
        if (!isReading) return
        isReading = false
        record.promptRead(unread)
    }

    private fun over() {
        isOver = true
        silence?.cancel(false)
        read()
        record.ended()
    }

    private fun watchSilence(limit: Duration) {
        silence?.cancel(false)
        silence = context.loop.schedule({ becameSilent() }, limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun becameSilent() {
        if (isOver) return
        record.health.observe(ReplicaOutcome.SILENT, MonotonicTime.now())
        owner.silent(this)
    }

    private fun firstBytesLimit(): Duration = if (admitted.request.prompt == null) {
        PLAIN_LIMIT
    } else {
        minOf(
            maxOf(choice.cost * EXPECTATION_FACTOR + FIRST_EVENT_SLACK, admitted.route.targetLatency),
            FIRST_EVENT_LIMIT
        )
    }

    /** A request that may run once goes only on connections that the replica surely holds open still. */
    private fun freshness(): Duration =
        if (admitted.route.repeatability.mayRunAgain) REPEATABLE_FRESHNESS else ONCE_FRESHNESS

    private fun request(timeLeft: Duration, saveTo: String?): FullHttpRequest {
        val incoming = admitted.incoming
        val headers = DefaultHttpHeaders()
        RequestCodec.forReplica(incoming.headers, instructions(timeLeft, saveTo))
            .forEach { (name, value) -> headers.add(name, value) }
        val body = incoming.body
        val request = DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            incoming.method,
            incoming.target,
            Unpooled.wrappedBuffer(body),
            headers,
            EmptyHttpHeaders.INSTANCE,
        )
        if (body.isNotEmpty() || incoming.headers.contains("Content-Length")) {
            HttpUtil.setContentLength(request, body.size.toLong())
        } else if (incoming.headers.contains("Transfer-Encoding")) {
            HttpUtil.setContentLength(request, 0)
        }
        return request
    }

    private fun instructions(timeLeft: Duration, saveTo: String?) = ReplicaInstructions(
        timeLeft = timeLeft,
        workspace = admitted.workspace?.name,
        replica = record.entry.id,
        priority = admitted.workspace?.priority ?: admitted.route.priority,
        weights = choice.weights,
        salt = choice.path?.salt,
        fetchFrom = choice.fetchFrom?.address,
        saveTo = saveTo,
        resumeAfter = resumeAfter,
    )

    private companion object {
        const val FIRST_FAULT_STATUS = 500

        /** Plain work takes 43 ms on average and 315 ms at most. */
        val PLAIN_LIMIT = 400.milliseconds
        const val EXPECTATION_FACTOR = 2
        val FIRST_EVENT_SLACK = 300.milliseconds
        val FIRST_EVENT_LIMIT = 2.seconds

        /** Twice the longest pause with which an answer is on time. */
        val PAUSE_LIMIT = 800.milliseconds
        val REPEATABLE_FRESHNESS = 10.seconds
        val ONCE_FRESHNESS = 1.seconds
    }
}
