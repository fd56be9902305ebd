package org.bulrushtack.core.log

import org.bulrushtack.core.settings.SettingAddress

/** The result of applying one log record. */
public sealed interface ApplyOutcome {
    /** The record took effect. */
    public data object Accepted : ApplyOutcome

    /** The same record was applied before; this copy has no effect. */
    public data object Duplicate : ApplyOutcome

    /** An earlier record won; [conflicts] names the settings in conflict for an edit, and is empty otherwise. */
    public data class Rejected(
        val conflicts: List<SettingAddress> = emptyList(),
    ) : ApplyOutcome
}
