package org.bulrushtack.daemon

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.default
import org.bulrushtack.core.membership.MemberIdentity
import org.bulrushtack.daemon.life.Daemon
import org.bulrushtack.daemon.settings.ProcessSettings
import org.bulrushtack.daemon.settings.ProcessSettingsReader
import org.bulrushtack.program.ProgramLine
import org.slf4j.LoggerFactory
import java.nio.file.Path
import java.security.SecureRandom
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

/** The program `bulrushtackd`. */
fun main(arguments: Array<String>) {
    val parser = ArgParser(programName = "bulrushtackd", strictSubcommandOptionsOrder = false)
    val file by parser.argument(type = ArgType.String, fullName = "FILE", description = "the settings file")
    val check by parser.option(ArgType.Boolean, fullName = "check", description = "only check FILE").default(false)
    if (!ProgramLine.parse(parser = parser, arguments = arguments, program = Daemon::class.java)) return
    val settings = ProcessSettingsReader().read(Path.of(file)).fold(
        ifLeft = { faults ->
            faults.forEach { System.err.println(it) }
            exitProcess(EXIT_SETTINGS)
        },
        ifRight = { it },
    )
    if (check) println("$file: no faults") else run(settings)
}

private fun run(settings: ProcessSettings) {
    val root = LoggerFactory.getLogger("bulrushtack") as Logger
    root.level = Level.toLevel(settings.logLevel)
    val identity = MemberIdentity(
        name = settings.name,
        incarnation = "%012x-%08x".format(System.currentTimeMillis(), SecureRandom().nextInt()),
        dataCentre = settings.dataCentre,
    )
    val daemon = Daemon(settings = settings, identity = identity, seed = SecureRandom().nextLong())
    val ended = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(
        Thread {
            daemon.drain()
            daemon.stop()
            ended.countDown()
        },
    )
    daemon.start()
    ended.await()
}

private const val EXIT_SETTINGS = 2
