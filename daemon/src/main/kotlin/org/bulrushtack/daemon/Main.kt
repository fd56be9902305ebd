package org.bulrushtack.daemon

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.bulrushtack.core.membership.MemberIdentity
import org.bulrushtack.daemon.lifecycle.EntryDaemon
import org.bulrushtack.daemon.lifecycle.ForwardingProcess
import org.bulrushtack.daemon.settings.DaemonSettings
import org.bulrushtack.daemon.settings.ProcessSettings
import org.bulrushtack.daemon.settings.SettingsFile
import org.bulrushtack.program.CommandLine
import org.slf4j.LoggerFactory
import org.slf4j.bridge.SLF4JBridgeHandler
import sun.misc.Signal
import java.nio.file.Path
import java.security.SecureRandom
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

/** Entry point of `bulrushtackd`: reads the settings file, then checks it only or runs the daemon. */
fun main(arguments: Array<String>) {
    // Without a handler SIGHUP ends a JVM, and once it is ignored no handler can be installed any more.
    Signal.handle(Signal("HUP")) { }
    val parser = ArgParser(programName = "bulrushtackd", strictSubcommandOptionsOrder = false)
    val file by parser.argument(type = ArgType.String, fullName = "FILE", description = "the settings file")
    val check by parser.option(ArgType.Boolean, fullName = "check", description = "only check FILE").default(false)
    if (!CommandLine.parse(parser = parser, arguments = arguments, program = EntryDaemon::class.java)) return
    val settings = SettingsFile(Path.of(file)).read().fold(
        ifLeft = { errors ->
            errors.forEach { System.err.println(it) }
            exitProcess(EXIT_INVALID_SETTINGS)
        },
        ifRight = { it },
    )
    if (check) println("$file: no faults") else runOrHalt(settings, Path.of(file))
}

/** Network threads would keep a process alive that could not start; shutdown hooks would wait for its requests. */
private fun runOrHalt(settings: DaemonSettings, file: Path) {
    runCatching { run(settings, file) }.onFailure { failure ->
        System.err.println("The daemon failed: ${failure.stackTraceToString()}")
        Runtime.getRuntime().halt(EXIT_FAILED)
    }
}

private fun run(settings: DaemonSettings, file: Path) {
    SLF4JBridgeHandler.removeHandlersForRootLogger()
    SLF4JBridgeHandler.install()
    val root = LoggerFactory.getLogger("bulrushtack") as Logger
    root.level = Level.toLevel(settings.logLevel)
    val random = SecureRandom()
    val incarnation = "%012x-%08x".format(System.currentTimeMillis(), random.nextInt())
    when (settings) {
        is DaemonSettings.Entry -> run(settings.settings, incarnation, seed = random.nextLong())
        is DaemonSettings.Forwarding -> ForwardingProcess(file, settings.settings, incarnation, random.nextLong()).run()
    }
}

private fun run(settings: ProcessSettings, incarnation: String, seed: Long) {
    val identity = MemberIdentity(name = settings.name, incarnation = incarnation, dataCentre = settings.dataCentre)
    val daemon = EntryDaemon(settings = settings, identity = identity, seed = seed)
    val stopped = CountDownLatch(1)
    val log = LoggerFactory.getLogger("bulrushtack.daemon")
    Runtime.getRuntime().addShutdownHook(
        Thread {
            daemon.drain()
            daemon.stop()
            stopped.countDown()
        },
    )
    Signal.handle(Signal("HUP")) { log.info("[daemon] The settings file is only read at a start.") }
    daemon.start()
    stopped.await()
}

private const val EXIT_FAILED = 1
private const val EXIT_INVALID_SETTINGS = 2
