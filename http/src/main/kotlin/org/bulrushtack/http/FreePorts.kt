package org.bulrushtack.http

import java.net.BindException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/**
 * Finds ports for processes that are configured with a port before they listen on it. They lie below the range from
 * which systems take the ports of outgoing connections, as one of those may take a port that was found free.
 */
public object FreePorts {
    private val next = AtomicInteger((ProcessHandle.current().pid() * PORTS_PER_PROCESS % PORT_COUNT).toInt())

    /** Finds [count] ports on which nothing listens at [host]; each call returns others. */
    public fun find(count: Int, host: String = "127.0.0.1"): List<Int> =
        generateSequence { FIRST_PORT + next.getAndIncrement() % PORT_COUNT }
            .take(PORT_COUNT)
            .filter { isFree(host = host, port = it) }
            .take(count)
            .toList()
            .also { check(it.size == count) { "there are no $count free ports at $host" } }

    private fun isFree(host: String, port: Int): Boolean = try {
        ServerSocket(port, 1, InetAddress.getByName(host)).close()
        true
    } catch (_: BindException) {
        false
    }
}

private const val FIRST_PORT = 20_000
private const val PORT_COUNT = 12_000

/** Keeps processes that start one after the other apart. */
private const val PORTS_PER_PROCESS = 97
