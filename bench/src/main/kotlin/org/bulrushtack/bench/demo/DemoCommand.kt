package org.bulrushtack.bench.demo

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.cli.required
import org.bulrushtack.bench.BenchClient
import org.bulrushtack.http.EventLoops
import org.bulrushtack.program.ProgramCommand
import kotlin.random.Random
import kotlin.system.exitProcess

/** Sends the demo's completions and bookings to running daemons and counts their outcomes. */
@OptIn(ExperimentalCli::class)
internal class DemoCommand : ProgramCommand(name = "demo", description = "outcomes of completions and bookings") {
    private val entry by option(ArgType.String, description = "a daemon's address").required()
    private val key by option(ArgType.String, description = "a workspace's key").required()
    private val serviceControl by option(
        ArgType.String,
        fullName = "service-control",
        description = "control address of the booking stand-in",
    ).required()
    private val daemons by option(ArgType.Int, description = "number of daemons to wait for").default(1)
    private val requests by option(ArgType.Int, description = "number of completions").default(DEFAULT_REQUESTS)
    private val bookings by option(ArgType.Int, description = "number of bookings").default(DEFAULT_BOOKINGS)
    private val seed by option(ArgType.Int, description = "seed of the traffic").default(1)

    override fun run() {
        val group = EventLoops.create(2)
        val client = BenchClient(group = group, workspaceKey = key)
        val entries = client.awaitEntries(address = entry, count = daemons)
        println("demo: the entry answer names ${entries.joinToString()}")
        val traffic = DemoTraffic(client = client, entries = entries, random = Random(seed))
        val bookingCount = traffic.book(count = bookings, serviceControl = serviceControl)
        val completionCount = traffic.complete(count = requests)
        val lost = completionCount.lost + bookingCount.lost
        println(
            "demo: requests=$requests answered=${completionCount.answered} refused=${completionCount.refused} " +
                "lost=$lost bookings=$bookings doubled=${bookingCount.doubled}",
        )
        group.shutdownGracefully()
        val isSuccessful = lost == 0 &&
            bookingCount.doubled == 0 &&
            completionCount.answered + completionCount.refused == requests
        exitProcess(if (isSuccessful) 0 else 1)
    }
}

private const val DEFAULT_REQUESTS = 48
private const val DEFAULT_BOOKINGS = 20
