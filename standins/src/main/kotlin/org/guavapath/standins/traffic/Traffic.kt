/** Traffic generator of the demo: sends prompts with shared prefixes through several daemons. */
package org.guavapath.standins.traffic

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required
import org.HdrHistogram.Histogram
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.random.Random

private const val PIECE_BYTES = 8_000
private const val HISTOGRAM_DIGITS = 3
private const val PERCENT = 100.0
private const val MEDIAN = 50.0
private const val PERCENTILE_95 = 95.0
private const val PERCENTILE_99 = 99.0
private const val DEFAULT_REQUESTS = 60
private const val DEFAULT_PARALLEL = 8

/** A caller key and its workspace. */
internal data class TrafficKey(val workspace: String, val key: String)

/** Sends the traffic that [arguments] describe and prints the responses and a summary; returns the exit status. */
internal fun runTraffic(arguments: List<String>): Int {
    val parser = ArgParser("standins traffic")
    val daemons by parser.option(ArgType.String, "daemons", description = "Base URLs, separated by commas").required()
    val keys by parser.option(ArgType.String, "keys", description = "WORKSPACE=KEY, separated by commas").required()
    val model by parser.option(ArgType.String, "model", description = "Model to ask for").required()
    val requests by parser.option(ArgType.Int, "requests", description = "Number of requests").default(DEFAULT_REQUESTS)
    val seed by parser.option(ArgType.Int, "seed", description = "Seed of the prompts").default(1)
    val parallel by parser.option(ArgType.Int, "parallel", description = "Requests at once").default(DEFAULT_PARALLEL)
    parser.parse(arguments.toTypedArray())
    val random = Random(seed)
    val prompts = NestedPrompts(PIECE_BYTES, random)
    val trafficKeys = keys.split(',').map { TrafficKey(it.substringBefore('='), it.substringAfter('=')) }
    val client = TrafficClient(daemons.split(','), model)
    val tasks = (0 until requests).map { number ->
        val key = trafficKeys[number % trafficKeys.size]
        val prompt = prompts.next()
        Callable { client.send(number, key, prompt, stream = number % 2 == 0).also { println(it) } }
    }
    val pool = Executors.newFixedThreadPool(parallel)
    val responses = pool.invokeAll(tasks).map { it.get() }
    pool.shutdown()
    summarise(responses).forEach { println(it) }
    return if (responses.all { it.isComplete }) 0 else 1
}

private fun summarise(responses: List<TrafficResponse>): List<String> {
    val times = Histogram(HISTOGRAM_DIGITS)
    responses.filter { it.isComplete }.forEach { times.recordValue(it.firstTokenMilliseconds) }
    val promptTokens = responses.sumOf { it.promptTokens }
    val cachedTokens = responses.sumOf { it.cachedTokens }
    val failures = responses.filter { !it.isComplete }.groupingBy { it.workspace }.eachCount()
    val hitRate = "%.1f".format(PERCENT * cachedTokens / maxOf(1, promptTokens))
    return listOf(
        "requests ${responses.size}, whole answers ${responses.count { it.isComplete }}",
        "hit rate $hitRate% of prompt tokens",
        "time to first token ms: p50 ${times.getValueAtPercentile(MEDIAN)}, " +
            "p95 ${times.getValueAtPercentile(PERCENTILE_95)}, p99 ${times.getValueAtPercentile(PERCENTILE_99)}",
        "refusals per workspace: " + responses.map { it.workspace }.distinct().sorted()
            .joinToString(", ") { "$it ${failures[it] ?: 0}" },
    )
}
