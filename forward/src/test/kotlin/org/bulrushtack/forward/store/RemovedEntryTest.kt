package org.bulrushtack.forward.store

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.store.StoreTopic
import org.bulrushtack.forward.testing.FakeFollowers

/** Removes entries of backend servers while daemons can't read the store, and while the store is away. */
class RemovedEntryTest : AnnotationSpec() {
    /** Runs [check] for small and large systems and several seeds, each after five calm seconds. */
    private fun forEachSystem(check: (system: FakeFollowers, limitMillis: Int) -> Unit) =
        LIMITS_MILLIS.forEach { (daemons, limitMillis) ->
            (1..SEEDS).forEach { seed ->
                val system = FakeFollowers(count = daemons, seed = seed)
                StoreTopic.entries.forEach { system.store.append(it) }
                system.register(SERVER)
                system.advance(CALM_MILLIS)
                withClue("$daemons daemons, seed $seed") { check(system, limitMillis) }
            }
        }

    /**
     * Removes the entry of the server several times, each shortly after [disturb] began for the daemon that read the
     * store last, and checks how long the daemons for which it is not in force use the server.
     */
    private fun shouldLeaveInTime(
        disturb: FakeFollowers.(isDisturbed: (Int) -> Boolean) -> Unit,
        alsoDisturbed: (daemon: Int) -> Boolean = { false },
    ) = forEachSystem { system, limitMillis ->
        repeat(ROUNDS) { round ->
            val reader = system.store.lastReader
            val isDisturbed = { daemon: Int -> daemon == reader || alsoDisturbed(daemon) }
            system.disturb(isDisturbed)
            system.advance(REMOVED_AFTER_MILLIS + round * FAULT_STEP_MILLIS)
            system.remove(SERVER)

            system.advance(limitMillis)

            withClue("round $round, reader $reader") {
                system.usersOf(SERVER).filterNot(isDisturbed) shouldBe emptyList()
            }
            system.advance(CALM_MILLIS)
            system.disturb { false }
            system.register(SERVER)
            system.advance(CALM_MILLIS)
        }
    }

    // Guards against daemons that take the time without the usual reader for an outage of the store.
    @Test
    fun `a server that leaves is not used while the daemon that reads for all is cut off from the store`() =
        shouldLeaveInTime(disturb = { isDisturbed -> store.isSilentTo = isDisturbed })

    @Test
    fun `a server that leaves is not used while the daemon that reads for all is turned away`() =
        shouldLeaveInTime(disturb = { isDisturbed -> store.refuses = isDisturbed })

    @Test
    fun `a server that leaves is not used while the daemon that reads for all is frozen or killed`() =
        shouldLeaveInTime(disturb = { isDisturbed -> isStopped = isDisturbed })

    @Test
    fun `a server that leaves is not used while the daemon that reads for all is slow`() = shouldLeaveInTime(
        disturb = { isDisturbed -> store.latencyMillis = { if (isDisturbed(it)) SLOW_MILLIS else LATENCY_MILLIS } },
    )

    @Test
    fun `a server that leaves is not used while the store turns away every other daemon`() = shouldLeaveInTime(
        disturb = { isDisturbed -> store.refuses = isDisturbed },
        alsoDisturbed = { it % 2 == 0 },
    )

    @Test
    fun `a server that leaves is not used while every other daemon is cut off from the store`() = shouldLeaveInTime(
        disturb = { isDisturbed -> store.isSilentTo = isDisturbed },
        alsoDisturbed = { it % 2 == 0 },
    )

    // Guards against servers that are alive and not used, since their entries lapsed while the store was away.
    @Test
    fun `a server whose entry lapsed in an outage of the store is used all the time`() =
        OUTAGES_MILLIS.forEach { outageMillis ->
            LAPSES_MILLIS.forEach { lapsedAfterMillis ->
                forEachSystem { system, _ ->
                    system.store.refuses = { true }
                    val users = system.usersOf(SERVER)
                    var lapsed = false
                    repeat(outageMillis + REWRITE_MILLIS) { millis ->
                        if (millis == outageMillis) system.store.refuses = { false }
                        if (millis == outageMillis + lapsedAfterMillis) system.remove(SERVER).also { lapsed = true }
                        system.advance(1)
                        system.usersOf(SERVER) shouldBe users
                    }
                    lapsed shouldBe true
                    system.register(SERVER)
                    system.advance(CALM_MILLIS)

                    system.usersOf(SERVER) shouldBe users
                }
            }
        }

    @Test
    fun `a server whose entry doesn't come back after an outage of the store is not used`() =
        forEachSystem { system, limitMillis ->
            system.store.refuses = { true }
            system.advance(OUTAGES_MILLIS.last())
            system.remove(SERVER)
            system.store.refuses = { false }

            system.advance(limitMillis + REWRITE_MILLIS)

            system.usersOf(SERVER) shouldBe emptyList()
        }

    private companion object {
        const val SERVER = "i-1"

        /** The users' bound from the removal of an entry to the last request, by the number of daemons. */
        val LIMITS_MILLIS = mapOf(7 to 2_000, 140 to 4_000)
        const val SEEDS = 3
        const val ROUNDS = 4
        const val CALM_MILLIS = 5_000
        const val REMOVED_AFTER_MILLIS = 1
        const val FAULT_STEP_MILLIS = 150
        const val SLOW_MILLIS = 700L
        const val LATENCY_MILLIS = 4L

        /** Entries can lapse in outages of more than two heartbeat intervals. */
        val OUTAGES_MILLIS = listOf(2_500, 5_000)
        val LAPSES_MILLIS = listOf(-500, 0, 1_000)

        /** Lapsed entries are written again within this time. */
        const val REWRITE_MILLIS = 2_000
    }
}
