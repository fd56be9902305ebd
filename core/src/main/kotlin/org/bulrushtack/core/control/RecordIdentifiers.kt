package org.bulrushtack.core.control

import org.bulrushtack.core.membership.MemberIdentity

/** Generates a unique identifier for each record that one incarnation appends. */
internal class RecordIdentifiers(
    private val identity: MemberIdentity,
) {
    private var count = 0L

    fun next(): String {
        count++
        return "${identity.name}/${identity.incarnation}/$count"
    }
}
