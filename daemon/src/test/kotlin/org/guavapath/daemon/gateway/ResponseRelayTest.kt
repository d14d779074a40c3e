package org.guavapath.daemon.gateway

import org.guavapath.core.identity.RequestId
import org.guavapath.daemon.pipeline.Refusal
import kotlin.test.Test
import kotlin.test.assertEquals

/** Relays parts of one response that arrive from two replicas side by side. */
class ResponseRelayTest {
    /** Records what the caller receives. */
    private class Recorder : ResponseSink {
        val text = StringBuilder()
        override val isWritable = true

        override fun writeFull(head: ResponseHead, body: ByteArray) {
            text.append("${head.status}:${body.toString(Charsets.UTF_8)};")
        }

        override fun begin(head: ResponseHead) {
            text.append("${head.status}:")
        }

        override fun writeChunk(bytes: ByteArray) {
            text.append(bytes.toString(Charsets.UTF_8).trim().removePrefix("id: ").replace("\ndata: ", ""))
        }

        override fun end() {
            text.append(';')
        }

        override fun abort() = error("unused")

        override fun refuse(refusal: Refusal, id: RequestId?) = error("unused")
    }

    private class Case(val name: String, val expected: String, val play: (ResponsePart, ResponsePart) -> Unit)

    private fun check(cases: List<Case>, relayOf: (ResponseSink) -> ResponseRelay) = cases.forEach { case ->
        val caller = Recorder()
        val relay = relayOf(caller)
        case.play(relay.newPart(), relay.newPart())
        assertEquals(case.expected, caller.text.toString(), case.name)
    }

    /** Guards against the head or a part of an event of one replica with bytes of another one. */
    @Test
    fun eventsOfTwoReplicasAreNotMixed() = check(
        listOf(
            Case("the second continues after a part of an event", "200:1a2b3b;") { first, second ->
                first.receive(200, event(1, 'a') + "id: 2\ndata: a")
                second.receive(201, event(2, 'b') + event(3, 'b'))
                second.end()
            },
            Case("the first goes on beside a part of the second", "200:1a2a3a;") { first, second ->
                first.receive(200, event(1, 'a') + "id: 2\nda")
                second.receive(201, "id: 2\ndata: b")
                first.receive(null, "ta: a\n\n" + event(3, 'a'))
                first.end()
            },
            Case("the second has only a head when the first begins", "200:1a;") { first, second ->
                second.receive(201, "")
                first.receive(200, event(1, 'a'))
                first.end()
            },
            Case("the second repeats an event", "200:1a2a") { first, second ->
                first.receive(200, event(1, 'a') + event(2, 'a'))
                second.receive(201, event(2, 'b') + event(3, 'b'))
            },
            Case("the second ends within an event", "200:1a") { first, second ->
                first.receive(200, event(1, 'a'))
                second.receive(201, "id: 2\nda")
                assertEquals(false, second.end(), "the end of the second")
            },
        ),
    ) { StreamRelay(it, lastEventOfCaller = null) }

    /** Guards against a plain response that has the head of one replica and bytes of another one. */
    @Test
    fun plainResponsesOfTwoReplicasAreNotMixed() = check(
        listOf(
            Case("the second is whole after a part of the first", "201:bb;") { first, second ->
                first.receive(200, "a")
                second.receive(201, "b")
                second.receive(null, "b")
                second.end()
            },
            Case("the first is whole between parts of the second", "200:aa;") { first, second ->
                first.receive(200, "a")
                second.receive(201, "b")
                first.receive(null, "a")
                first.end()
            },
        ),
    ) { BufferedRelay(it) }

    private companion object {
        fun event(id: Int, text: Char) = "id: $id\ndata: $text\n\n"

        fun ResponsePart.receive(status: Int?, bytes: String) {
            status?.let { offerHead(ResponseHead(it, emptyList())) }
            write(bytes.toByteArray())
        }
    }
}
