package org.bulrushtack.http

/** Gets notice of responses that are discarded since they are malformed. */
public fun interface MalformedResponseObserver {
    /** A response from [address] was discarded for [reason], which has one short line; called on a network thread. */
    public fun onMalformedResponse(address: String, reason: String)
}
