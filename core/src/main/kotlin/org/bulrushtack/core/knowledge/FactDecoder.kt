package org.bulrushtack.core.knowledge

/** Reads what a record means. */
public fun interface FactDecoder {
    /** The meaning of [record], which stands in [topic]; never fails. */
    public fun decode(topic: StoreTopic, record: StoreRecord): PlatformFact
}
