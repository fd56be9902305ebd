package org.bulrushtack.daemon.testing

import org.bulrushtack.core.membership.MemberIdentity
import org.bulrushtack.daemon.lifecycle.EntryDaemon
import org.bulrushtack.daemon.settings.ProcessSettings

/** A daemon in the test's own process. */
internal class InProcessDaemon(
    settings: ProcessSettings,
) : RunningDaemon {
    private val daemon = EntryDaemon(
        settings = settings,
        identity = MemberIdentity(settings.name, "life-1", settings.dataCentre),
        seed = 1,
    ).also { it.start() }

    override val httpPort: Int get() = daemon.httpPort
    override val peerPort: Int get() = daemon.peerPort

    override fun stop() = daemon.stop()
}
