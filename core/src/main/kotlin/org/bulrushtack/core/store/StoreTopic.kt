package org.bulrushtack.core.store

/**
 * The topics of the platform's store that daemons use.
 *
 * @property isReplicated whether daemons pass its records on to one another
 */
public enum class StoreTopic(
    public val isReplicated: Boolean = true,
) {
    /** The operators' configuration and the data centres that are taken out of service. */
    OPERATOR,

    /** The entries of backend servers. */
    BACKEND_SERVERS,

    /** The entries of the daemons themselves. */
    DAEMONS,

    /** The backend servers that ended under requests, and the prompt parts that were answered since. */
    CRASHES,

    /** The list of VMs that daemons with an interface of their own use. */
    VMS,

    /** The claims to the duties and what their holder saves. Daemons read it only from the store itself. */
    DUTIES(isReplicated = false),
}
