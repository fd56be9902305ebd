package org.bulrushtack.standin

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import org.bulrushtack.standin.platform.PlatformOptions
import org.bulrushtack.standin.platform.PlatformStandIn

/** Starts the platform's stand-in. */
@OptIn(ExperimentalCli::class)
internal class PlatformCommand : StandInCommand(name = "platform", description = "log, VM list and weight store") {
    private val defaults = PlatformOptions()
    private val retentionMillis by option(
        ArgType.Int,
        fullName = "retention-millis",
        description = "how long records are kept",
    ).default(defaults.retentionMillis.toInt())
    private val appends by option(
        ArgType.Int,
        fullName = "appends-per-second",
        description = "append calls taken a second",
    ).default(defaults.appendsPerSecond)
    private val lagMillis by option(
        ArgType.Int,
        fullName = "vm-lag-millis",
        description = "age of the VM list",
    ).default(defaults.vmLagMillis.toInt())

    override fun run() {
        val options = PlatformOptions(
            retentionMillis = retentionMillis.toLong(),
            appendsPerSecond = appends,
            vmLagMillis = lagMillis.toLong(),
        )
        val standIn = PlatformStandIn(options).start(listen())
        announce(standIn = standIn, kind = "platform", serves = "log")
    }
}
