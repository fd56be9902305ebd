package org.bulrushtack.bench.control

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import org.bulrushtack.program.ProgramCommand

/** Measures the cost of one daemon's control loop at a given system size, in CPU time, memory and messages. */
@OptIn(ExperimentalCli::class)
internal class ControlCommand : ProgramCommand(name = "control", description = "control-loop cost at a system size") {
    private val daemons by option(ArgType.Int, description = "entry VMs").default(DEFAULT_DAEMONS)
    private val servers by option(ArgType.Int, description = "backend servers").default(DEFAULT_SERVERS)
    private val workspaces by option(ArgType.Int, description = "workspaces in the tree").default(DEFAULT_WORKSPACES)
    private val claims by option(ArgType.Int, description = "number of call claims in the log").default(0)
    private val seconds by option(ArgType.Int, description = "simulated seconds to measure").default(DEFAULT_SECONDS)

    override fun run() {
        val size = SystemSize(daemons = daemons, servers = servers, workspaces = workspaces, claims = claims)
        val heapBytesBefore = usedHeapBytes()
        val load = ControlLoad(size = size)
        load.run(seconds = WARMUP_SECONDS)
        val startedAtNanos = System.nanoTime()
        load.run(seconds = seconds)
        val microsPerSecond = (System.nanoTime() - startedAtNanos) / NANOS_PER_MICRO / seconds
        val kilobytes = (usedHeapBytes() - heapBytesBefore) / BYTES_PER_KILOBYTE
        println(
            "control: daemons=$daemons servers=$servers workspaces=$workspaces claims=$claims " +
                "cpu=${microsPerSecond}us/s heap=${kilobytes}KB owned=${load.ownedServers()} " +
                "heartbeats=${load.traffic.messages / seconds}/s bytes=${load.traffic.bytes / seconds}/s",
        )
    }

    private fun usedHeapBytes(): Long {
        repeat(GARBAGE_COLLECTIONS) { System.gc() }
        return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
    }
}

private const val DEFAULT_DAEMONS = 7
private const val DEFAULT_SERVERS = 20
private const val DEFAULT_WORKSPACES = 10
private const val DEFAULT_SECONDS = 60
private const val WARMUP_SECONDS = 40
private const val NANOS_PER_MICRO = 1_000L
private const val BYTES_PER_KILOBYTE = 1_024L
private const val GARBAGE_COLLECTIONS = 3
