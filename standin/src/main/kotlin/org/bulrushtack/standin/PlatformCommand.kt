package org.bulrushtack.standin

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import org.bulrushtack.platform.standin.StoreOptions
import org.bulrushtack.standin.platform.PlatformStandIn

/** Starts the platform's stand-in. */
@OptIn(ExperimentalCli::class)
internal class PlatformCommand : StandInCommand(name = "platform", description = "the store, with the VM list in it") {
    private val defaults = StoreOptions()
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
    ).default(VM_LAG_MILLIS)

    override fun run() {
        val options = StoreOptions(
            retentionMillis = retentionMillis.toLong(),
            appendsPerSecond = appends,
            lagMillis = lagMillis.toLong(),
        )
        val standIn = PlatformStandIn(options).start(listen())
        announce(standIn = standIn, kind = "platform", serves = "log")
    }
}

/** A change in the VM list shows after this time, unless told otherwise. */
private const val VM_LAG_MILLIS = 2_000
