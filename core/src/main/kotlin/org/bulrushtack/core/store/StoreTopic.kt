package org.bulrushtack.core.store

/** The sets of records in the platform's store that daemons follow. */
public enum class StoreTopic {
    /** What operators want: the configuration and the data centres that are taken out. */
    OPERATOR,

    /** The entries of backend servers. */
    BACKEND_SERVERS,

    /** The daemons themselves. */
    DAEMONS,

    /** The list of VMs that daemons with an interface of their own use. */
    VMS,
}
