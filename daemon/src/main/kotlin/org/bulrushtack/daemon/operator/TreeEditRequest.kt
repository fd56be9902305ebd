package org.bulrushtack.daemon.operator

/**
 * The body of an operator's edit.
 *
 * @property dryRun whether to report what would change without making the edit
 */
internal data class TreeEditRequest(
    val changes: List<Change> = emptyList(),
    val dryRun: Boolean = false,
) {
    /**
     * One change; a null [value] removes the setting.
     *
     * @property expectedVersion the version that the operator saw, or null for the one that is in force now
     */
    data class Change(
        val path: String,
        val key: String,
        val value: String? = null,
        val expectedVersion: Long? = null,
    )
}
