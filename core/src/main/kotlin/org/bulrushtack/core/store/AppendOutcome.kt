package org.bulrushtack.core.store

/** The store's answer to an append that was made on the condition of the topic's end. */
public sealed interface AppendOutcome {
    /** The records are stored from [firstOffset] on; the topic now ends at [endOffset]. */
    public data class Appended(val firstOffset: Long, val endOffset: Long) : AppendOutcome

    /** Nothing was stored and never will be, since the topic ends elsewhere. */
    public data object EndMoved : AppendOutcome
}
