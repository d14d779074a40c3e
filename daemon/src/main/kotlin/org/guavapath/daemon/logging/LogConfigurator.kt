package org.guavapath.daemon.logging

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.ConfiguratorRank
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.Appender
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.spi.ContextAwareBase
import net.logstash.logback.appender.LoggingEventAsyncDisruptorAppender
import net.logstash.logback.encoder.LogstashEncoder
import net.logstash.logback.fieldnames.LogstashFieldNames

/**
 * Configures logging as JSON lines on standard output, written by a separate thread.
 *
 * The queue to that thread is bounded. When it is full, lines are dropped so that requests are not delayed;
 * [LogDropCounter] logs and counts them. Logback finds this class as a service when the first logger is requested.
 * Logging is configured in code because reading a configuration file takes a third of the startup time.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public class LogConfigurator : ContextAwareBase(), Configurator {
    override fun configure(loggerContext: LoggerContext): Configurator.ExecutionStatus {
        loggerContext.getLogger(Logger.ROOT_LOGGER_NAME).apply {
            level = Level.WARN
            addAppender(asyncAppender(loggerContext, consoleAppender(loggerContext)))
        }
        loggerContext.getLogger("org.guavapath").level = Level.INFO
        return Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private fun consoleAppender(loggerContext: LoggerContext): Appender<ILoggingEvent> {
        val jsonEncoder = LogstashEncoder().apply {
            context = loggerContext
            fieldNames = LogstashFieldNames().apply {
                version = "[ignore]"
                levelValue = "[ignore]"
            }
            start()
        }
        return ConsoleAppender<ILoggingEvent>().apply {
            context = loggerContext
            encoder = jsonEncoder
            start()
        }
    }

    internal fun asyncAppender(loggerContext: LoggerContext, target: Appender<ILoggingEvent>): Appender<ILoggingEvent> =
        LoggingEventAsyncDisruptorAppender().apply {
            context = loggerContext
            ringBufferSize = QUEUE_CAPACITY
            addAppender(target)
            addListener(LogDropCounter)
            start()
        }

    private companion object {
        /** In lines: about one second of logging under the peak load of one VM. Must be a power of two. */
        const val QUEUE_CAPACITY = 2_048
    }
}
