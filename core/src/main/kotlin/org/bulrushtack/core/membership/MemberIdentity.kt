package org.bulrushtack.core.membership

/**
 * Who this daemon is.
 *
 * @property incarnation differs for each start of the process
 */
public data class MemberIdentity(
    val name: String,
    val incarnation: String,
    val dataCentre: String,
)
