package org.bulrushtack.core.dispatch

import io.kotest.core.spec.style.AnnotationSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.bulrushtack.core.membership.VmState
import org.bulrushtack.core.settings.SettingAddress
import org.bulrushtack.core.settings.SettingsPath
import org.bulrushtack.core.testing.FakeSystem

class LeavingServerTest : AnnotationSpec() {
    private fun sendFor(system: FakeSystem, millis: Long) {
        repeat((millis / 50).toInt()) {
            system.complete(daemon = system.live().random(system.random))
            system.advance(50)
        }
    }

    @Test
    fun `a server that is leaving according to the VM list gets no new work, while the other one does`() {
        val system = FakeSystem(seed = 3, daemonCount = 3)
        system.advance(9_000)
        sendFor(system, millis = 3_000)

        system.vms["engine-1"] = system.vms.getValue("engine-1").copy(state = VmState.LEAVING)
        val leftAtMillis = system.clock.nowMillis
        sendFor(system, millis = 6_000)

        (system.servers.getValue("engine-1").lastStartAtMillis - leftAtMillis) shouldBeLessThanOrEqual 2_000
        (system.servers.getValue("engine-2").lastStartAtMillis > leftAtMillis + 4_000) shouldBe true
    }

    @Test
    fun `a server that reports that it is leaving gets no new work after one second`() {
        val system = FakeSystem(seed = 4, daemonCount = 3)
        system.advance(9_000)
        sendFor(system, millis = 3_000)

        system.servers.getValue("engine-1").leaving = true
        val leftAtMillis = system.clock.nowMillis
        sendFor(system, millis = 6_000)

        (system.servers.getValue("engine-1").lastStartAtMillis - leftAtMillis) shouldBeLessThanOrEqual 1_000
        (system.servers.getValue("engine-2").lastStartAtMillis > leftAtMillis + 4_000) shouldBe true
    }

    @Test
    fun `a server in a data centre that is taken out gets no new work until the data centre is brought back`() {
        val system = FakeSystem(seed = 5, daemonCount = 3)
        system.advance(9_000)

        system.edit(system.live().first(), "/data-centres/a", "state", "out", version = 0)
        sendFor(system, millis = 2_000)
        val before = system.servers.values.maxOf { it.lastStartAtMillis }
        sendFor(system, millis = 3_000)

        system.servers.values.maxOf { it.lastStartAtMillis } shouldBe before
        val state = SettingAddress(SettingsPath.ROOT.child("data-centres").child("a"), "state")
        val version = system.live().first().blackboard.log.projection.tree.version(state)
        system.edit(system.live().first(), "/data-centres/a", "state", "in", version)
        sendFor(system, millis = 3_000)
        (system.servers.values.maxOf { it.lastStartAtMillis } > before) shouldBe true
    }
}
