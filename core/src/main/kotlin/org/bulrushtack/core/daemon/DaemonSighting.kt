package org.bulrushtack.core.daemon

/** A daemon and the steady time at which it last spoke, to this daemon or to another one. */
public data class DaemonSighting(
    val daemon: DaemonInfo,
    val heardAtMillis: Long,
)
