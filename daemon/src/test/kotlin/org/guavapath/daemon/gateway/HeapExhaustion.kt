/** A program whose heap is exhausted and that would live on. */
package org.guavapath.daemon.gateway

private const val PIECE_BYTES = 1_048_576

public fun main() {
    val pieces = ArrayList<ByteArray>()
    val result = runCatching { while (true) pieces += ByteArray(PIECE_BYTES) }
    pieces.clear()
    println("it lives on after ${result.exceptionOrNull()}")
}
