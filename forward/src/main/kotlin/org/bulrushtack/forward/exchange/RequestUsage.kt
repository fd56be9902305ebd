package org.bulrushtack.forward.exchange

/** Counts a caller's request for its [workspace], once however many sends it takes; one without workspace never. */
internal class RequestUsage(
    private val workspace: String?,
    private val recordUsage: (workspace: String) -> Unit,
) {
    private var isRecorded = false

    /** Records that a server began to execute the request. */
    fun record() {
        if (isRecorded || workspace == null) return
        isRecorded = true
        recordUsage(workspace)
    }
}
