package org.bulrushtack.forward.duty

/** The result of a conditional write to the topic of duties. */
internal enum class DutyWriteResult {
    /** The records are stored, and nobody else has written since the last read. */
    STORED,

    /** Nothing was stored and never will be, since somebody else has written. */
    END_MOVED,

    /** The records may be stored, now or later. */
    UNKNOWN,
}
