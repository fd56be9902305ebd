package org.bulrushtack.core.store

/**
 * The newest record of a key.
 *
 * @property value the record's bytes, or null if the key was deleted
 */
public class StoreRecord(
    public val key: String,
    public val offset: Long,
    public val value: ByteArray?,
)
