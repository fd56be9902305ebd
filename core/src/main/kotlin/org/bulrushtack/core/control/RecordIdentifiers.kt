package org.bulrushtack.core.control

import org.bulrushtack.core.membership.MemberIdentity

/** Gives each record of one incarnation an identifier of its own. */
internal class RecordIdentifiers(
    private val identity: MemberIdentity,
) {
    private var count = 0L

    fun next(): String {
        count++
        return "${identity.name}/${identity.incarnation}/$count"
    }
}
