package org.bulrushtack.core.testing

/** Draws faults from a system's random generator: kills, pauses, cuts, outages, lost answers. */
internal class Faults(
    private val system: FakeSystem,
    private val restartsServers: Boolean = false,
) {
    var longestPauseMillis = 0L
        private set

    /** One fault or a stretch of peace. */
    fun step() {
        when (system.random.nextInt(if (restartsServers) 12 else 10)) {
            0 -> killOne()
            1 -> system.daemons.values.firstOrNull { !it.alive }?.let { system.restart(it.name) }
            2 -> pauseOne()
            3 -> system.log.outage = !system.log.outage
            4 -> system.log.answersToLose = 2
            5 -> system.live().random(system.random).let { it.cutFromLog = !it.cutFromLog }
            6 -> system.live().random(system.random).let { it.cutFromPeers = !it.cutFromPeers }
            7 -> system.servers.values.random(system.random).answersToLose = 1
            8, 9 -> system.advance(system.random.nextLong(100, 6_000))
            else -> system.servers.values.random(system.random).restart()
        }
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

    private fun killOne() {
        if (system.live().size > 1) system.kill(system.live().random(system.random).name)
    }

    private fun pauseOne() {
        val daemon = system.live().random(system.random)
        val millis = system.random.nextLong(100, 12_000)
        longestPauseMillis = maxOf(longestPauseMillis, millis)
        daemon.paused = true
        system.clock.schedule(millis) { daemon.paused = false }
    }
}
