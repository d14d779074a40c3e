package org.guavapath.core.json

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import java.io.EOFException
import java.io.InputStream
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertIs
import kotlin.test.assertNotNull

class JsonScannerTest {
    private val limits = JsonLimits(bytes = 100, depth = 4, elements = 10)

    /** Yields a few bytes at a time, as a connection does. */
    private class Slices(private val bytes: ByteArray, private val random: Random) : InputStream() {
        private var position = 0

        override fun read(): Int = if (position < bytes.size) bytes[position++].toInt() and 0xFF else -1

        override fun read(target: ByteArray, offset: Int, length: Int): Int {
            if (position == bytes.size) return -1
            val count = minOf(length, bytes.size - position, random.nextInt(1, 8))
            bytes.copyInto(target, offset, position, position + count)
            position += count
            return count
        }
    }

    private fun scanner(text: String, seed: Int = 1) = JsonScanner(Slices(text.toByteArray(), Random(seed)))

    /** Reads `[value, "next"]` and returns what was read for the value; the next one is always read. */
    private fun readBetween(value: String, seed: Int): Pair<JsonElement?, String?> {
        val scanner = scanner("""{"list" : [ $value , "next"], "last":1}""", seed)
        val read = ArrayList<Pair<JsonElement?, String?>>()
        scanner.readObject { field ->
            if (field != "list") return@readObject scanner.skip()
            scanner.readArray { read += scanner.read(limits).let { it.get() to it.getError() } }
        }
        assertEquals(JsonPrimitive("next") to null, read[1], value)
        return read[0]
    }

    @Test
    fun validValuesAreReadWhole() {
        val cases = listOf(
            "1", "-1.5e3", "true", "null", "\"\"", "\"a\\\"]b\\\\\"", "\"é€😀\"", "[]", "{}", "[1, [2], {\"a\":[3]}]",
            "{\"a\" : {\"b\":[\"}\", \"]\"]}}",
        )
        cases.forEach { text ->
            repeat(20) { seed ->
                assertEquals(BoundedJson.parse(text, limits).get(), assertNotNull(readBetween(text, seed).first, text))
            }
        }
    }

    /** Guards against a value that hides those behind it, as it cannot be read or exhausts stack or heap. */
    @Test
    fun valuesThatAreNotUsableHideNoOthers() {
        val cases = listOf(
            "nested arrays" to "[".repeat(100_000) + "]".repeat(100_000),
            "nested objects" to "{\"a\":".repeat(100_000) + "1" + "}".repeat(100_000),
            "a long string" to "\"" + "x".repeat(1_000_000) + "\"",
            "a long number" to "1".repeat(1_000_000),
            "many elements" to List(100_000) { "0" }.joinToString(",", "[", "]"),
            "many fields" to List(100_000) { "\"f$it\":0" }.joinToString(",", "{", "}"),
            "no value" to "",
            "two words" to "two words",
            "an invalid escape" to "\"\\x\"",
            "half of a pair" to "{\"a\"}",
            "brackets of two kinds" to "[{]}",
        )
        cases.forEach { (name, text) ->
            repeat(3) { seed -> assertNotNull(readBetween(text, seed).second, name) }
        }
    }

    @Test
    fun textThatIsNotUtf8IsNotUsable() {
        val bytes = """{"a":"x"}""".toByteArray().also { it[6] = 0xC3.toByte() }
        assertIs<String>(BoundedJson.parse(bytes, limits).getError())
    }

    @Test
    fun valuesOfAnotherTypeArePassedOver() {
        val scanner = scanner("""{"a":[1,2],"b":{"c":1},"d":"x"}""")
        val seen = ArrayList<Pair<String, Boolean>>()
        scanner.readObject { field ->
            val isRead = if (field == "b") scanner.readArray(scanner::skip) else scanner.readObject { scanner.skip() }
            seen += field to isRead
        }
        assertEquals(listOf("a" to false, "b" to false, "d" to false), seen)
    }

    @Test
    fun documentsThatEndEarlyAreNotRead() {
        val text = """{"a":[1,{"b":"c"}],"d":2}"""
        (0 until text.length - 1).forEach { length ->
            val scanner = scanner(text.take(length))
            assertFailsWith<EOFException>(text.take(length)) { scanner.readObject { scanner.skip() } }
        }
    }
}
