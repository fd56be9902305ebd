package org.bulrushtack.core.store

/** Reads what a record means. */
public fun interface StoreRecordDecoder {
    /** The meaning of [record], which stands in [topic]; never fails. */
    public fun decode(topic: StoreTopic, record: StoreRecord): StoreUpdate
}
