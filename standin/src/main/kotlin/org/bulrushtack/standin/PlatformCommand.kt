package org.bulrushtack.standin

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import org.bulrushtack.platform.standin.StoreOptions
import org.bulrushtack.standin.platform.PlatformStandIn

/** Starts a stand-in for the platform. */
@OptIn(ExperimentalCli::class)
internal class PlatformCommand : StandInCommand(name = "platform", description = "the store, with the VM list in it") {
    private val defaults = StoreOptions()
    private val retentionMillis by option(
        ArgType.Int,
        fullName = "retention-millis",
        description = "how long records are kept",
    ).default(defaults.retentionMillis.toInt())
    private val appendsPerSecond by option(
        ArgType.Int,
        fullName = "appends-per-second",
        description = "append calls accepted a second",
    ).default(defaults.appendsPerSecond)
    private val lagMillis by option(
        ArgType.Int,
        fullName = "vm-lag-millis",
        description = "delay until a change shows in the VM list",
    ).default(DEFAULT_VM_LAG_MILLIS)

    override fun run() {
        val options = StoreOptions(
            retentionMillis = retentionMillis.toLong(),
            appendsPerSecond = appendsPerSecond,
            lagMillis = lagMillis.toLong(),
        )
        val standIn = PlatformStandIn(options).start(listenOptions())
        registerAndWait(standIn = standIn, kind = "platform", serves = "log")
    }
}

/** Default delay until a change shows in the VM list. */
private const val DEFAULT_VM_LAG_MILLIS = 2_000
