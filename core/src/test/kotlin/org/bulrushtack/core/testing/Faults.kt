package org.bulrushtack.core.testing

/** Injects random faults from a system's random generator: kills, pauses, disconnections, outages, lost responses. */
internal class Faults(
    private val system: FakeSystem,
    private val restartsServers: Boolean = false,
) {
    private val faultActions: List<() -> Unit> = listOf(
        ::killDaemon,
        { system.daemons.values.firstOrNull { !it.alive }?.let { system.restart(it.name) } },
        ::pauseDaemon,
        { system.log.outage = !system.log.outage },
        { system.log.responsesToLose = 2 },
        { randomDaemon().let { it.disconnectedFromLog = !it.disconnectedFromLog } },
        { randomDaemon().let { it.disconnectedFromPeers = !it.disconnectedFromPeers } },
        { randomServer().responsesToLose = 1 },
        { system.advance(system.random.nextLong(100, 6_000)) },
        { if (restartsServers) randomServer().restart() else system.advance(1_000) },
    )

    var longestPauseMillis = 0L
        private set

    /** Injects one random fault, or lets time pass without one. */
    fun step() {
        faultActions.random(system.random)()
        system.advance(system.random.nextLong(1, 400))
    }

    /** Ends all faults and restarts the daemons that were killed. */
    fun heal() {
        system.log.outage = false
        system.log.responsesToLose = 0
        system.daemons.values.toList().forEach { daemon ->
            daemon.disconnectedFromLog = false
            daemon.disconnectedFromPeers = false
            daemon.paused = false
            if (!daemon.alive) system.restart(daemon.name)
        }
    }

    private fun randomDaemon(): FakeDaemon = system.live().random(system.random)

    private fun randomServer(): FakeServer = system.servers.values.random(system.random)

    private fun killDaemon() {
        if (system.live().size > 1) system.kill(randomDaemon().name)
    }

    private fun pauseDaemon() {
        val daemon = randomDaemon()
        val millis = system.random.nextLong(100, 12_000)
        longestPauseMillis = maxOf(longestPauseMillis, millis)
        daemon.paused = true
        system.clock.schedule(millis) { daemon.paused = false }
    }
}
