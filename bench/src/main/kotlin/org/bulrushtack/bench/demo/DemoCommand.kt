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

/** Sends the demonstration's completions and bookings to daemons that run, and counts what became of them. */
@OptIn(ExperimentalCli::class)
internal class DemoCommand : ProgramCommand(name = "demo", description = "completions and bookings, each counted") {
    private val entry by option(ArgType.String, description = "a daemon's address").required()
    private val key by option(ArgType.String, description = "a workspace's key").required()
    private val serviceControl by option(
        ArgType.String,
        fullName = "service-control",
        description = "control address of the booking stand-in",
    ).required()
    private val daemons by option(ArgType.Int, description = "wait until so many daemons are named").default(1)
    private val requests by option(ArgType.Int, description = "how many completions").default(DEFAULT_REQUESTS)
    private val bookings by option(ArgType.Int, description = "how many bookings").default(DEFAULT_BOOKINGS)
    private val seed by option(ArgType.Int, description = "seed of the traffic").default(1)

    override fun run() {
        val group = EventLoops.create(2)
        val client = BenchClient(group = group, workspaceKey = key)
        val entries = client.awaitEntries(address = entry, count = daemons)
        println("demo: the entry answer names ${entries.joinToString()}")
        val traffic = DemoTraffic(client = client, entries = entries, random = Random(seed))
        val booked = traffic.book(count = bookings, serviceControl = serviceControl)
        val completed = traffic.complete(count = requests)
        val lost = completed.lost + booked.lost
        println(
            "demo: requests=$requests answered=${completed.answered} refused=${completed.refused} " +
                "lost=$lost bookings=$bookings doubled=${booked.doubled}",
        )
        group.shutdownGracefully()
        val whole = lost == 0 && booked.doubled == 0 && completed.answered + completed.refused == requests
        exitProcess(if (whole) 0 else 1)
    }
}

private const val DEFAULT_REQUESTS = 48
private const val DEFAULT_BOOKINGS = 20
