package org.bulrushtack.core.store

/** Decodes records of the platform's store. */
public fun interface StoreRecordDecoder {
    /** Decodes [record] of [topic]; a record that can't be decoded gives [StoreUpdate.Unreadable]. */
    public fun decode(topic: StoreTopic, record: StoreRecord): StoreUpdate
}
