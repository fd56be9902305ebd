package org.bulrushtack.forward.testing

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.PatternLayout
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.read.ListAppender
import org.slf4j.LoggerFactory
import java.nio.file.Files
import java.nio.file.Path

/** Keeps the lines that are written at the default level from now on, in the daemon's own layout. */
internal class CapturedLog : AutoCloseable {
    private val logger = LoggerFactory.getLogger("bulrushtack") as Logger
    private val appender = ListAppender<ILoggingEvent>().also { it.start() }
    private val layout = PatternLayout().also {
        it.context = logger.loggerContext
        it.pattern = PATTERN.find(Files.readString(DAEMON_LAYOUT))!!.groupValues[1]
        it.start()
    }

    init {
        logger.level = Level.INFO
        logger.addAppender(appender)
    }

    /** The lines so far. */
    val lines: List<String> get() = appender.list.map { layout.doLayout(it).trimEnd() }

    /** What is kept of the lines for an incident: requests, warnings and errors, each cut at 200 characters. */
    val excerpt: List<String>
        get() = lines.filter { "request=" in it || " WARN " in it || " ERROR " in it }.map { it.take(EXCERPT_LENGTH) }

    /** The only line with [sentence], up to the length that is kept for an incident. */
    fun line(sentence: String): String = lines.single { sentence in it }.take(EXCERPT_LENGTH)

    override fun close() {
        logger.detachAppender(appender)
        logger.level = null
    }

    private companion object {
        const val EXCERPT_LENGTH = 200
        val PATTERN = Regex("<pattern>(.*)</pattern>")
        val DAEMON_LAYOUT: Path = Path.of("../daemon/src/main/resources/logback.xml")
    }
}

/** The value of the field [name] of a log line; fails if the line was cut before its end. */
internal fun String.field(name: String): String =
    checkNotNull(Regex("""\b$name="([^"]*)"""").find(this)) { "no $name in: $this" }.groupValues[1]
