package org.guavapath.daemon.logging

import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.Appender
import io.github.oshai.kotlinlogging.KotlinLogging
import net.logstash.logback.appender.listener.AppenderListener
import java.util.concurrent.atomic.AtomicLong

/** Counts log lines dropped because the queue was full and logs the count once lines are accepted again. */
internal object LogDropCounter : AppenderListener<ILoggingEvent> {
    private val logger by lazy { KotlinLogging.logger("org.guavapath.log") }
    private val dropped = AtomicLong()
    private val unreported = AtomicLong()

    /** Number of lines dropped since startup. */
    val total: Long get() = dropped.get()

    override fun eventAppendFailed(appender: Appender<ILoggingEvent>, event: ILoggingEvent, reason: Throwable?) {
        dropped.incrementAndGet()
        unreported.incrementAndGet()
    }

    override fun eventAppended(appender: Appender<ILoggingEvent>, event: ILoggingEvent, durationInNanos: Long) {
        val missing = unreported.getAndSet(0)
        if (missing > 0) {
            logger.atWarn {
                message = "log lines dropped"
                payload = mapOf("lines" to missing, "total" to total)
            }
        }
    }
}
