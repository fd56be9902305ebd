package org.bulrushtack.core.request

import org.bulrushtack.core.control.Blackboard
import org.bulrushtack.core.error.ErrorKind
import org.bulrushtack.core.error.Problem
import org.bulrushtack.core.server.BackendServer
import org.bulrushtack.core.server.BackendServerDirectory
import org.bulrushtack.core.settings.SettingsPath
import org.bulrushtack.core.settings.SettingsSchema

/** Rejects on arrival the completions that can't be served. */
internal class CompletionAdmission(
    private val blackboard: Blackboard,
    private val directory: BackendServerDirectory,
) {
    /** Returns why [request] is rejected, or null when it is admitted. */
    fun rejection(request: CompletionRequest, nowMillis: Long): Problem? {
        val engines = directory.engines(request.model)
        return when {
            !blackboard.members.admitsRequests -> Problem(kind = ErrorKind.DRAINING)
            !blackboard.log.configured -> Problem(kind = ErrorKind.NOT_READY)
            engines.isEmpty() -> Problem(kind = ErrorKind.UNKNOWN_MODEL, detail = "The model is '${request.model}'.")
            isWorkspaceFull(request.workspace) -> Problem(kind = ErrorKind.WORKSPACE_LIMIT)
            else -> lengthProblem(request, engines) ?: deadlineProblem(request, engines, nowMillis)
        }
    }

    private fun isWorkspaceFull(workspace: String): Boolean {
        val path = SettingsPath.ROOT.child(SettingsSchema.WORKSPACES).descendant(workspace)
        val limit = blackboard.log.projection.tree.number(path, SettingsSchema.MAX_RUNNING)
        return (blackboard.requests.byWorkspace[workspace] ?: 0) >= limit
    }

    /** A prompt is too long only when the memory of every engine is known and none is large enough. */
    private fun lengthProblem(request: CompletionRequest, engines: List<BackendServer>): Problem? {
        val capacities = engines.mapNotNull { directory.capacityTokens(it.name) }
        val fitsSomewhere = capacities.size < engines.size || capacities.any { request.reservedTokens <= it }
        if (fitsSomewhere) return null
        return Problem(
            kind = ErrorKind.PROMPT_TOO_LONG,
            detail = "It needs ${request.reservedTokens} tokens; the largest engine has ${capacities.max()}.",
        )
    }

    private fun deadlineProblem(
        request: CompletionRequest,
        engines: List<BackendServer>,
        nowMillis: Long,
    ): Problem? {
        val fastestMillis = engines.minOf { it.settings.expectedMillis(request.promptTokens, request.maximumTokens) }
        val remainingMillis = request.deadlineAtMillis - nowMillis
        if (fastestMillis <= remainingMillis) return null
        return Problem(
            kind = ErrorKind.CANNOT_FINISH,
            detail = "It is expected to take $fastestMillis ms and has $remainingMillis ms.",
        )
    }
}
