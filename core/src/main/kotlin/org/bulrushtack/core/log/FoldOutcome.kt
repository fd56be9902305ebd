package org.bulrushtack.core.log

import org.bulrushtack.core.settings.SettingAddress

/** What the fold made of one record. */
public sealed interface FoldOutcome {
    /** The record took effect. */
    public data object Accepted : FoldOutcome

    /** The record stood in the log before; it has no further effect. */
    public data object Duplicate : FoldOutcome

    /** The record came too late; [conflicts] names settings for an edit and is empty for other records. */
    public data class Rejected(
        val conflicts: List<SettingAddress> = emptyList(),
    ) : FoldOutcome
}
