package org.bulrushtack.core.testing

/** Draws faults from a system's random generator: kills, pauses, cuts, outages, lost answers. */
internal class Faults(
    private val system: FakeSystem,
    private val restartsServers: Boolean = false,
) {
    private val draws: List<() -> Unit> = listOf(
        ::killOne,
        { system.daemons.values.firstOrNull { !it.alive }?.let { system.restart(it.name) } },
        ::pauseOne,
        { system.log.outage = !system.log.outage },
        { system.log.answersToLose = 2 },
        { someDaemon().let { it.cutFromLog = !it.cutFromLog } },
        { someDaemon().let { it.cutFromPeers = !it.cutFromPeers } },
        { someServer().answersToLose = 1 },
        { system.advance(system.random.nextLong(100, 6_000)) },
        { if (restartsServers) someServer().restart() else system.advance(1_000) },
    )

    var longestPauseMillis = 0L
        private set

    /** One fault or a stretch of peace. */
    fun step() {
        draws.random(system.random)()
        system.advance(system.random.nextLong(1, 400))
    }

    /** Ends all faults and starts the dead again. */
    fun heal() {
        system.log.outage = false
        system.log.answersToLose = 0
        system.daemons.values.toList().forEach { daemon ->
            daemon.cutFromLog = false
            daemon.cutFromPeers = false
            daemon.paused = false
            if (!daemon.alive) system.restart(daemon.name)
        }
    }

    private fun someDaemon(): FakeDaemon = system.live().random(system.random)

    private fun someServer(): FakeServer = system.servers.values.random(system.random)

    private fun killOne() {
        if (system.live().size > 1) system.kill(someDaemon().name)
    }

    private fun pauseOne() {
        val daemon = someDaemon()
        val millis = system.random.nextLong(100, 12_000)
        longestPauseMillis = maxOf(longestPauseMillis, millis)
        daemon.paused = true
        system.clock.schedule(millis) { daemon.paused = false }
    }
}
