/**
 * Where log lines go: JSON on standard output, written by a thread of its own.
 *
 * The queue before that thread is bounded. When it is full, lines are dropped rather than let a request wait; how many
 * is told by the next line that gets through and by [LogDrops]. Set up in code, since reading a configuration file
 * takes a third of the time of a start.
 */
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

/** Sets up logging when the first logger is asked for; found by Logback as a service. */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public class LogConfigurator : ContextAwareBase(), Configurator {
    override fun configure(loggerContext: LoggerContext): Configurator.ExecutionStatus {
        loggerContext.getLogger(Logger.ROOT_LOGGER_NAME).apply {
            level = Level.WARN
            addAppender(queued(loggerContext, console(loggerContext)))
        }
        loggerContext.getLogger("org.guavapath").level = Level.INFO
        return Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private fun console(loggerContext: LoggerContext): Appender<ILoggingEvent> {
        val lines = LogstashEncoder().apply {
            context = loggerContext
            fieldNames = LogstashFieldNames().apply {
                version = "[ignore]"
                levelValue = "[ignore]"
            }
            start()
        }
        return ConsoleAppender<ILoggingEvent>().apply {
            context = loggerContext
            encoder = lines
            start()
        }
    }

    internal fun queued(loggerContext: LoggerContext, target: Appender<ILoggingEvent>): Appender<ILoggingEvent> =
        LoggingEventAsyncDisruptorAppender().apply {
            context = loggerContext
            ringBufferSize = QUEUED_LINES
            addAppender(target)
            addListener(LogDrops)
            start()
        }

    private companion object {
        /** About a second of lines under the heaviest load of one VM; a power of two. */
        const val QUEUED_LINES = 2_048
    }
}
