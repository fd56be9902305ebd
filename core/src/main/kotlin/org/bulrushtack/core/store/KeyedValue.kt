package org.bulrushtack.core.store

/**
 * A record to be written.
 *
 * @property value the record's bytes; empty to delete the key
 */
public class KeyedValue(
    public val key: String,
    public val value: ByteArray,
)
