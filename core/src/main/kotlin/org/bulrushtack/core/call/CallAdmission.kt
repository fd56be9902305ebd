package org.bulrushtack.core.call

import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.log.LogProjection
import org.bulrushtack.core.server.BackendServerDirectory
import org.bulrushtack.core.settings.SettingsPath
import org.bulrushtack.core.settings.SettingsSchema

/** Rejects on arrival the calls that can't be served. */
internal class CallAdmission(
    private val blackboard: Blackboard,
    private val directory: BackendServerDirectory,
) {
    /** Returns why [call] is rejected, or null when it is admitted. */
    fun rejection(call: ServiceCall): Problem? = when {
        !blackboard.members.admitsRequests -> Problem(ErrorKind.DRAINING)
        !blackboard.log.configured -> Problem(ErrorKind.NOT_READY)
        directory.servers(call.service).isEmpty() ->
            Problem(kind = ErrorKind.UNKNOWN_SERVICE, detail = "The service is '${call.service}'.")
        isRepeatable(call) -> null
        else -> keyProblem(call)
    }

    /** Whether the settings tree allows the operation to run more than once. */
    fun isRepeatable(call: ServiceCall): Boolean {
        val path = SettingsPath.ROOT.child(SettingsSchema.SERVICES).child(call.service)
        return call.operation in blackboard.log.projection.tree.list(path, SettingsSchema.REPEATABLE_OPERATIONS)
    }

    private fun keyProblem(call: ServiceCall): Problem? {
        val ageMillis = call.keyAgeMillis
        return when {
            call.key == null || ageMillis == null -> Problem(ErrorKind.KEY_MISSING)
            ageMillis > LogProjection.CALL_RETENTION_MILLIS - CLOCK_SKEW_MARGIN_MILLIS -> Problem(ErrorKind.KEY_EXPIRED)
            ageMillis < -CLOCK_SKEW_MARGIN_MILLIS ->
                Problem(kind = ErrorKind.KEY_MALFORMED, detail = "Its time lies in the future.")
            else -> null
        }
    }
}

private const val CLOCK_SKEW_MARGIN_MILLIS = 600_000L
