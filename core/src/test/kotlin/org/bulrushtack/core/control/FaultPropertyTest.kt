package org.bulrushtack.core.control

import io.kotest.assertions.withClue
import io.kotest.common.ExperimentalKotest
import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.maps.shouldContainKey
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import org.bulrushtack.core.error.RunState
import org.bulrushtack.core.log.ApplyOutcome
import org.bulrushtack.core.testing.FakeSystem
import org.bulrushtack.core.testing.Faults

/**
 * Checks invariants under random interleavings of faults over several daemons. A failure prints the seed;
 * `-Dseed=N` repeats the run.
 */
@OptIn(ExperimentalKotest::class)
class FaultPropertyTest : AnnotationSpec() {
    private val seed = System.getProperty("seed")?.toLong() ?: 20_261_204L
    private val config = PropTestConfig(seed = seed, iterations = System.getProperty("iterations")?.toInt() ?: 40)

    @Test
    suspend fun `a booking runs at most once, and one reported as not run did not run`() {
        checkAll(config, Arb.long()) { draw ->
            val system = FakeSystem(seed = draw, daemonCount = 3)
            val faults = Faults(system)
            system.advance(STARTUP_MILLIS)

            val keys = (1..10).map { "key-$it" }
            val requests = keys.flatMap { key ->
                (1..3).map {
                    faults.step()
                    system.book(daemon = system.live().random(system.random), key = key) to key
                }
            }
            faults.heal()
            system.advance(60_000)

            val service = system.servers.getValue("booking-1")
            withClue("draw $draw") {
                service.runsByKey.values.forEach { it shouldBeLessThanOrEqual 1 }
                requests.forEach { (id, _) ->
                    val isReportedNotRun = system.outcomes[id]?.problem?.kind?.runState == RunState.NO
                    if (isReportedNotRun) (service.runsByRequest[id] ?: 0) shouldBeLessThanOrEqual 0
                }
            }
        }
    }

    @Test
    suspend fun `a request whose daemon is alive completes or fails by its deadline`() {
        checkAll(config, Arb.long()) { draw ->
            val system = FakeSystem(seed = draw, daemonCount = 3)
            val faults = Faults(system)
            system.advance(STARTUP_MILLIS)

            val requests = (1..40).map {
                faults.step()
                val daemon = system.live().random(system.random)
                Triple(system.complete(daemon = daemon), daemon, system.clock.nowMillis)
            }
            faults.heal()
            system.advance(60_000)

            withClue("draw $draw") {
                requests.filter { (_, daemon, _) -> daemon.alive }.forEach { (id, _, sentAtMillis) ->
                    system.outcomes shouldContainKey id
                    val tookMillis = system.outcomes.getValue(id).atMillis - sentAtMillis
                    val allowedMillis = DEADLINE_MILLIS + faults.longestPauseMillis + TICK_MARGIN_MILLIS
                    tookMillis shouldBeLessThanOrEqual allowedMillis
                }
            }
        }
    }

    @Test
    suspend fun `configuration never reverts, is the same on all daemons, and is in force within 7 seconds`() {
        checkAll(config, Arb.long()) { draw ->
            val system = FakeSystem(seed = draw, daemonCount = 4)
            val faults = Faults(system)
            system.advance(STARTUP_MILLIS)
            val applied = HashMap<String, Long>()

            withClue("draw $draw") {
                repeat(40) { number ->
                    faults.step()
                    val daemon = system.live().random(system.random)
                    val version = daemon.blackboard.log.projection.tree.values.values.maxOfOrNull { it.version } ?: 0
                    system.edit(daemon, "/workspaces/dock", "weight", "$number", version)
                    system.live().forEach {
                        val before = applied["${it.name}/${it.identity.incarnation}"] ?: 0
                        it.blackboard.log.projection.appliedOffset shouldBeGreaterThanOrEqual before
                        applied["${it.name}/${it.identity.incarnation}"] = it.blackboard.log.projection.appliedOffset
                    }
                }
                faults.heal()
                system.advance(7_000)

                val trees = system.live().map { it.blackboard.log.projection.tree.values }.distinct()
                trees.drop(1).shouldBeEmpty()
                val accepted = system.edits.values.filterIsInstance<Action.EditApplied>()
                    .filter { it.outcome == ApplyOutcome.Accepted }
                accepted.map { it.offset }.groupBy { it }.values.filter { it.size > 1 }.shouldBeEmpty()
            }
        }
    }

    @Test
    suspend fun `a cold backend server stays within its concurrency limit and an engine within its memory`() {
        checkAll(config, Arb.long()) { draw ->
            val system = FakeSystem(seed = draw, daemonCount = 5)
            val faults = Faults(system, restartsServers = true)
            system.advance(STARTUP_MILLIS)

            repeat(150) {
                if (it % 3 == 0) faults.step()
                repeat(3) {
                    val tokens = system.random.nextLong(1_000, 30_000)
                    system.complete(daemon = system.live().random(system.random), promptTokens = tokens)
                }
                system.advance(50)
            }
            faults.heal()
            system.advance(30_000)

            withClue("draw $draw") {
                system.servers.values.forEach { server ->
                    server.maximumRunningWhileCold shouldBeLessThanOrEqual FakeSystem.COLD_CONCURRENCY
                    server.maximumHeldTokens shouldBeLessThanOrEqual server.capacityTokens
                }
            }
        }
    }
}

private const val STARTUP_MILLIS = 8_000L
private const val DEADLINE_MILLIS = 30_000L
private const val TICK_MARGIN_MILLIS = 500L
