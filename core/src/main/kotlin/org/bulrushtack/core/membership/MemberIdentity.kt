package org.bulrushtack.core.membership

/**
 * The identity of this daemon.
 *
 * @property incarnation unique to each start of the process
 */
public data class MemberIdentity(
    val name: String,
    val incarnation: String,
    val dataCentre: String,
)
